"""The commands, one module per group."""
