"""The keeper process: replicates the control state, serves workers and operators, informs the routers."""
