"""Chain replication of the control state, with an agreed view that reconfigures the chain."""
