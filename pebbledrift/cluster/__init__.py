"""What every process of a router fleet has: its boot settings, typed messages and connections to its peers."""
