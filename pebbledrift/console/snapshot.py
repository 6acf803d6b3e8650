"""Snapshots of the control state: a configuration with its checksum, epoch and time of saving."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from pebbledrift.cluster.errors import InvalidConfiguration
from pebbledrift.console.errors import DocumentError, FaultyConfiguration
from pebbledrift.control.schema import check

FORMAT = "pebbledrift-snapshot"
VERSION = 1


def _checksum(config: object) -> str:
    text = json.dumps(config, separators=(",", ":"), sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=32).hexdigest()


def make_snapshot(config: dict[str, Any], epoch: int, taken_at: str) -> dict[str, Any]:
    """Return a snapshot of a configuration read from a keeper; `taken_at` is an ISO 8601 time."""
    return {
        "format": FORMAT,
        "version": VERSION,
        "taken-at": taken_at,
        "epoch": epoch,
        "revision": config["revision"],
        "checksum": _checksum(config),
        "configuration": config,
    }


def verified_configuration(snapshot: dict[str, Any], path: str) -> dict[str, Any]:
    """Return the configuration in a snapshot.

    Raises DocumentError if the snapshot is damaged, FaultyConfiguration if its configuration is invalid.
    """
    if snapshot.get("format") != FORMAT:
        raise DocumentError(f"{path}: format: not a snapshot")
    if snapshot.get("version") != VERSION:
        raise DocumentError(f"{path}: version: {snapshot.get('version')!r} is not supported")
    config = snapshot.get("configuration")
    if not isinstance(config, dict):
        raise DocumentError(f"{path}: configuration: not an object")
    if snapshot.get("checksum") != _checksum(config):
        raise DocumentError(f"{path}: checksum: does not match the configuration")
    try:
        check(config)
    except InvalidConfiguration as error:
        raise FaultyConfiguration(error.faults) from None
    return config


def configuration_to_restore(config: dict[str, Any], current_revision: int | None) -> dict[str, Any]:
    """Return the configuration with its revision raised, if needed, above the one in force."""
    revision = (
        config["revision"] if current_revision is None else max(config["revision"], current_revision + 1)
    )
    return {**config, "revision": revision}
