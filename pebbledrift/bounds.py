"""Bounds of a node: sizes, counts and times, filled once at the start and handed down."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Limits:
    """All sizes, counts and times; filled once at the start and handed down."""

    # sizes
    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024
    # one object of discovery's: 3,400 workers are 0.5 MB, and indented three times as much
    line_bytes: int = 4 * 1024 * 1024
    datagram_bytes: int = 256
    admin_line_bytes: int = 256  # one call of an operator
    write_buffer_bytes: int = 96 * 1024  # unread answers on one connection; more closes it
    held_bytes: int = 24 * 1024 * 1024  # bodies of open operations
    reading_bytes: int = 8 * 1024 * 1024  # requests that are not complete, on all front sockets
    ahead_bytes: int = 8 * 1024  # input read behind a request that is being served, on one connection
    linger_bytes: int = 512 * 1024  # input passed over behind the last answer on a front socket
    # counts
    front_sockets: int = 520
    spare_sockets: int = 40  # beyond these, for workers' call-backs
    backlog: int = 512
    accept_batch: int = 32
    beanstalk_sockets: int = 300  # only where that front is on; the others then have less
    destination_sockets: int = 320  # together, open and opening
    admin_sockets: int = 40  # operators' calls
    idle_per_destination: int = 24
    operations: int = 4000
    parts_offers: int = 4  # nodes of other parts that a free slot is offered to
    peers_batch: int = 256  # peers' datagrams read at once: about what the kernel's queue holds
    recent: int = 4096  # ids answered lately
    buried_jobs: int = 1000  # kept to be looked at
    reply_jobs: int = 10_000  # answers kept for producers to fetch
    reply_ttr_s: int = 60
    watched_tubes: int = 64
    bad_commands: int = 20  # lines in a row that are no commands, until the connection ends
    turned_down: int = 3  # requests in a row that a worker finds at fault, until it counts as ill itself
    store_entries: int = 20_000
    store_value_bytes: int = 150  # a value has to fit one datagram with its key
    store_key_bytes: int = 64
    store_file_bytes: int = 64 * 1024 * 1024  # of the store's file; beyond it nothing more is written
    repair_datagrams: int = 16  # at once, to all peers whose store differs
    core_deaths: int = 5  # of one core within core_deaths_ms end the node
    # times
    answer_margin_ms: float = 25.0  # a final answer is decided this long before the client gives up
    busy_retry_ms: float = 500.0
    connect_ms: float = 250.0
    accept_ms: float = 1500.0  # a worker's 202: it takes some round trips; none by then means cut off
    accept_again_ms: float = 500.0  # the same for what may be sent again: time is left for that then
    probe_ms: float = 400.0
    cancel_ms: float = 2000.0
    idle_ms: float = 30_000.0  # destinations close theirs after limits.idle_close_ms; ours go well before
    first_ms: float = 2000.0  # a connection's first request has to be complete by then
    stale_ms: float = 100.0  # a kept connection that breaks this soon under a request had been dropped before
    settle_ms: float = 40.0  # a kept connection rests so long before its next request: a surplus answer shows
    fresh_ms: float = 20.0  # idle time up to which a kept connection is trusted whatever broke
    distrust_ms: float = 20_000.0  # so long after such a break only fresh ones are, and
    hold_ms: float = 3.0  # the last byte of a request is kept back for a round trip, at least this long
    hold_most_ms: float = 40.0
    input_ms: float = 2000.0  # any later one, once begun
    young_ms: float = 100.0  # so long a silent connection need not make room for others
    accept_pause_ms: float = 20.0  # a full table lets newcomers wait in the listening queue
    linger_answer_ms: float = 200.0  # between the last answer of a connection and its close
    unread_ms: float = 8000.0  # a client that reads nothing of its answer for so long is let go of
    linger_close_ms: float = 1000.0  # after an error the other side has this long to read it and close
    front_idle_ms: float = 75_000.0
    admin_ms: float = 10_000.0  # an operator's call has to be complete by then
    meet_ms: float = 1500.0  # an older process that has told nothing by then is not waited for
    sweep_ms: float = 250.0  # between looks for connections to close, on a node that is emptied
    watch_connect_ms: float = 1000.0
    list_ms: float = 2500.0  # a call for the whole list: calls wait for one another at discovery
    # an empty line comes every 2 s; not 3 s: rounds of 5 s would have it found out just after a node's turn
    watch_silent_ms: float = 2400.0
    news_told_ms: float = 5000.0  # news of a watch count as told after 6 s; a line of it may be late itself
    watch_retry_ms: float = 100.0  # between two calls at least
    watch_turn_ms: float = 170.0  # of each node in a round: about what a call takes at a busy discovery
    watch_at_once_ms: float = 1500.0  # where a round takes no longer, a first call waits for no turn
    watch_rounds: int = 4  # that a node whose calls fail lets pass, at most
    ready_without_watch_ms: float = 500.0  # the list known before is served meanwhile
    ready_above_elder_ms: float = 6000.0  # the same in an upgrade, where the older process serves
    take_ms: float = 600.0  # after SIGTERM operations are taken in for this long: later ones may meet SIGKILL
    linger_ms: float = 1000.0  # and connections stay open on which nothing is owed
    peers_pause_ms: float = 100.0  # once a peer's datagram has woken the node, those after it wait so long
    fills_gather_ms: float = 20.0  # what changes at workers within this goes to the peers in one datagram
    fills_again_ms: float = 2000.0  # what goes on there is told again after this
    fills_believed_ms: float = 5000.0  # and forgotten by a peer that has not heard of it for this long
    parts_every_ms: float = 500.0  # a part of a large fleet tells the others what it has free
    repair_ms: float = 20.0  # between two times that so many go out
    digest_ms: float = 5000.0  # between digests of the store to the peers; none while it is empty
    store_ask_ms: float = 200.0  # between two questions whether what this node remembers still holds
    store_alone_ms: float = 0.0  # after which it goes by that where no peer answers; 0: never
    forget_ms: float = 600_000.0  # removed entries are remembered for this long
    finished_ms: float = 60_000.0  # states of answered operations are kept for this long
    core_deaths_ms: float = 60_000.0
    core_again_ms: float = 100.0  # until a core that has died starts again, doubled with each death up to
    core_again_most_ms: float = 5000.0
