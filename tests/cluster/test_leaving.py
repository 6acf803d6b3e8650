"""A router that leaves takes on nothing that it cannot finish.

The incident: beside a change of the configuration a chat ended within its answer, 6.3 s after it was
admitted. Days of planned work alone, with a log line for each answer that is cut, brought it about four
times: the router had got SIGTERM 1.1 to 1.9 s before it admitted the chat, and gives up what is open 7.3 s
after it. All that came in the first 2.5 s was taken on, however long it would take. The SIGTERM did not stand
in the record, as the keeper beside the router had ended and come back by then; the record's times fit it.
"""

from __future__ import annotations

import http.client
import signal
import time
from pathlib import Path

import pytest

from pebbledrift.router.run_times import SAMPLES_LEAST
from rig.fleet import API_KEY, LONGEST_S, Fleet, example_config, wait_for

WAIT_MS = 10_000
SLOW_PAUSE_S, FAST_PAUSE_S = 1.0, 0.05  # between events; three make a stream
LONG, SHORT = 3000, 150  # tokens that a request declares, each of a millisecond


class Client:
    """Uses one connection for all its requests."""

    def __init__(self, fleet: Fleet) -> None:
        self._connection = http.client.HTTPConnection(fleet.routers[0], fleet.front, timeout=LONGEST_S)
        self._number = 0

    def stream(self, tokens: int) -> tuple[int, bytes, str | None]:
        """Status, body and Retry-After of a stream that declares so many tokens."""
        self._number += 1
        headers = {
            "Host": "estate.example",
            "Authorization": f"Token {API_KEY}",
            "X-Pebbledrift-Request-Id": f"r-{self._number}",
            "X-Pebbledrift-Deadline-Ms": str(WAIT_MS),
            "X-Pebbledrift-Token-Count": f"10,{tokens}",
        }
        self._connection.request("POST", "/stream/x", b"{}", headers)
        answer = self._connection.getresponse()
        return answer.status, answer.read(), answer.getheader("Retry-After")


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
        for number in range(SAMPLES_LEAST):
            assert clients[number % 2].stream(SHORT)[0] == 200

        process = fleet.processes[fleet.routers[0]]
        process.send_signal(signal.SIGTERM)
        wait_for(lambda: not fleet.ready(0), "the router leaving")
        worker.event_pause_s = SLOW_PAUSE_S
        asked = time.monotonic()
        status, _, retry_after = clients[0].stream(LONG)  # cut in the middle before the mend
        assert status == 503 and retry_after is not None and float(retry_after) > 0
        assert time.monotonic() - asked < SLOW_PAUSE_S, "it was held"
        worker.event_pause_s = FAST_PAUSE_S
        status, body, _ = clients[1].stream(SHORT)
        assert status == 200 and body.count(b"data: ") == 3
        assert process.wait(LONGEST_S) == 0
    finally:
        fleet.close()
