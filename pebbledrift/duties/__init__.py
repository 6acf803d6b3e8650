"""Periodic work that is divided among the nodes of a group: the logic without I/O."""
