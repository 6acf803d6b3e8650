"""The state that keepers hold for the fleet, without I/O: configurations, worker instances, token quotas."""
