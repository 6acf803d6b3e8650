"""What a keeper begins with: its disk, and the replica that was recovered from it or is made anew."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from pebbledrift.chain.messages import Identity, Record
from pebbledrift.chain.recovery import RecoveredState
from pebbledrift.chain.replica import Replica, ReplicaSettings
from pebbledrift.chain.storage import Storage
from pebbledrift.chain.view import FOUNDING_GENERATION, founding_view, node_name
from pebbledrift.cluster.boot import BootSettings, format_address
from pebbledrift.cluster.errors import StorageError

log = logging.getLogger(__name__)


def _check(config: object) -> None:
    """Check an operator's configuration. The checker is large: a start does not wait for its import."""
    from pebbledrift.control.schema import check

    check(config)


def internal_address(boot: BootSettings) -> str:
    """Where the other processes of the fleet reach this keeper."""
    return format_address((boot.ip, boot.port_range[0]))


def founders(boot: BootSettings) -> list[str]:
    """The keepers that the seeds name; on the very first start they found the cluster."""
    return [format_address((host, boot.port_range[0])) for host, _ in boot.seeds]


class OpenedDisk(NamedTuple):
    """A keeper's disk as its process finds it."""

    storage: Storage | None
    recovered: RecoveredState
    was_empty: bool  # nothing was ever written there; what cannot be read counts as lost instead


def open_storage(data_dir: Path | None) -> OpenedDisk:
    """The disk and what is on it; nothing where there is no disk."""
    if data_dir is None:
        return OpenedDisk(None, RecoveredState(), False)
    return open_disk(Storage(data_dir / "keeper"))


def open_disk(storage: Storage) -> OpenedDisk:
    """Read a disk; one that cannot be read is emptied."""
    try:
        was_empty = storage.is_empty()
        recovered = storage.open()
    except StorageError as error:
        # what cannot be read is not guessed: the disk counts as lost, and the others tell us all again
        log.error("state is not readable: begun anew", extra={"error": str(error)})
        storage.close()
        storage.discard()
        return OpenedDisk(storage, storage.open(), False)
    return OpenedDisk(storage, recovered, was_empty)


def make_replica(boot: BootSettings, incarnation: int, disk: OpenedDisk, now: float) -> Replica:
    """The replica of this process; one without an identity gets one, and may found the cluster.

    Only a disk that held nothing founds: one that cannot be read may have been promised on, whatever the
    settings say of the cluster's first start.
    """
    address = internal_address(boot)
    identity = take_identity(disk, address, founders(boot) if boot.bootstrap else [], secrets.token_hex(6))
    settings = ReplicaSettings(
        address=address,
        control_address=format_address(boot.address_of("control")),
        zone=boot.zone,
        node=identity.node,
        incarnation=incarnation,
        eligible=boot.data_dir is not None and boot.counts_for_quorum,
        tolerated_failures=boot.tolerated_machines,
        contact_addresses=tuple(founders(boot)),
        seed=incarnation,
        catch_up_s=boot.bounds.catch_up_s,
    )
    replica = Replica(settings, _check, disk.recovered.stored, now)
    if identity.records:
        replica.outbox.persist(*identity.records)
    return replica


class TakenIdentity(NamedTuple):
    """The replica that a process is, and what has to be on its disk before anything else."""

    node: str
    records: tuple[Record, ...]


def take_identity(disk: OpenedDisk, address: str, founding: Sequence[str], generation: str) -> TakenIdentity:
    """The replica whose disk this is; on a disk without one a new one, which may be among the founders."""
    recovered = disk.recovered
    if recovered.node is not None:
        return TakenIdentity(recovered.node, ())
    founds = disk.was_empty and address in founding
    recovered.node = node_name(address, FOUNDING_GENERATION if founds else generation)
    if not founds:
        return TakenIdentity(recovered.node, (Identity(recovered.node),))
    view = recovered.stored.view = founding_view(founding)
    return TakenIdentity(recovered.node, (Identity(recovered.node), view))
