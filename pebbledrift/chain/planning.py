"""Computes the next view to propose from the view in force and from which replicas are alive."""

from __future__ import annotations

from collections.abc import Callable

from pebbledrift.chain.messages import Stamp
from pebbledrift.chain.peers import ALIVE_TIMEOUT_S, Peer, PeerTable
from pebbledrift.chain.view import ChainMember, View, address_of
from spoolpier.records import record

# A new replica replaces a member that has been silent for this fraction of the catch-up time, at most 2 s.
REPLACE_FRACTION, MAX_REPLACE_S = 0.25, 2.0
MAX_MEMBERS = 9
JOIN_SETTLE_S = 0.3  # a returning replica has to be alive for this long before the chain changes for it


@record
class SilenceLimits:
    """For how many seconds a member may be silent before the members change."""

    replace_s: float  # before a waiting new replica replaces it
    shrink_s: float  # before it is removed, if there are more members than needed

    @classmethod
    def for_catch_up_time(cls, catch_up_s: float) -> SilenceLimits:
        """Derive the limits from `catch_up_s`, the least time between two losses.

        A change of members has to be complete before the next loss.
        """
        return cls(min(MAX_REPLACE_S, max(ALIVE_TIMEOUT_S, REPLACE_FRACTION * catch_up_s)), catch_up_s)


@record
class Plan:
    """The members and the chain that the next view should have."""

    members: tuple[str, ...]
    previous_members: tuple[str, ...]
    chain: tuple[ChainMember, ...]


@record
class ClusterStatus:
    """What the coordinator knows of the cluster when it plans the next view."""

    view: View
    established: bool  # the whole chain holds all entries that were committed in earlier views
    peers: PeerTable  # includes this replica
    now: float
    listening_since: float  # when this process began to receive heartbeats
    tolerated_failures: int
    silence_limits: SilenceLimits
    caught_up: Callable[[Peer], bool]  # whether a replica lacks so few entries that the chain need not wait


def coordinating_node(status: ClusterStatus) -> str | None:
    """Return the coordinator: the first live member in the order of the view, or None."""
    for node in status.view.members:
        if status.peers.live_peer(node, status.now):
            return node
    return None


def _is_gone(status: ClusterStatus, node: str, silence_limit_s: float) -> bool:
    """Whether a replica is leaving, or has been silent for longer than the limit."""
    peer = status.peers.live_peer(node, status.now)
    if peer is not None:
        return peer.heartbeat.leaving
    return status.peers.silence_s(node, status.now, status.listening_since) > silence_limit_s


def _joining_replicas(status: ClusterStatus) -> list[str]:
    """Healthy replicas that are eligible and not yet members, the longest alive first."""
    candidates = [
        peer
        for peer in status.peers.live_peers(status.now)
        if peer.heartbeat.eligible
        and peer.heartbeat.healthy
        and not peer.heartbeat.leaving
        and peer.heartbeat.node not in status.view.members
        and status.now - peer.alive_since >= JOIN_SETTLE_S
    ]
    return [
        peer.heartbeat.node for peer in sorted(candidates, key=lambda p: (p.alive_since, p.heartbeat.node))
    ]


def _zone(status: ClusterStatus, node: str) -> str:
    peer = status.peers.peers.get(node)
    return peer.heartbeat.zone if peer is not None else ""


def _member_replaced_by(status: ClusterStatus, joiner: str) -> str | None:
    """Return the member that a new replica replaces, or None if it can only be added.

    A member at the same address comes first, then a silent one in the zone of the new replica, then any
    silent one.
    """
    members = status.view.members
    for node in members:
        if address_of(node) == address_of(joiner):
            return node
    silent = [node for node in members if _is_gone(status, node, status.silence_limits.replace_s)]
    zone = _zone(status, joiner)
    return min(silent, key=lambda node: _zone(status, str(node)) != zone, default=None)


def _may_add_member(status: ClusterStatus, joiner: str) -> bool:
    """Whether a new replica may become an additional member: all members are alive, and it has caught up.

    It waits until a member that died just before the replica started would have been noticed: the replica may
    have been started to replace it.
    """
    members, peer = status.view.members, status.peers.peers[joiner]
    if len(members) >= MAX_MEMBERS or any(_is_gone(status, node, 0.0) for node in members):
        return False
    return status.now - peer.alive_since >= ALIVE_TIMEOUT_S + JOIN_SETTLE_S and status.caught_up(peer)


def _next_members(status: ClusterStatus) -> tuple[str, ...]:
    """Return the members of the next view: one change at a time, and none before the last one is complete.

    No member is added while another one is silent: a majority would then need more votes, and the silent
    member may be gone for good. A replica that replaces a silent member need not have caught up: its vote
    counts at once, and the chain runs without it until it has.
    """
    members = status.view.members
    if status.view.previous_members or not status.established:
        return members
    for joiner in _joining_replicas(status):
        replaced = _member_replaced_by(status, joiner)
        if replaced is not None:
            return tuple(joiner if node == replaced else node for node in members)
        if _may_add_member(status, joiner):
            return (*members, joiner)
    if len(members) > 2 * status.tolerated_failures + 1:
        for node in members:
            if _is_gone(status, node, status.silence_limits.shrink_s):
                return tuple(member for member in members if member != node)
    return members


def _plan_chain(
    status: ClusterStatus, members: tuple[str, ...], previous_members: tuple[str, ...]
) -> tuple[ChainMember, ...]:
    """Return the voters that can take part: first those of the current chain in its order, then the others.

    Voters outside the chain that have not caught up are included only if there is no quorum without them.
    """
    current = status.view.chain_nodes
    voters = dict.fromkeys([*members, *previous_members])
    ranked = sorted(voters, key=lambda node: current.index(node) if node in current else len(current))
    available, lagging = [], set()
    for node in ranked:
        peer = status.peers.live_peer(node, status.now)
        if peer is None or not peer.heartbeat.healthy or peer.heartbeat.leaving:
            continue
        settled = status.now - peer.alive_since >= JOIN_SETTLE_S
        if node in current or settled or not current:
            available.append(ChainMember(node, peer.heartbeat.incarnation))
            if node not in current and not status.caught_up(peer):
                lagging.add(node)
    ready = tuple(member for member in available if member.node not in lagging)
    sufficient = View(0, members, previous_members, ready).is_quorum([member.node for member in ready])
    return ready if sufficient else tuple(available)


def plan(status: ClusterStatus) -> Plan | None:
    """Return the next view to propose, or None if the current one needs no change or there is no quorum."""
    view = status.view
    members = _next_members(status)
    previous_members: tuple[str, ...] = ()
    if members != view.members:
        previous_members = view.members
    elif view.previous_members and not status.established:
        previous_members = view.previous_members
    chain = _plan_chain(status, members, previous_members)
    next_view = View(view.epoch + 1, members, previous_members, chain)
    if not next_view.is_quorum(next_view.chain_nodes):
        return None
    same = (next_view.members, next_view.previous_members, set(next_view.chain)) == (
        view.members,
        view.previous_members,
        set(view.chain),
    )
    return None if same else Plan(members, previous_members, chain)


def put_newest_log_first(
    chain: tuple[ChainMember, ...], stamps: dict[str, tuple[Stamp, int]]
) -> tuple[ChainMember, ...]:
    """Move the replica with the newest log among those that promised to the head of the chain.

    It becomes the head even if the plan left it out: only the newest log is certain to hold every
    acknowledged order. `stamps` gives the last stamp and the incarnation of each replica that promised.
    """
    newest = max(stamp for stamp, _ in stamps.values())
    holders = [member for member in chain if member.node in stamps and stamps[member.node][0] == newest]
    if holders:
        head = holders[0]
    else:
        node = next(node for node, (stamp, _) in stamps.items() if stamp == newest)
        head = ChainMember(node, stamps[node][1])
    return (head, *(member for member in chain if member.node != head.node))
