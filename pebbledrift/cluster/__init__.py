"""What every process of a router fleet has: boot settings, typed messages, connections to its peers."""
