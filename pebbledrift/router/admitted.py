"""The data of a request that its flow and its attempts use."""

from __future__ import annotations

from pebbledrift.net.http import Message
from pebbledrift.router.routes import Route, Tenant
from spoolpier.records import record


@record
class Admitted:
    """A request that matched a route and passed authentication, where the route requires it."""

    name: str  # unique within this process; not the client's request id
    message: Message
    route: Route
    tenant: Tenant | None
    strip_key: bool  # remove the API key before the request goes to a worker
    deadline: float  # loop time
    key: int | None  # routing key of the prompt's prefix
    prompt_tokens: float | None
    output_tokens: float | None  # maximum that the client asks for
    arrived: float  # loop time at which its last byte was received
