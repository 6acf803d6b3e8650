"""The operators' command line: checks configuration files and calls the keepers of a running fleet."""
