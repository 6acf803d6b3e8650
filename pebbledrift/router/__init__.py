"""The router: accepts requests from clients and forwards them to workers."""
