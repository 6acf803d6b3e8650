"""Distribution of the control state to the routers: relay tree, peer sampling, and their messages."""
