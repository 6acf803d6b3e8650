"""The soft kind of limit: each node takes a share in proportion to the reported demand. No I/O.

A node's share of a limit is m / D, where m is the minimum demand at this node within the last `settle_ms` and
D is the demand at all nodes by the latest reports; the rest of the limit is divided evenly. If every report
arrives within settle_ms, each D is at least the sum of all m, so all shares together are at most 1: a share
grows only after all nodes have received the demand behind it, and shrinks at once.

Lost reports break this guarantee. A node then uses the last report, and after `believed_ms` counts only the
nodes that it still receives from: the rule `in_a_cut` says how much one side of a network partition may use.
bounds.py computes how far all sides together can exceed the limit. Times are ms of a monotonic clock; rates
are jobs a second.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

PARTITION_RULES = ("part", "majority", "whole")
MAX_SAMPLES = 512


@dataclass(frozen=True, slots=True)
class RemoteDemand:
    """The demand at the other nodes, how many nodes it covers, and its greatest age."""

    rate: float
    nodes: int
    age_ms: float


def partition_fraction(in_a_cut: str, reachable: int, fleet_size: int, responding: int) -> float:
    """Returns the fraction of a limit that `reachable` nodes which reach each other may use together.

    `part`: in proportion to their number; `majority`: all of it if they are more than half, else nothing;
    `whole`: all of it, or in proportion to the `responding` members of the group's view.
    """
    if in_a_cut == "whole":
        # Guards the limit in a large group: the aggregators of some nodes may be on the other side of a
        # partition. Until the view has dropped them, each of these nodes would count as a whole side.
        return min(1.0, reachable / max(1, responding))
    if in_a_cut == "majority":
        return 1.0 if 2 * reachable > fleet_size else 0.0
    return min(1.0, reachable / max(1, fleet_size))


class SoftShare:
    """One node's share of one limit. Raises ValueError for an unknown rule `in_a_cut`."""

    def __init__(self, in_a_cut: str, settle_ms: float, believed_ms: float, start: float) -> None:
        if in_a_cut not in PARTITION_RULES:
            raise ValueError(f"in_a_cut: must be one of {', '.join(PARTITION_RULES)}, not {in_a_cut!r}")
        self.in_a_cut = in_a_cut
        self.settle_ms, self.believed_ms = settle_ms, believed_ms
        self.start = start
        self.received_report = False
        # Sliding-window minimum: times and rates both rise. Before its start the node had no demand.
        self._samples = deque([(start, 0.0)])

    def sample(self, now: float, rate: float) -> None:
        """Records the demand at this node; called for each report to the others, and between reports."""
        since = now
        while self._samples and self._samples[-1][1] >= rate:
            since = self._samples.pop()[0]  # the demand has not been lower since then
        self._samples.append((since, rate))
        self._trim(now)
        while len(self._samples) > MAX_SAMPLES:
            # Bounds memory if callers sample too often: the lower of the two oldest samples stands for both.
            first = self._samples.popleft()
            self._samples[0] = (first[0], first[1])

    def minimum(self, now: float) -> float:
        """Returns the minimum demand at this node within settle_ms; it is 0 before the node's start."""
        self._trim(now)
        return self._samples[0][1]

    def _trim(self, now: float) -> None:
        # A sample from before the window is valid until the next sample.
        while len(self._samples) > 1 and now - self._samples[1][0] >= self.settle_ms:
            self._samples.popleft()

    def share(
        self, now: float, limit: float, remote: RemoteDemand | None, fleet_size: int, responding: int = 1
    ) -> float:
        """Returns this node's share, between 0 and 1, of a limit in jobs a second.

        `remote` is None if no report arrived for believed_ms; `fleet_size` is the expected number of nodes;
        `responding` is the number of responding members of the group's view, this one included.
        """
        if remote is not None:
            self.received_report = True
        elif not self.received_report and now - self.start < self.believed_ms and fleet_size > 1:
            return 0.0  # this node has just started, and the others may be using the whole limit
        demand = self._samples[-1][1]
        minimum = self.minimum(now)
        nodes = 1 + (remote.nodes if remote is not None else 0)
        total = demand + (remote.rate if remote is not None else 0.0)
        max_share = partition_fraction(self.in_a_cut, nodes, fleet_size, responding)
        if limit <= 0 or not math.isfinite(limit):
            return 0.0
        allowed = limit * max_share
        if total >= allowed:
            return max_share * minimum / total if total > 0 else 0.0
        # Under the majority rule each node leaves an even part of the rest to every node of the fleet,
        # whether it is reachable or not.
        divisor = max(nodes, fleet_size) if self.in_a_cut == "majority" else nodes
        return min(max_share, (minimum + (allowed - total) / divisor) / limit)
