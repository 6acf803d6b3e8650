"""Exception hierarchy of the router fleet."""

from __future__ import annotations


class FleetError(Exception):
    """Base class of all errors that the fleet's own code raises."""


class BootError(FleetError):
    """The boot settings are invalid; the message names the key."""


class MessageError(FleetError):
    """Bytes from a peer that are not a valid message, or a value that cannot be encoded as one."""


class StorageError(FleetError):
    """A disk operation failed, or the stored data cannot be read."""


class DamagedStorageError(StorageError):
    """What was stored can be read, but is damaged."""


class InvalidConfiguration(FleetError):
    """An operator's configuration is invalid; `faults` holds one line per fault, with its location."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults
