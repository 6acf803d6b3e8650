"""The router: takes clients' requests and carries them to workers."""
