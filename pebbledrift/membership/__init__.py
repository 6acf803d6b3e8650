"""Who the other nodes are, and whether they live: the logic without I/O, and its authenticated datagrams."""
