"""A request once it is admitted: what its flow and its attempts go by."""

from __future__ import annotations

from pebbledrift.net.http import Message
from pebbledrift.router.routes import Route, Tenant
from spoolpier.records import record


@record
class Admitted:
    """A request that is to be carried out."""

    name: str
    message: Message
    route: Route
    tenant: Tenant | None
    strip_key: bool
    deadline: float  # loop time
    key: int | None
    prompt_tokens: float | None
    output_tokens: float | None  # the most that the client wants
    arrived: float  # loop time of its last byte
