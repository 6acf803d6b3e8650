"""Control state that keepers hold for the fleet, without I/O: configuration, instances, token quotas."""
