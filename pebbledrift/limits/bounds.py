"""Bounds on how far, and for how long, limits can be exceeded; derived in docs/limits.md. No I/O.

Rates are jobs a second, times ms. `nodes` is the expected number of nodes.
"""

from __future__ import annotations

from pebbledrift.limits.sums import CHANGE_INTERVAL_MS, HOPS, TICK_MS, sectors


def reach_ms(nodes: int, delay_ms: float) -> float:
    """Returns the time in ms after which all nodes know of a change if nothing is lost.

    Each hop takes the interval between messages, the receiver's tick and the network delay.
    """
    return (1 if sectors(nodes) == 1 else HOPS) * (CHANGE_INTERVAL_MS + TICK_MS + delay_ms)


def window_jobs(rate: float, burst_ms: float, nodes: int, window_ms: float) -> float:
    """Returns the most jobs that all nodes admit together in any window while their shares are at most 1.

    For hard limits this holds always, for soft limits while every report arrives within settle_ms.
    """
    return rate * (window_ms + burst_ms) / 1000 + nodes


def cut_jobs(
    rate: float, parts: int, believed_ms: float, reach: float, in_a_cut: str, cut_ms: float
) -> float:
    """Returns how many jobs too many the sides of a partition admit together at a soft limit, at any demand.

    Until the other sides' reports expire each side may come to use the whole limit. Then it has its fraction
    (rules `part` and `majority`), or keeps using all of it (`whole`).
    """
    expired_ms = believed_ms + reach
    excess_ms = cut_ms if in_a_cut == "whole" else min(cut_ms, expired_ms)
    return (parts - 1) * rate * excess_ms / 1000


def lost_share(loss: float, messages: int, nodes: int) -> float:
    """Returns the fraction of node pairs in which one has lost the other's last `messages` messages.

    Messages of one sender are a period apart with other datagrams between them, so that bursts of losses hit
    them independently. Each hop has two paths, but only one in a small group, where nodes send directly.
    """
    if sectors(nodes) == 1:
        return float(loss**messages)
    return min(1.0, HOPS * float(loss ** (2 * messages)))


def stranded_ms(lease_ms: float, loan_ms: float, drift: float) -> tuple[float, float]:
    """Returns after which times in ms a dead node's units of a hard limit are usable again, at the latest.

    First for units that it had lent or borrowed: one loan. Second for its own part: its leases, and half a
    lease more until an heir, which asks every quarter of a lease, has a majority's grants.
    """
    return loan_ms * (1 - 2 * drift), lease_ms * (1 + 2 * drift) + lease_ms / 2
