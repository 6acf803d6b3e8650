"""Tests a fleet of real keeper and router processes with stub workers over loopback connections."""

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
    started_fleet = Fleet(3, 2, tmp_path)
    try:
        started_fleet.start_all()
        started_fleet.add_worker("worker-0")
        assert started_fleet.replace(example_config(1), 0) == 200
        wait_for(
            lambda: all(started_fleet.serves_control(keeper) for keeper in range(3)),
            "all keepers serve the control interface",
        )
        for router in range(2):
            wait_for(lambda router=router: started_fleet.ready(router), f"router {router} is ready")  # type: ignore[misc]
        yield started_fleet
    finally:
        started_fleet.close()


def served_by(fleet: Fleet, router: int, path: str = "/plain/1") -> str:
    """Sends a request, which has to succeed, and returns the seal of the worker that served it."""
    status, headers, _ = fleet.request(router, path)
    assert status == 200, status
    return headers["x-pebbledrift-response-seal"]


def config_revision(fleet: Fleet, keeper: int) -> int:
    """Returns the revision of the configuration that the keeper reports, or 0 if it reports none."""
    status, config = fleet.control(keeper, "GET", "/-/config/read")
    return int(config["revision"]) if status == 200 else 0


def test_requests_reach_a_worker_with_the_documented_headers(fleet: Fleet) -> None:
    worker: Worker = fleet.workers[0]
    status, headers, body = fleet.request(0, "/plain/x?q=1", b"the body", X_Pebbledrift_Tenant="another")
    assert (status, body) == (200, b"served by worker-0")
    path, received_headers, received_body = worker.requests[-1]
    assert (path, received_body) == ("/plain/x?q=1", b"the body")
    assert "authorization" not in received_headers
    assert received_headers["x-pebbledrift-tenant"] == "estate-1"
    assert received_headers["x-pebbledrift-expect-instance"] == "worker-0"
    assert 0 < int(received_headers["x-pebbledrift-deadline-ms"]) <= 3000
    assert fleet.request(0, "/none/x")[0] == 404
    assert fleet.request(1, "/plain/x", Authorization="Token unknown")[0] == 401
    assert len(worker.requests) == 1


def test_a_broken_stream_resumes_after_the_last_complete_event(fleet: Fleet) -> None:
    first, other = fleet.workers[0], fleet.add_worker("worker-1")
    wait_for(
        lambda: "worker-1" in fleet.control(1, "GET", "/-/status")[1]["instances"], "worker-1 is registered"
    )
    fleet.break_after = 2
    status, headers, body = fleet.request(0, "/stream/1")
    assert status == 200
    assert body == b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2, 3))
    resuming_worker = next(worker for worker in (first, other) if "last-event-id" in worker.requests[-1][1])
    starting_worker = other if resuming_worker is first else first
    assert headers["x-pebbledrift-response-seal"] == f"seal-{starting_worker.name}"
    assert resuming_worker.requests[-1][1]["last-event-id"] == "2"


def test_no_request_is_sent_to_a_worker_after_its_drain_was_acknowledged(fleet: Fleet) -> None:
    remaining_worker = fleet.add_worker("worker-1")
    wait_for(
        lambda: "worker-1" in fleet.control(1, "GET", "/-/status")[1]["instances"], "worker-1 is registered"
    )
    draining_worker = fleet.workers[0]
    draining_worker.state = "draining"
    assert draining_worker.beat()
    request_count = len(draining_worker.requests)
    for index in range(10):
        assert served_by(fleet, index % 2) == f"seal-{remaining_worker.name}"
    assert len(draining_worker.requests) == request_count


def test_the_fleet_works_without_a_lost_keeper_which_recovers_its_state_after_restart(fleet: Fleet) -> None:
    lost_keeper = fleet.keepers[0]
    fleet.end(lost_keeper)
    assert fleet.replace(example_config(2), 1, keeper=1) == 200
    fleet.bootstrap = False
    for path in (fleet.folder / lost_keeper / "keeper").iterdir():
        path.unlink()
    fleet.start(lost_keeper)
    wait_for(lambda: _reads_revision(fleet, 0, 2), "the lost keeper reads the newest configuration")
    wait_for(
        lambda: len(fleet.control(1, "GET", "/-/status")[1]["chain"]) == 3, "the chain has three members"
    )
    members = fleet.control(1, "GET", "/-/status")[1]["members"]
    assert len(members) == 3 and not any(node == f"{lost_keeper}:{fleet.internal}/0" for node in members)


def _reads_revision(fleet: Fleet, keeper: int, expected_revision: int) -> bool:
    try:
        return config_revision(fleet, keeper) == expected_revision
    except OSError:
        return False


def test_the_fleet_serves_again_after_all_processes_were_killed(fleet: Fleet) -> None:
    all_addresses = [*fleet.keepers, *fleet.routers]
    for address in all_addresses:
        fleet.end(address)
    fleet.bootstrap = False
    for address in all_addresses:
        fleet.start(address)
    wait_for(lambda: fleet.ready(0) and fleet.ready(1), "both routers are ready")
    assert served_by(fleet, 0) == served_by(fleet, 1) == "seal-worker-0"
    wait_for(lambda: _reads_revision(fleet, 2, 1), "keeper 2 reads the configuration")


def test_a_request_read_before_sigterm_is_answered(fleet: Fleet) -> None:
    fleet.workers[0].event_pause_s = 0.4
    answers: list[tuple[int, bytes]] = []

    def send_request() -> None:
        status, _, body = fleet.request(0, "/stream/1")
        answers.append((status, body))

    request_thread = threading.Thread(target=send_request)
    request_thread.start()
    wait_for(lambda: bool(fleet.workers[0].requests), "the worker has received the request")
    process = fleet.processes[fleet.routers[0]]
    process.send_signal(signal.SIGTERM)
    wait_for(lambda: not fleet.ready(0), "the router is no longer ready")
    request_thread.join(10.0)
    assert answers and answers[0][0] == 200 and answers[0][1].count(b"id: ") == 3
    assert process.wait(10.0) == 0


def test_a_request_read_long_after_sigterm_is_refused_at_once(fleet: Fleet) -> None:
    # Also guards against new connections being reset before their request is read.
    # While it drains, the router decides by the run times measured for such requests.
    for _ in range(MIN_SAMPLES):
        assert fleet.request(0, "/plain/x")[0] == 200
    fleet.workers[0].requests.clear()
    fleet.workers[0].event_pause_s = 1.2

    def send_request() -> None:
        # The stream may be cut off at the end of the grace period.
        with contextlib.suppress(http.client.IncompleteRead):
            fleet.request(0, "/stream/1")

    request_thread = threading.Thread(target=send_request)
    request_thread.start()
    wait_for(lambda: bool(fleet.workers[0].requests), "the worker has received the request")
    fleet.processes[fleet.routers[0]].send_signal(signal.SIGTERM)
    answers: list[tuple[int, dict[str, str]]] = []

    def is_refused() -> bool:
        status, headers, _ = fleet.request(0, "/plain/x")
        answers.append((status, headers))
        return status != 200

    wait_for(is_refused, "a request is refused")
    assert _status_of_late_request(fleet) == 503
    request_thread.join(10.0)
    status, headers = answers[-1]
    assert status == 503 and float(headers["retry-after"]) < 1 and headers["connection"] == "close"
    assert len(answers) > 1, "short requests are still accepted for a while"
    assert [status for status, _ in answers[:-1]] == [200] * (len(answers) - 1)


def _status_of_late_request(fleet: Fleet) -> int:
    """The status of a request that is sent a moment after its connection was opened."""
    connection = http.client.HTTPConnection(fleet.routers[0], fleet.front, timeout=6)
    with contextlib.closing(connection):
        connection.connect()
        time.sleep(0.1)  # two looks of the leaving router at its connections
        headers = {"Host": "estate.example", "X-Pebbledrift-Request-Id": "late"}
        connection.request("POST", "/plain/x", b"{}", headers)
        return connection.getresponse().status


def test_a_pipelined_request_is_forwarded_with_its_remaining_time(fleet: Fleet) -> None:
    """With a longer deadline the worker would keep working for a client that has already given up."""
    worker = fleet.workers[0]
    worker.event_pause_s = 0.3
    with socket.create_connection((fleet.routers[0], fleet.front), timeout=10) as client:
        sent_at = time.monotonic()
        client.sendall(b"".join(_request_bytes(f"/stream/{number}", f"r-{number}") for number in range(2)))
        wait_for(lambda: len(worker.requests) >= 1, "the worker has received the first request")
        first_elapsed_ms = (time.monotonic() - sent_at) * 1000
        wait_for(lambda: len(worker.requests) == 2, "the worker has received both requests")
    first_deadline_ms, second_deadline_ms = (
        int(headers["x-pebbledrift-deadline-ms"]) for _, headers, _ in worker.requests
    )
    assert 3000 - first_elapsed_ms - 1 <= first_deadline_ms <= 3000 and second_deadline_ms <= 3000 - 3 * 300


def test_the_disconnect_of_a_client_with_many_pipelined_requests_is_detected(fleet: Fleet) -> None:
    """The router has stopped reading from such a client, so it has to check for the disconnect explicitly."""
    worker = fleet.workers[0]
    # During the pause nothing is written to the client: a write would also reveal the disconnect.
    worker.event_pause_s = 5.0
    client = socket.create_connection((fleet.routers[0], fleet.front), timeout=10)
    client.sendall(b"".join(_request_bytes(f"/stream/{number}", f"r-{number}") for number in range(8)))
    wait_for(lambda: len(worker.requests) == 1, "the worker has received the first request")
    client.close()
    wait_for(
        lambda: 'cause="client"} 1' in fleet.metrics(0) or _client_connections(fleet) == 0,
        "the disconnect is detected",
        2.0,
    )
    assert len(worker.requests) == 1


def _request_bytes(path: str, request_id: str) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: estate.example\r\nAuthorization: Token {API_KEY}\r\n"
        f"X-Pebbledrift-Request-Id: {request_id}\r\n"
        "X-Pebbledrift-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def _client_connections(fleet: Fleet) -> int:
    lines = fleet.metrics(0).splitlines()
    return int(next(line.split()[1] for line in lines if line.startswith("pebbledrift_client_connections ")))


def test_the_worker_is_free_again_after_a_client_disconnects(fleet: Fleet) -> None:
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
    started_at = time.monotonic()
    assert fleet.request(0, "/stream/2")[0] == 200
    assert time.monotonic() - started_at < 2.0
