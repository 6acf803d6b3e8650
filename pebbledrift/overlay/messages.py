"""Messages on connections between keepers and routers, and between keepers about worker instances."""

from __future__ import annotations

from pebbledrift.chain.messages import Entry, Snapshot
from pebbledrift.cluster.codec import message
from pebbledrift.control.registry import Instance

ROLE_KEEPER = "keeper"
ROLE_ROUTER = "router"


@message(100)
class KeeperState:
    """A keeper's status, sent to the routers periodically and whenever it changes."""

    epoch: int
    lenders: tuple[str, ...]  # addresses of the chain's head, which lends tokens, and of its successor
    current: bool  # its configuration is at least as recent as any configuration in force
    committed: tuple[int, int]
    complete: bool  # it knows every worker that reports to any keeper
    keepers: tuple[tuple[str, str], ...]  # address and zone of each live keeper
    router_count: int  # routers connected to this keeper
    running: tuple[tuple[str, float], ...]  # by service: short-prompt requests running at all routers

    @property
    def head(self) -> str:
        """Address of the head of the chain, or an empty string if there is none."""
        return self.lenders[0] if self.lenders else ""


@message(101)
class InstanceUpdate:
    """Worker instances that are new or have changed."""

    instances: tuple[Instance, ...]


@message(102)
class InstanceHeartbeats:
    """Heartbeats received since the last such message, and the router count; sent between keepers."""

    sequences: tuple[tuple[str, int], ...]  # instance and sequence number of its latest heartbeat
    router_count: int  # routers connected to the sending keeper


@message(103)
class InstanceSnapshot:
    """All worker instances known to the sender; `complete` is defined as in KeeperState."""

    instances: tuple[Instance, ...]
    complete: bool


@message(104)
class UpdateReceived:
    """Confirms that a NumberedUpdate is stored on the disk of the keeper that sends this."""

    number: int
    incarnation: int  # of the keeper that sent the update: its next process numbers from 1 again


@message(105)
class NumberedUpdate:
    """Instance changes for which the sending keeper awaits an UpdateReceived."""

    number: int
    incarnation: int  # incarnation of the sending keeper
    instances: tuple[Instance, ...]


@message(106)
class RouterReport:
    """Load report that a router sends to the keepers twice a second."""

    revision: int  # of the configuration in force at the router; 0 before the first one
    running: tuple[tuple[str, float], ...]  # by service: average number of running short-prompt requests


@message(107)
class StateNotice:
    """The state of the keeper `origin`, forwarded by relays, `age_s` seconds after the keeper sent it.

    `number` rises with each notice of one incarnation of the keeper, so that a relay recognizes a notice
    that returns to it through a loop of relays.
    """

    state: KeeperState
    origin: str
    incarnation: int
    number: int
    age_s: float


@message(113)
class StatusRequest:
    """A starting router asks a keeper whether its configuration is at least as recent as any in force."""

    number: int


@message(114)
class StatusReply:
    """Answers the StatusRequest with the same number."""

    number: int
    current: bool
    committed: tuple[int, int]


@message(108)
class Subscribe:
    """A router asks a keeper or relay to forward all updates to it."""

    zone: str


@message(112)
class Unsubscribe:
    """A router that stays connected asks for no further updates."""


@message(109)
class Redirect:
    """Refuses a Subscribe and names relays that may accept it, as pairs of address and zone."""

    relays: tuple[tuple[str, str], ...]


@message(110)
class ConfigFetch:
    """A router asks for everything committed after the stamp of its own configuration."""

    committed: tuple[int, int]


@message(111)
class ConfigUpdate:
    """Committed configuration: the entries after `after`, preceded by a snapshot if they are not enough."""

    after: tuple[int, int]
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]


@message(120)
class TokenRequest:
    """A router asks for tokens of a tenant: at least `need`, and up to `want` if available."""

    number: int
    tenant: str
    need: float
    want: float
    priority: int  # a LoanPriority


@message(121)
class TokenGrant:
    """Tokens granted in the view `epoch`, and after how long to retry if the grant was too small."""

    number: int
    epoch: int
    tenant: str
    granted: float
    retry_after_s: float


@message(122)
class TokenReport:
    """Tokens spent of each quota, in slots of half a second, newest first; the router has run for `age_s`."""

    epoch: int
    age_s: float
    spent: tuple[tuple[str, tuple[float, ...]], ...]
