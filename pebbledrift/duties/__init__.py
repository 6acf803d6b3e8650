"""Division of periodic work among the nodes of a group: the logic, without I/O."""
