"""The fleet over real connections: keepers and routers as processes, stand-in workers, on loopback."""

from __future__ import annotations

import contextlib
import http.client
import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from pebbledrift.router.run_times import MIN_SAMPLES
from rig.fleet import API_KEY, Fleet, Worker, example_config, wait_for

pytestmark = pytest.mark.xdist_group("processes")


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(3, 2, tmp_path)
    try:
        made.start_all()
        made.add_worker("worker-0")
        assert made.replace(example_config(1), 0) == 200
        wait_for(lambda: all(made.serves_control(number) for number in range(3)), "all keepers")
        for router in range(2):
            wait_for(lambda router=router: made.ready(router), f"router {router}")  # type: ignore[misc]
        yield made
    finally:
        made.close()


def served_by(fleet: Fleet, router: int, path: str = "/plain/1") -> str:
    status, headers, _ = fleet.request(router, path)
    assert status == 200, status
    return headers["x-pebbledrift-response-seal"]


def revision(fleet: Fleet, keeper: int) -> int:
    status, config = fleet.control(keeper, "GET", "/-/config/read")
    return int(config["revision"]) if status == 200 else 0


def test_requests_reach_a_worker_as_the_pages_say(fleet: Fleet) -> None:
    worker: Worker = fleet.workers[0]
    status, headers, body = fleet.request(0, "/plain/x?q=1", b"the body", X_Pebbledrift_Tenant="another")
    assert (status, body) == (200, b"served by worker-0")
    path, seen, told = worker.requests[-1]
    assert (path, told) == ("/plain/x?q=1", b"the body")
    assert "authorization" not in seen
    assert seen["x-pebbledrift-tenant"] == "estate-1"
    assert seen["x-pebbledrift-expect-instance"] == "worker-0"
    assert 0 < int(seen["x-pebbledrift-deadline-ms"]) <= 3000
    assert fleet.request(0, "/none/x")[0] == 404
    assert fleet.request(1, "/plain/x", Authorization="Token unknown")[0] == 401
    assert len(worker.requests) == 1


def test_a_broken_stream_goes_on_behind_the_last_whole_event(fleet: Fleet) -> None:
    first, other = fleet.workers[0], fleet.add_worker("worker-1")
    wait_for(lambda: "worker-1" in fleet.control(1, "GET", "/-/status")[1]["instances"], "worker-1 known")
    fleet.break_after = 2
    status, headers, body = fleet.request(0, "/stream/1")
    assert status == 200
    assert body == b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2, 3))
    resumed = next(w for w in (first, other) if "last-event-id" in w.requests[-1][1])
    begun = other if resumed is first else first
    assert headers["x-pebbledrift-response-seal"] == f"seal-{begun.name}"
    assert resumed.requests[-1][1]["last-event-id"] == "2"


def test_nothing_goes_to_a_worker_whose_drain_was_acknowledged(fleet: Fleet) -> None:
    other = fleet.add_worker("worker-1")
    wait_for(lambda: "worker-1" in fleet.control(1, "GET", "/-/status")[1]["instances"], "worker-1 known")
    leaving = fleet.workers[0]
    leaving.state = "draining"
    assert leaving.beat()
    count = len(leaving.requests)
    for number in range(10):
        assert served_by(fleet, number % 2) == f"seal-{other.name}"
    assert len(leaving.requests) == count


def test_a_lost_keeper_is_done_without_and_gets_all_again(fleet: Fleet) -> None:
    victim = fleet.keepers[0]
    fleet.end(victim)
    assert fleet.replace(example_config(2), 1, keeper=1) == 200
    fleet.bootstrap = False
    for path in (fleet.folder / victim / "keeper").iterdir():
        path.unlink()
    fleet.start(victim)
    wait_for(lambda: _reads(fleet, 0, 2), "the lost keeper reads the newest configuration")
    wait_for(lambda: len(fleet.control(1, "GET", "/-/status")[1]["chain"]) == 3, "three in the chain")
    members = fleet.control(1, "GET", "/-/status")[1]["members"]
    assert len(members) == 3 and not any(node == f"{victim}:{fleet.internal}/0" for node in members)


def _reads(fleet: Fleet, keeper: int, wanted: int) -> bool:
    try:
        return revision(fleet, keeper) == wanted
    except OSError:
        return False


def test_all_are_killed_and_serve_again(fleet: Fleet) -> None:
    everyone = [*fleet.keepers, *fleet.routers]
    for address in everyone:
        fleet.end(address)
    fleet.bootstrap = False
    for address in everyone:
        fleet.start(address)
    wait_for(lambda: fleet.ready(0) and fleet.ready(1), "both routers")
    assert served_by(fleet, 0) == served_by(fleet, 1) == "seal-worker-0"
    wait_for(lambda: _reads(fleet, 2, 1), "the configuration is read back")


def test_what_was_read_before_sigterm_is_answered(fleet: Fleet) -> None:
    fleet.workers[0].event_pause_s = 0.4
    answers: list[tuple[int, bytes]] = []

    def ask() -> None:
        status, _, body = fleet.request(0, "/stream/1")
        answers.append((status, body))

    asking = threading.Thread(target=ask)
    asking.start()
    wait_for(lambda: bool(fleet.workers[0].requests), "the request is at the worker")
    process = fleet.processes[fleet.routers[0]]
    process.send_signal(signal.SIGTERM)
    wait_for(lambda: not fleet.ready(0), "not ready any more")
    asking.join(10.0)
    assert answers and answers[0][0] == 200 and answers[0][1].count(b"id: ") == 3
    assert process.wait(10.0) == 0


def test_what_is_read_long_after_sigterm_is_refused_at_once(fleet: Fleet) -> None:
    for _ in range(MIN_SAMPLES):  # while leaving it goes by how long such requests take
        assert fleet.request(0, "/plain/x")[0] == 200
    fleet.workers[0].requests.clear()
    fleet.workers[0].event_pause_s = 1.2

    def ask() -> None:
        with contextlib.suppress(http.client.IncompleteRead):  # it may reach the end of the grace
            fleet.request(0, "/stream/1")

    asking = threading.Thread(target=ask)
    asking.start()
    wait_for(lambda: bool(fleet.workers[0].requests), "the request is at the worker")
    fleet.processes[fleet.routers[0]].send_signal(signal.SIGTERM)
    answers: list[tuple[int, dict[str, str]]] = []

    def refused() -> bool:
        status, headers, _ = fleet.request(0, "/plain/x")
        answers.append((status, headers))
        return status != 200

    wait_for(refused, "a request is not taken any more")
    asking.join(10.0)
    status, headers = answers[-1]
    assert status == 503 and float(headers["retry-after"]) < 1 and headers["connection"] == "close"
    assert len(answers) > 1, "short requests are taken on for a while"
    assert [status for status, _ in answers[:-1]] == [200] * (len(answers) - 1)


def test_a_request_sent_in_advance_has_the_time_that_is_left_of_its_own(fleet: Fleet) -> None:
    """A worker that is handed more goes on for a client that has given up."""
    worker = fleet.workers[0]
    worker.event_pause_s = 0.3
    with socket.create_connection((fleet.routers[0], fleet.front), timeout=10) as client:
        client.sendall(b"".join(_request(f"/stream/{number}", f"r-{number}") for number in range(2)))
        wait_for(lambda: len(worker.requests) == 2, "both at the worker")
    first, second = (int(headers["x-pebbledrift-deadline-ms"]) for _, headers, _ in worker.requests)
    assert 2900 < first <= 3000 and second <= 3000 - 3 * 300


def test_a_client_that_has_sent_much_in_advance_and_leaves_is_noticed(fleet: Fleet) -> None:
    """Nothing more is read of it then, so that its end has to be looked for."""
    worker = fleet.workers[0]
    worker.event_pause_s = 5.0  # nothing is written to the client in between, which would show it too
    client = socket.create_connection((fleet.routers[0], fleet.front), timeout=10)
    client.sendall(b"".join(_request(f"/stream/{number}", f"r-{number}") for number in range(8)))
    wait_for(lambda: len(worker.requests) == 1, "the first at the worker")
    client.close()
    wait_for(lambda: 'cause="client"} 1' in fleet.metrics(0) or _clients(fleet) == 0, "its end noticed", 2.0)
    assert len(worker.requests) == 1


def _request(path: str, name: str) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: estate.example\r\nAuthorization: Token {API_KEY}\r\n"
        f"X-Pebbledrift-Request-Id: {name}\r\nX-Pebbledrift-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def _clients(fleet: Fleet) -> int:
    lines = fleet.metrics(0).splitlines()
    return int(next(line.split()[1] for line in lines if line.startswith("pebbledrift_client_connections ")))


def test_a_client_that_leaves_takes_its_request_from_the_worker(fleet: Fleet) -> None:
    worker = fleet.workers[0]
    worker.event_pause_s = 0.2
    connection = http.client.HTTPConnection(fleet.routers[0], fleet.front, timeout=5)
    headers = {
        "Host": "estate.example",
        "Authorization": "Token key-of-estate-1",
        "X-Pebbledrift-Request-Id": "left",
        "X-Pebbledrift-Deadline-Ms": "3000",
    }
    connection.request("POST", "/stream/1", b"{}", headers)
    assert connection.getresponse().status == 200
    connection.close()
    worker.event_pause_s = 0.0
    began = time.monotonic()
    assert fleet.request(0, "/stream/2")[0] == 200
    assert time.monotonic() - began < 2.0
