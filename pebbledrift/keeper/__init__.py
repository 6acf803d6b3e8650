"""The keeper: holds the fleet's control state, serves workers and the operator, tells the routers."""
