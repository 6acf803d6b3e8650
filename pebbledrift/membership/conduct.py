"""What each part of the node does in each standing of the group. No I/O; docs/membership.md has the table.

No rule rests on a view: it may be wrong, old, or another one at the next node. What may be over if two nodes
hold different views (a cold worker's budget) is bounded by leases, which grow only by what others have
provably given up (lease.py). What is left to the view costs work or bytes where views differ, and nothing
else.
"""

from __future__ import annotations

from dataclasses import dataclass

from pebbledrift.membership.view import Standing


@dataclass(frozen=True, slots=True)
class Conduct:
    """The row of one standing."""

    lease_more: bool  # ask for the parts of members that are dead or left, beside one's own
    turns_by_view: bool  # rounds at discovery are as long as there are members, not as configured
    tell_alive: bool  # fills are told to those that answer, not to all that are configured
    duties: bool  # periodic work that has one owner
    repair: bool  # digests of the store are sent


TABLE = {
    # two nodes that count members differently may call discovery at once: it answers one later
    Standing.WHOLE: Conduct(lease_more=True, turns_by_view=True, tell_alive=True, duties=True, repair=True),
    # the other part may do the same: leases let one part alone have more, duties are done in both
    Standing.PARTED: Conduct(lease_more=True, turns_by_view=True, tell_alive=True, duties=True, repair=True),
    # all the work there is; nobody hears fills or digests, and no majority can lend anything
    Standing.ALONE: Conduct(
        lease_more=False, turns_by_view=False, tell_alive=False, duties=True, repair=False
    ),
    # nothing that others may be doing; fills go to all, since who answers is not known
    Standing.UNSURE: Conduct(
        lease_more=False, turns_by_view=False, tell_alive=False, duties=False, repair=False
    ),
}


def conduct(standing: Standing) -> Conduct:
    """What is done in a standing."""
    return TABLE[standing]
