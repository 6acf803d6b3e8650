"""Probes as duties: each worker is probed by one node at a time, which tells the others what it heard."""

from __future__ import annotations

from pebbledrift.core.engine import Engine
from pebbledrift.membership.service import Learned, Membership, probe_units
from pebbledrift.pool import PoolConfig
from spoolpier import interface as api

AGE_MOST_MS = 500.0  # an older word of another node's says less than nothing


class Probes:
    """The duty to probe, at one node.

    What the owner learns is told to the others with its age, and handed to each module as the report of a
    probe. That a worker did not answer is the owner's own to judge: it may be cut off from it alone.
    """

    def __init__(self, group: Membership, engine: Engine, pool: PoolConfig, period_ms: float) -> None:
        self.group, self.engine, self.pool = group, engine, pool
        self.period_ms = period_ms
        self.out: set[int] = set()  # workers that this node probes by duty now
        group.perform = self._perform
        group.learned = self._learned
        engine.on_probe_result = self._heard
        pool.listeners.append(self._listed)
        self._listed()

    def _listed(self) -> None:
        """The list has changed."""
        self.group.set_units(probe_units(self.pool.entries.values(), self.period_ms))

    def _perform(self, unit: str) -> None:
        worker = int(unit.removeprefix("probe "), 16)
        destination = self.pool.find(worker)
        if destination is not None:
            self.out.add(worker)
            destination.probe()

    def _heard(self, worker: int, ok: bool, took_ms: float, report: api.Report | None) -> None:
        """A probe of this node is over; by duty or of the module's own, it is news to the others."""
        self.out.discard(worker)
        self.group.tell_learned(Learned(worker, ok, 0.0, took_ms, dict(report or {})))

    def _learned(self, told: Learned) -> None:
        """Another node has probed."""
        if told.ok and told.age_ms <= AGE_MOST_MS and told.report:
            self.engine.peer_load_received(told.worker, told.took_ms, told.report)
