"""Sockets and parsers: front sockets, destination connections, peers' datagrams."""
