"""Reports that the nodes of one fleet exchange, so that many nodes do not overload the same workers."""
