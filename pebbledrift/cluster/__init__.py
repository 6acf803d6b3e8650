"""Code that all roles of the router fleet share: boot settings, message codec, transport, metrics, errors."""
