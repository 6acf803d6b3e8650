"""Tests of the operators' command line without a fleet: files, differences, explanations, keeper calls."""

from __future__ import annotations

import http.server
import json
import stat
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from cleo.io.buffered_io import BufferedIO
from cleo.io.inputs.string_input import StringInput

from pebbledrift.console.application import COMMANDS, make_application
from pebbledrift.console.client import FleetClient, parse_keepers
from pebbledrift.console.difference import compare
from pebbledrift.console.documents import read_object, write_private
from pebbledrift.console.errors import DocumentError, ExitCode, NoDefinitiveResponse
from pebbledrift.console.explain import RouteQuery, explain
from pebbledrift.console.fleet_status import collect_status
from pebbledrift.control.orders import OrderKind
from pebbledrift.router.routes import RoutingTable
from rig.fleet import API_KEY, example_config


def run(line: str) -> tuple[int, str, str]:
    """Run a command; returns its exit code, standard output and standard error."""
    streams = BufferedIO()
    code = make_application().run(StringInput(line), streams.output, streams.error_output)
    return code, streams.fetch_output(), streams.fetch_error()


def write_file(folder: Path, name: str, data: object) -> Path:
    path = folder / name
    path.write_text(data if isinstance(data, str) else json.dumps(data))
    return path


# files


def test_check_reports_every_fault_with_its_position(tmp_path: Path) -> None:
    config = example_config(1)
    config["routes"][0]["timeout-ms"] = 0
    config["routes"][1]["path-prefix"] = "no-slash"
    code, out, err = run(f"config check {write_file(tmp_path, 'c.json', config)}")
    assert (code, out) == (ExitCode.INVALID, "")
    assert "routes[0].timeout-ms" in err and "routes[1].path-prefix" in err
    code, out, _ = run(f"config check {write_file(tmp_path, 'c.json', config)} --json")
    assert code == ExitCode.INVALID and len(json.loads(out)["faults"]) == 2


def test_check_reports_where_a_file_is_not_valid_json(tmp_path: Path) -> None:
    path = write_file(tmp_path, "c.json", '{"revision": 1,\n "routes": [}')
    code, _, err = run(f"config check {path}")
    assert code == ExitCode.INVALID and f"{path}:2:" in err
    twice = write_file(tmp_path, "twice.json", '{"revision": 1, "revision": 2}')
    assert "'revision' occurs twice" in run(f"config check {twice}")[2]
    assert "cannot be read" in run(f"config check {tmp_path / 'none.json'}")[2]
    assert "not a JSON object" in run(f"config check {write_file(tmp_path, 'list.json', [1])}")[2]


def test_check_of_a_change_validates_it_against_its_base(tmp_path: Path) -> None:
    base = write_file(tmp_path, "base.json", example_config(4))
    good = write_file(tmp_path, "good.json", {"revision": 6, "delete": {"routes": ["plain"]}})
    code, out, _ = run(f"config check {good} --base {base}")
    assert code == ExitCode.OK and "valid, revision 6" in out
    stale = write_file(tmp_path, "stale.json", {"revision": 4, "delete": {"routes": ["plain"]}})
    code, _, err = run(f"config check {stale} --base {base}")
    assert code == ExitCode.INVALID and "4 is not above 4" in err


def test_diff_lists_added_removed_and_changed_items_and_shows_no_key(tmp_path: Path) -> None:
    before, after = example_config(1), example_config(2)
    after["routes"][0]["timeout-ms"] = 5000
    after["routes"][1]["name"] = "other"
    after["tenants"][0]["api-keys"] = ["a-new-key"]
    first, second = write_file(tmp_path, "1.json", before), write_file(tmp_path, "2.json", after)
    code, out, _ = run(f"config diff {first} {second}")
    assert code == ExitCode.DIFFERENT
    assert "~ routes[stream]\n    timeout-ms: 3000 -> 5000" in out
    assert "- routes[plain]" in out and "+ routes[other]" in out and "revision: 1 -> 2" in out
    assert API_KEY not in out and "a-new-key" not in out
    assert run(f"config diff {first} {first}")[0] == ExitCode.OK
    assert [change.path for change in compare(before, before)] == []


def test_a_file_with_keys_is_readable_only_by_its_owner_and_replaced_atomically(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    path.write_text("old")
    path.chmod(0o644)
    write_private(str(path), {"a": 1})
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    assert read_object(str(path)) == {"a": 1}
    with pytest.raises(DocumentError):
        write_private(str(tmp_path / "none" / "c.json"), {})
    assert list(tmp_path.iterdir()) == [path]


def test_verify_rejects_a_modified_snapshot(tmp_path: Path) -> None:
    from pebbledrift.console.snapshot import make_snapshot

    snapshot = make_snapshot(example_config(7), 3, "2026-01-01T00:00:00+00:00")
    path = write_file(tmp_path, "s.json", snapshot)
    assert run(f"snapshot verify {path}")[0] == ExitCode.OK
    snapshot["configuration"]["routes"].pop()
    code, _, err = run(f"snapshot verify {write_file(tmp_path, 's.json', snapshot)}")
    assert code == ExitCode.INVALID and "checksum" in err
    assert "not a snapshot" in run(f"snapshot verify {write_file(tmp_path, 'x.json', {})}")[2]


# explain


def instances() -> dict[str, Any]:
    names = [f"lm-{number}" for number in range(5)]
    workers = {n: {"backend": "lm", "address": "127.0.0.1:1", "state": "ready"} for n in names}
    workers["lm-4"]["state"] = "draining"
    workers["other"] = {"backend": "elsewhere", "address": "127.0.0.1:2", "state": "ready"}
    return workers


def explain_request(path: str, key: str | None = API_KEY, prefix: str | None = None) -> Any:
    return explain(
        RoutingTable(example_config(1)), instances(), RouteQuery("estate.example", path, key, prefix)
    )


def test_explain_lists_the_workers_for_a_request_in_order() -> None:
    explanation = explain_request("/stream/1?q=2", prefix="5c1e07a2:800,91bd3f06:410,e4402b7d:250")
    assert (explanation.status, explanation.route, explanation.tenant, explanation.backends) == (
        None,
        "stream",
        "estate-1",
        ("lm",),
    )
    assert sorted(w.instance for w in explanation.workers) == ["lm-0", "lm-1", "lm-2", "lm-3"]
    same = explain_request("/stream/9", prefix="5c1e07a2:800,91bd3f06:410,00000001:9")
    assert same.workers == explanation.workers  # the last part of a prefix is specific to the request
    orders = {
        tuple(w.instance for w in explain_request("/stream/1", prefix=f"{n:x}:5,1:5").workers)
        for n in range(9)
    }
    assert len(orders) > 1


def test_explain_gives_the_status_of_a_request_that_is_rejected() -> None:
    assert (explain_request("/nothing/").status, explain_request("/plain/1", key=None).status) == (404, 401)
    assert explain_request("/plain/1", key="unknown").steps[-1].endswith("an unknown key")


def test_the_explained_order_matches_the_order_of_the_dispatcher() -> None:
    from pebbledrift.router.placement import stable_number
    from spoolpier import interface as api
    from spoolpier.dispatcher import Dispatcher

    explanation = explain_request("/stream/1", prefix="5c1e07a2:800,1:5")
    classes = (api.JobClass(aim_ms=1000.0, deadline_ms=1000.0),)
    dispatcher = Dispatcher(api.Settings(classes=classes, dispatchers=1, me=0, max_attempts=1), 1)
    entries = tuple(api.WorkerEntry(worker=stable_number(f"lm-{n}")) for n in range(4))
    actions = dispatcher.step(
        0.0,
        [
            api.WorkerList(api.ListForm.FULL, entries),
            api.Arrival("a", 0, grace_ms=1000.0, key=0x5C1E07A2),
        ],
    )
    sends = [action for action in actions if isinstance(action, api.Send)]
    assert [send.worker for send in sends] == [stable_number(explanation.workers[0].instance)]


# calls


class FakeKeeper:
    """An HTTP server that gives the answers of a function and records the calls."""

    def __init__(self, answer: Callable[[str, str], tuple[int, Any, dict[str, str]]]) -> None:
        self.calls: list[tuple[str, str, bytes, str | None]] = []
        keeper = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                base = self.headers.get("X-Pebbledrift-Base-Version")
                keeper.calls.append((self.command, self.path, body, base))
                status, data, headers = answer(self.command, self.path)
                text = json.dumps(data).encode()
                self.send_response(status)
                for name, value in {**headers, "Content-Length": str(len(text))}.items():
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(text)

            do_POST = do_GET

            def log_message(self, format: str, *args: Any) -> None:
                """Suppress the request log."""

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


@pytest.fixture
def keepers() -> Iterator[Callable[..., FakeKeeper]]:
    started: list[FakeKeeper] = []

    def make(answer: Callable[[str, str], tuple[int, Any, dict[str, str]]]) -> FakeKeeper:
        started.append(FakeKeeper(answer))
        return started[-1]

    yield make
    for keeper in started:
        keeper.close()


def fixed_response(
    status: int, body: Any = None, **headers: str
) -> Callable[[str, str], tuple[int, Any, dict[str, str]]]:
    return lambda method, path: (status, body, headers)


def keeper_status(name: str, **overrides: Any) -> dict[str, Any]:
    status = {
        "name": name,
        "node": f"{name}/0",
        "epoch": 3,
        "members": ["a/0", "b/0"],
        "chain": ["a/0", "b/0"],
        "current": True,
        "revision": 8,
        "committed": [3, 9],
        "keepers": [],
        "routers": {"r-1": 8},
        "instances": {},
        "quotas": {},
    }
    return {**status, **overrides}


def test_an_identical_request_goes_to_the_next_keeper_after_an_indefinite_response(
    keepers: Callable[..., FakeKeeper],
) -> None:
    failing, working = keepers(fixed_response(503, {"error": "later"})), keepers(fixed_response(200, {}))
    client = FleetClient(parse_keepers([failing.address, working.address]), 5.0)
    client.submit_change(OrderKind.REPLACE, 4, b'{"revision": 5}')
    assert failing.calls == working.calls
    assert working.calls == [("POST", "/-/config/replace", b'{"revision": 5}', "4")]


def test_redirects_to_another_keeper_are_followed(keepers: Callable[..., FakeKeeper]) -> None:
    other = keepers(fixed_response(200, {"revision": 3}))
    first = keepers(fixed_response(307, None, Location=f"http://{other.address}/-/config/read"))
    assert FleetClient(parse_keepers([first.address]), 1.0).read_configuration() == {"revision": 3}
    looping = keepers(fixed_response(307, None, Location="/nowhere"))
    with pytest.raises(NoDefinitiveResponse):
        FleetClient(parse_keepers([looping.address]), 0.0).read_configuration()


def test_each_kind_of_error_has_a_distinct_exit_code(
    keepers: Callable[..., FakeKeeper], tmp_path: Path
) -> None:
    path = write_file(tmp_path, "c.json", example_config(9))
    conflict = keepers(fixed_response(412, {"error": "version 8 is in place"}))
    code, _, err = run(f"config apply {path} --base 7 -k {conflict.address}")
    assert code == ExitCode.CONFLICT and "builds on version 7, but version 8 is in place" in err
    invalid = keepers(fixed_response(400, {"error": "one; two"}))
    code, out, _ = run(f"config apply {path} --base 7 -k {invalid.address} --json")
    assert code == ExitCode.INVALID and json.loads(out)["faults"] == ["one", "two"]
    failing = keepers(fixed_response(503, {}))
    code, _, err = run(f"config apply {path} --base 7 -k {failing.address} --timeout 0")
    assert code == ExitCode.UNREACHABLE and failing.address in err
    for line in ("status", f"config apply {path} -k nowhere", f"status -k {failing.address} --timeout soon"):
        assert run(line)[0] == ExitCode.INVALID


def test_an_invalid_change_is_never_sent(keepers: Callable[..., FakeKeeper], tmp_path: Path) -> None:
    keeper = keepers(fixed_response(200, {}))
    path = write_file(tmp_path, "c.json", {**example_config(2), "routes": [{"name": "x"}]})
    assert run(f"config apply {path} --base 1 -k {keeper.address}")[0] == ExitCode.INVALID
    assert keeper.calls == []


def test_status_queries_all_keepers_and_lists_outdated_and_unresponsive_nodes(
    keepers: Callable[..., FakeKeeper],
) -> None:
    silent = "127.0.0.1:9"
    behind = keepers(fixed_response(200, keeper_status("b", revision=7, routers={"r-2": 6}, quotas={})))
    others = [behind.address, silent]
    first = keepers(
        fixed_response(
            200, keeper_status("a", keepers=others, quotas={"t": {"rate": 5.0, "lent": 1.0, "most": 4.0}})
        )
    )
    code, out, _ = run(f"status -k {first.address}")
    assert code == ExitCode.DIFFERENT and "NOT HEALTHY" in out
    assert f"keeper   {silent} DOES NOT ANSWER" in out
    assert "router   r-2 revision 6, BEHIND by 2" in out
    assert "quota    t: 25 % of a window lent" in out
    status = json.loads(run(f"status -k {first.address} --json")[1])
    assert status["behind"] == {"b": 7, "r-2": 6} and status["silent"] == [silent]
    assert run(f"status -k {silent}")[0] == ExitCode.UNREACHABLE


def test_status_of_a_complete_fleet_is_healthy(keepers: Callable[..., FakeKeeper]) -> None:
    keeper = keepers(fixed_response(200, keeper_status("a")))
    code, out, _ = run(f"status -k {keeper.address}")
    assert code == ExitCode.OK and out.startswith("revision 8, epoch 3, healthy")
    lost = collect_status(["x"], lambda address: keeper_status("a", chain=["a/0"]))
    assert lost is not None and not lost.healthy and "missing  b/0" in lost.lines()


def test_a_snapshot_is_restored_above_the_current_revision_and_only_with_yes(
    keepers: Callable[..., FakeKeeper], tmp_path: Path
) -> None:
    def answer(method: str, path: str) -> tuple[int, Any, dict[str, str]]:
        return 200, keeper_status("a") if path == "/-/status" else example_config(5), {}

    keeper, path = keepers(answer), tmp_path / "s.json"
    assert run(f"snapshot save {path} -k {keeper.address}")[0] == ExitCode.OK
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    assert run(f"snapshot restore {path} -k {keeper.address}")[0] == ExitCode.DIFFERENT
    assert not [call for call in keeper.calls if call[0] == "POST"]
    assert run(f"snapshot restore {path} -k {keeper.address} --yes")[0] == ExitCode.OK
    _, _, body, base = next(call for call in keeper.calls if call[0] == "POST")
    assert (base, json.loads(body)["revision"]) == ("8", 9)


def test_every_command_has_a_json_option_and_a_help_text() -> None:
    _, listed, _ = run("list")
    for command in COMMANDS:
        assert command.name is not None and command.name in listed
        assert "--json" in run(f"{command.name} --help")[1]
    completions = run("completions bash")[1]
    assert all(command.name.split()[0] in completions for command in COMMANDS if command.name)


def test_unknown_or_missing_arguments_end_with_the_invalid_exit_code(tmp_path: Path) -> None:
    for line in ("config bogus", "status --bogus", "config check"):
        code, out, err = run(line)
        assert (code, out) == (ExitCode.INVALID, "") and err.strip()
