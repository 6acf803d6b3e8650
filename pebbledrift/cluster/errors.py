"""The exception tree of the router fleet."""

from __future__ import annotations


class FleetError(Exception):
    """Base of all errors that the fleet's own code raises."""


class BootError(FleetError):
    """The boot settings cannot be used; the message names the key."""


class MessageError(FleetError):
    """Bytes from a peer that are no message."""


class StorageError(FleetError):
    """The disk refused an operation, or holds what cannot be read."""


class InvalidConfiguration(FleetError):
    """An operator's configuration is at fault; `faults` holds one line for each fault, with its place."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults
