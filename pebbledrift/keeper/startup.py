"""Startup of a keeper: opens its disk, and recovers the replica from it or creates a new one."""

from __future__ import annotations

import logging
import secrets
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from pebbledrift.chain.messages import Identity, Record
from pebbledrift.chain.recovery import RecoveredState
from pebbledrift.chain.replica import Replica, ReplicaSettings
from pebbledrift.chain.storage import Storage
from pebbledrift.chain.view import FOUNDING_GENERATION, founding_view, node_name
from pebbledrift.cluster.boot import BootSettings, format_address
from pebbledrift.cluster.errors import DamagedStorageError, StorageError

log = logging.getLogger(__name__)

OPEN_RETRY_S = 0.2  # between attempts to open a disk that cannot be used at present


def _check(config: object) -> None:
    """Validates an operator's configuration. The large schema module is imported late, to start faster."""
    from pebbledrift.control.schema import check

    check(config)


def internal_address(boot: BootSettings) -> str:
    """Returns the address (host:port) where the other processes of the fleet reach this keeper."""
    return format_address((boot.ip, boot.port_range[0]))


def founder_addresses(boot: BootSettings) -> list[str]:
    """Returns the addresses of the seed keepers, which create the cluster on its first start."""
    return [format_address((host, boot.port_range[0])) for host, _ in boot.seeds]


class OpenedDisk(NamedTuple):
    """A keeper's storage, if it has a disk, and the state recovered from it."""

    storage: Storage | None
    recovered: RecoveredState
    was_empty: bool  # nothing was ever written; an unreadable disk counts as lost, not as empty


def open_storage(data_dir: Path | None) -> OpenedDisk:
    """Opens the storage in a data directory, as soon as its disk permits; None: a keeper without a disk.

    Blocks until then: without its state a keeper must not take part in any decision.
    """
    if data_dir is None:
        return OpenedDisk(None, RecoveredState(), False)
    storage = Storage(data_dir / "keeper")
    while True:
        try:
            return open_disk(storage)
        except StorageError as error:
            log.error("disk cannot be opened, will retry", extra={"error": str(error)})
        time.sleep(OPEN_RETRY_S)


def open_disk(storage: Storage) -> OpenedDisk:
    """Recovers the state from a disk; a damaged state is discarded.

    Raises StorageError if the disk cannot be used at present. That says nothing about what is stored, so
    nothing is discarded for it.
    """
    was_empty = storage.is_empty()
    try:
        recovered = storage.open()
    except DamagedStorageError as error:
        # Damaged state is never guessed: the disk counts as lost; the other keepers send the state again.
        log.error("stored state is unreadable: discarded, starting empty", extra={"error": str(error)})
        storage.close()
        storage.discard()
        return OpenedDisk(storage, storage.open(), False)
    return OpenedDisk(storage, recovered, was_empty)


def make_replica(boot: BootSettings, incarnation: int, disk: OpenedDisk, now: float) -> Replica:
    """Creates the replica of this process; without a stored identity it gets a new one.

    Only a keeper whose disk was empty may be a founder of the cluster. An unreadable disk may have held
    promises to other replicas, so it never makes a founder, even if the settings say that this is the
    cluster's first start.
    """
    address = internal_address(boot)
    identity = load_or_create_identity(
        disk, address, founder_addresses(boot) if boot.bootstrap else [], secrets.token_hex(6)
    )
    settings = ReplicaSettings(
        address=address,
        control_address=format_address(boot.address_of("control")),
        zone=boot.zone,
        node=identity.node,
        incarnation=incarnation,
        eligible=boot.data_dir is not None and boot.counts_for_quorum,
        tolerated_failures=boot.tolerated_machines,
        contact_addresses=tuple(founder_addresses(boot)),
        seed=incarnation,
        catch_up_s=boot.bounds.catch_up_s,
    )
    replica = Replica(settings, _check, disk.recovered.stored, now)
    log.info(
        "state recovered",
        extra={
            "replica": identity.node,
            "disk_was_empty": disk.was_empty,
            "epoch": replica.link.epoch,
            "committed": replica.log.committed.sequence,
            "last": replica.log.last.sequence,
        },
    )
    if identity.records:
        replica.outbox.persist(*identity.records)
    return replica


class ReplicaIdentity(NamedTuple):
    """A replica's node name, and the records that must be written to its disk before all others."""

    node: str
    records: tuple[Record, ...]


def load_or_create_identity(
    disk: OpenedDisk, address: str, founders: Sequence[str], generation: str
) -> ReplicaIdentity:
    """Returns the identity stored on a disk, or creates a new one.

    A new identity on a disk that was empty is a founder if `address` is among `founders`; it then also gets
    the founding view. Otherwise its node name carries `generation`. The new identity is set in
    `disk.recovered`.
    """
    recovered = disk.recovered
    if recovered.node is not None:
        return ReplicaIdentity(recovered.node, ())
    is_founder = disk.was_empty and address in founders
    recovered.node = node_name(address, FOUNDING_GENERATION if is_founder else generation)
    if not is_founder:
        return ReplicaIdentity(recovered.node, (Identity(recovered.node),))
    view = recovered.stored.view = founding_view(founders)
    return ReplicaIdentity(recovered.node, (Identity(recovered.node), view))
