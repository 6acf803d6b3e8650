"""HTTP client of the keepers' control interface; fails over to the next keeper on errors."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable, Iterator
from itertools import cycle
from typing import Any
from urllib.parse import urljoin, urlsplit

import urllib3
from logbook import Logger
from urllib3.exceptions import HTTPError

from pebbledrift.cluster.boot import Address, format_address, parse_address
from pebbledrift.cluster.errors import BootError
from pebbledrift.console.errors import (
    ConsoleError,
    FaultyConfiguration,
    NoDefinitiveResponse,
    VersionConflict,
)
from pebbledrift.control.orders import OrderKind
from spoolpier.records import record

log = Logger("pebbledrift.console")

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 5.0  # a keeper without a definitive outcome reports so within 4.5 s
RETRY_PAUSE_S = 0.2
MAX_REDIRECTS = 2
BASE_VERSION_HEADER = "X-Pebbledrift-Base-Version"
CHANGE_PATHS = {OrderKind.REPLACE: "/-/config/replace", OrderKind.UPDATE: "/-/config/update"}


@record
class KeeperResponse:
    """An HTTP response of a keeper, with its body decoded from JSON."""

    keeper: str
    status: int
    body: Any


def parse_keepers(texts: Iterable[str]) -> list[Address]:
    """Parse keeper addresses (HOST:PORT), skipping blank ones; raises ConsoleError if one is malformed."""
    try:
        return [parse_address(text.strip(), "--keeper") for text in texts if text.strip()]
    except BootError as error:
        raise ConsoleError(str(error)) from None


class FleetClient:
    """Calls the given keepers one after the other until one gives a definitive response.

    `timeout_s` is the time in seconds after which no further round of attempts starts. Responses with
    status 408, 429 or 5xx, and calls without a readable response, are not definitive and are retried.
    """

    def __init__(
        self,
        keepers: Iterable[Address],
        timeout_s: float,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.keepers = [format_address(keeper) for keeper in keepers]
        if not self.keepers:
            raise ConsoleError("--keeper: the address of at least one keeper's control interface is required")
        self._timeout_s, self._clock, self._sleep = timeout_s, clock, sleep
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._http = urllib3.PoolManager(timeout=timeout, retries=False)

    def fetch_keeper_status(self, keeper: str) -> dict[str, Any] | None:
        """Return the status that one keeper reports, or None if it fails or is unreachable."""
        response = self._call_once(keeper, "GET", "/-/status")
        return response.body if response is not None and response.status == 200 else None

    def read_configuration(self) -> dict[str, Any]:
        """Return the newest configuration; raises NoDefinitiveResponse if no keeper supplies it."""
        response = self._call("GET", "/-/config/read")
        if response.status != 200:
            raise NoDefinitiveResponse(f"{response.keeper}: {response.status}: {_error_message(response)}")
        return dict(response.body)

    def submit_change(self, kind: OrderKind, base: int, body: bytes) -> None:
        """Submit a change that builds on version `base`; the identical request is retried.

        Raises VersionConflict, FaultyConfiguration, NoDefinitiveResponse, or ConsoleError for other errors.
        """
        response = self._call("POST", CHANGE_PATHS[kind], body, {BASE_VERSION_HEADER: str(base)})
        if response.status == 200:
            return
        reason = _error_message(response)
        if response.status == 412:
            raise VersionConflict(f"the change builds on version {base}, but {reason}")
        if response.status == 400:
            raise FaultyConfiguration(reason.split("; "))
        raise ConsoleError(f"{response.keeper}: {response.status}: {reason}")

    def _call(
        self, method: str, path: str, body: bytes | None = None, headers: dict[str, str] | None = None
    ) -> KeeperResponse:
        deadline = self._clock() + self._timeout_s
        for keeper in self._keeper_attempts(deadline):
            response = self._call_once(keeper, method, path, body, headers)
            if response is not None and response.status < 500 and response.status not in (408, 429):
                return response
        raise NoDefinitiveResponse(
            f"no definitive response within {self._timeout_s:g} s from {', '.join(self.keepers)}"
        )

    def _keeper_attempts(self, deadline: float) -> Iterator[str]:
        """Yield each keeper once, then cycle through them until `deadline`, pausing before each retry."""
        for attempt, keeper in enumerate(cycle(self.keepers)):
            if attempt >= len(self.keepers):
                if self._clock() >= deadline:
                    return
                self._sleep(RETRY_PAUSE_S)
            yield keeper

    def _call_once(
        self,
        keeper: str,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> KeeperResponse | None:
        """Send one request to a keeper, following redirects; None if there is no readable response."""
        url = f"http://{keeper}{path}"
        for _ in range(1 + MAX_REDIRECTS):
            try:
                response = self._http.request(method, url, body=body, headers=headers, redirect=False)
                location = response.headers.get("Location")
                if response.status != 307 or not location:
                    return KeeperResponse(
                        urlsplit(url).netloc, response.status, json.loads(response.data or b"null")
                    )
            except (HTTPError, ValueError) as error:
                log.info("call failed: keeper={} path={} error={!r}", keeper, path, str(error))
                return None
            url = urljoin(url, location)
        return None


def _error_message(response: KeeperResponse) -> str:
    """Return the error message in the body of a response."""
    if isinstance(response.body, dict) and "error" in response.body:
        return str(response.body["error"])
    return "no reason given"
