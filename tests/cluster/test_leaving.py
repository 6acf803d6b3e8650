"""A router that is shutting down accepts no request that it cannot finish.

A request admitted shortly after SIGTERM was cut at the end of the grace period, within its answer. The router
gives up whatever is still open 7.3 s after SIGTERM, but it accepted every request of the first 2.5 s, no
matter how long it would run. Runs of planned restarts reproduced the fault four times, with requests that
were admitted 1.1 to 1.9 s after SIGTERM; in the original incident the answer ended 6.3 s after its admission.
That incident's record does not show the SIGTERM, because the keeper next to the router had restarted by then;
its times are consistent with it.
"""

from __future__ import annotations

import http.client
import signal
import time
from pathlib import Path

import pytest

from pebbledrift.router.run_times import MIN_SAMPLES
from rig.fleet import API_KEY, LONGEST_S, Fleet, example_config, wait_for

WAIT_MS = 10_000
SLOW_PAUSE_S, FAST_PAUSE_S = 1.0, 0.05  # between events; a stream has three
LONG, SHORT = 3000, 150  # output tokens that a request declares; each takes about a millisecond


class Client:
    """An HTTP client that sends all its requests over one connection."""

    def __init__(self, fleet: Fleet) -> None:
        self._connection = http.client.HTTPConnection(fleet.routers[0], fleet.front, timeout=LONGEST_S)
        self._number = 0

    def stream(self, tokens: int) -> tuple[int, bytes, str | None]:
        """Requests a stream that declares this number of tokens. Returns status, body and Retry-After."""
        self._number += 1
        headers = {
            "Host": "estate.example",
            "Authorization": f"Token {API_KEY}",
            "X-Pebbledrift-Request-Id": f"r-{self._number}",
            "X-Pebbledrift-Deadline-Ms": str(WAIT_MS),
            "X-Pebbledrift-Token-Count": f"10,{tokens}",
        }
        self._connection.request("POST", "/stream/x", b"{}", headers)
        response = self._connection.getresponse()
        return response.status, response.read(), response.getheader("Retry-After")


@pytest.mark.xdist_group("processes")
def test_a_leaving_router_refuses_what_it_could_not_finish_and_serves_the_rest(tmp_path: Path) -> None:
    fleet = Fleet(1, 1, tmp_path, first=235)
    config = example_config(1)
    for route in config["routes"]:
        route["timeout-ms"] = WAIT_MS
    try:
        fleet.start_all()
        worker = fleet.add_worker("worker-0")
        assert fleet.replace(config, 0) == 200
        wait_for(lambda: fleet.ready(0), "the router ready")
        clients = [Client(fleet) for _ in range(2)]
        worker.event_pause_s = FAST_PAUSE_S
        for number in range(MIN_SAMPLES):
            assert clients[number % 2].stream(SHORT)[0] == 200

        process = fleet.processes[fleet.routers[0]]
        process.send_signal(signal.SIGTERM)
        wait_for(lambda: not fleet.ready(0), "the router leaving")
        worker.event_pause_s = SLOW_PAUSE_S
        requested_at = time.monotonic()
        status, _, retry_after = clients[0].stream(LONG)  # without the check it is cut within its answer
        assert status == 503 and retry_after is not None and float(retry_after) > 0
        assert time.monotonic() - requested_at < SLOW_PAUSE_S, "the refusal was delayed"
        worker.event_pause_s = FAST_PAUSE_S
        status, body, _ = clients[1].stream(SHORT)
        assert status == 200 and body.count(b"data: ") == 3
        assert process.wait(LONGEST_S) == 0
    finally:
        fleet.close()
