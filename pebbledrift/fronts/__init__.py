"""The fronts: what clients speak, translated to and from the core's operations."""
