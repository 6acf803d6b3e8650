"""The operator's command line without a fleet: files, differences, explanations, calls to keepers."""

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
from pebbledrift.console.errors import DocumentError, ExitCode, NoClearAnswer
from pebbledrift.console.explain import Question, explain
from pebbledrift.console.fleet_status import collect
from pebbledrift.control.orders import OrderKind
from pebbledrift.router.routes import RoutingTable
from rig.fleet import API_KEY, example_config


def run(line: str) -> tuple[int, str, str]:
    """The exit code of a command, and what it wrote to both outputs."""
    streams = BufferedIO()
    code = make_application().run(StringInput(line), streams.output, streams.error_output)
    return code, streams.fetch_output(), streams.fetch_error()


def written(folder: Path, name: str, data: object) -> Path:
    path = folder / name
    path.write_text(data if isinstance(data, str) else json.dumps(data))
    return path


# files


def test_check_tells_every_fault_with_its_place(tmp_path: Path) -> None:
    config = example_config(1)
    config["routes"][0]["timeout-ms"] = 0
    config["routes"][1]["path-prefix"] = "no-slash"
    code, out, err = run(f"config check {written(tmp_path, 'c.json', config)}")
    assert (code, out) == (ExitCode.INVALID, "")
    assert "routes[0].timeout-ms" in err and "routes[1].path-prefix" in err
    code, out, _ = run(f"config check {written(tmp_path, 'c.json', config)} --json")
    assert code == ExitCode.INVALID and len(json.loads(out)["faults"]) == 2


def test_check_says_where_a_file_is_no_json(tmp_path: Path) -> None:
    path = written(tmp_path, "c.json", '{"revision": 1,\n "routes": [}')
    code, _, err = run(f"config check {path}")
    assert code == ExitCode.INVALID and f"{path}:2:" in err
    twice = written(tmp_path, "twice.json", '{"revision": 1, "revision": 2}')
    assert "'revision' stands twice" in run(f"config check {twice}")[2]
    assert "cannot be read" in run(f"config check {tmp_path / 'none.json'}")[2]
    assert "not a JSON object" in run(f"config check {written(tmp_path, 'list.json', [1])}")[2]


def test_check_of_a_change_judges_it_on_its_base(tmp_path: Path) -> None:
    base = written(tmp_path, "base.json", example_config(4))
    good = written(tmp_path, "good.json", {"revision": 6, "delete": {"routes": ["plain"]}})
    code, out, _ = run(f"config check {good} --base {base}")
    assert code == ExitCode.OK and "valid, revision 6" in out
    stale = written(tmp_path, "stale.json", {"revision": 4, "delete": {"routes": ["plain"]}})
    code, _, err = run(f"config check {stale} --base {base}")
    assert code == ExitCode.INVALID and "4 is not above 4" in err


def test_diff_names_what_was_added_removed_and_changed_and_shows_no_key(tmp_path: Path) -> None:
    before, after = example_config(1), example_config(2)
    after["routes"][0]["timeout-ms"] = 5000
    after["routes"][1]["name"] = "other"
    after["tenants"][0]["api-keys"] = ["a-new-key"]
    first, second = written(tmp_path, "1.json", before), written(tmp_path, "2.json", after)
    code, out, _ = run(f"config diff {first} {second}")
    assert code == ExitCode.DIFFERENT
    assert "~ routes[stream]\n    timeout-ms: 3000 -> 5000" in out
    assert "- routes[plain]" in out and "+ routes[other]" in out and "revision: 1 -> 2" in out
    assert API_KEY not in out and "a-new-key" not in out
    assert run(f"config diff {first} {first}")[0] == ExitCode.OK
    assert [change.place for change in compare(before, before)] == []


def test_a_file_with_keys_is_readable_by_its_owner_alone_and_replaced_whole(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    path.write_text("old")
    path.chmod(0o644)
    write_private(str(path), {"a": 1})
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    assert read_object(str(path)) == {"a": 1}
    with pytest.raises(DocumentError):
        write_private(str(tmp_path / "none" / "c.json"), {})
    assert list(tmp_path.iterdir()) == [path]


def test_verify_refuses_a_snapshot_that_was_changed(tmp_path: Path) -> None:
    from pebbledrift.console.snapshot import make_snapshot

    snapshot = make_snapshot(example_config(7), 3, "2026-01-01T00:00:00+00:00")
    path = written(tmp_path, "s.json", snapshot)
    assert run(f"snapshot verify {path}")[0] == ExitCode.OK
    snapshot["configuration"]["routes"].pop()
    code, _, err = run(f"snapshot verify {written(tmp_path, 's.json', snapshot)}")
    assert code == ExitCode.INVALID and "checksum" in err
    assert "not a snapshot" in run(f"snapshot verify {written(tmp_path, 'x.json', {})}")[2]


# explain


def instances() -> dict[str, Any]:
    names = [f"lm-{number}" for number in range(5)]
    found = {n: {"backend": "lm", "address": "127.0.0.1:1", "state": "ready"} for n in names}
    found["lm-4"]["state"] = "draining"
    found["other"] = {"backend": "elsewhere", "address": "127.0.0.1:2", "state": "ready"}
    return found


def asked(path: str, key: str | None = API_KEY, prefix: str | None = None) -> Any:
    return explain(
        RoutingTable(example_config(1)), instances(), Question("estate.example", path, key, prefix)
    )


def test_explain_follows_a_request_to_the_workers_in_order() -> None:
    found = asked("/stream/1?q=2", prefix="5c1e07a2:800,91bd3f06:410,e4402b7d:250")
    assert (found.status, found.route, found.tenant, found.backends) == (None, "stream", "estate-1", ("lm",))
    assert sorted(w.instance for w in found.workers) == ["lm-0", "lm-1", "lm-2", "lm-3"]
    same = asked("/stream/9", prefix="5c1e07a2:800,91bd3f06:410,00000001:9")
    assert same.workers == found.workers  # the last part is the request's own
    orders = {tuple(w.instance for w in asked("/stream/1", prefix=f"{n:x}:5,1:5").workers) for n in range(9)}
    assert len(orders) > 1


def test_explain_says_what_is_answered_without_a_worker() -> None:
    assert (asked("/nothing/").status, asked("/plain/1", key=None).status) == (404, 401)
    assert asked("/plain/1", key="unknown").steps[-1].endswith("an unknown key")


def test_the_explained_order_is_the_one_that_requests_are_placed_by() -> None:
    from pebbledrift.router.placement import stable_number
    from spoolpier import interface as api
    from spoolpier.dispatcher import Dispatcher

    found = asked("/stream/1", prefix="5c1e07a2:800,1:5")
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
    assert [send.worker for send in sends] == [stable_number(found.workers[0].instance)]


# calls


class Keeper:
    """A stand-in keeper that answers what the test says."""

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
                """Nothing is logged."""

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


@pytest.fixture
def keepers() -> Iterator[Callable[..., Keeper]]:
    made: list[Keeper] = []

    def make(answer: Callable[[str, str], tuple[int, Any, dict[str, str]]]) -> Keeper:
        made.append(Keeper(answer))
        return made[-1]

    yield make
    for keeper in made:
        keeper.close()


def steady(
    status: int, body: Any = None, **headers: str
) -> Callable[[str, str], tuple[int, Any, dict[str, str]]]:
    return lambda method, path: (status, body, headers)


def standing(name: str, **more: Any) -> dict[str, Any]:
    told = {
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
    return {**told, **more}


def test_the_very_same_change_goes_to_the_next_keeper_where_one_has_no_clear_answer(
    keepers: Callable[..., Keeper],
) -> None:
    unclear, clear = keepers(steady(503, {"error": "later"})), keepers(steady(200, {}))
    client = FleetClient(parse_keepers([unclear.address, clear.address]), 5.0)
    client.order(OrderKind.REPLACE, 4, b'{"revision": 5}')
    assert unclear.calls == clear.calls
    assert clear.calls == [("POST", "/-/config/replace", b'{"revision": 5}', "4")]


def test_a_keeper_that_names_another_is_followed(keepers: Callable[..., Keeper]) -> None:
    other = keepers(steady(200, {"revision": 3}))
    first = keepers(steady(307, None, Location=f"http://{other.address}/-/config/read"))
    assert FleetClient(parse_keepers([first.address]), 1.0).read() == {"revision": 3}
    endless = keepers(steady(307, None, Location="/nowhere"))
    with pytest.raises(NoClearAnswer):
        FleetClient(parse_keepers([endless.address]), 0.0).read()


def test_refusals_have_exit_codes_of_their_own(keepers: Callable[..., Keeper], tmp_path: Path) -> None:
    path = written(tmp_path, "c.json", example_config(9))
    conflict = keepers(steady(412, {"error": "version 8 is in place"}))
    code, _, err = run(f"config apply {path} --base 7 -k {conflict.address}")
    assert code == ExitCode.CONFLICT and "builds on version 7, but version 8 is in place" in err
    invalid = keepers(steady(400, {"error": "one; two"}))
    code, out, _ = run(f"config apply {path} --base 7 -k {invalid.address} --json")
    assert code == ExitCode.INVALID and json.loads(out)["faults"] == ["one", "two"]
    unclear = keepers(steady(503, {}))
    code, _, err = run(f"config apply {path} --base 7 -k {unclear.address} --timeout 0")
    assert code == ExitCode.UNREACHABLE and unclear.address in err
    for line in ("status", f"config apply {path} -k nowhere", f"status -k {unclear.address} --timeout soon"):
        assert run(line)[0] == ExitCode.INVALID


def test_a_change_that_is_invalid_is_never_sent(keepers: Callable[..., Keeper], tmp_path: Path) -> None:
    keeper = keepers(steady(200, {}))
    path = written(tmp_path, "c.json", {**example_config(2), "routes": [{"name": "x"}]})
    assert run(f"config apply {path} --base 1 -k {keeper.address}")[0] == ExitCode.INVALID
    assert keeper.calls == []


def test_status_finds_all_keepers_and_names_who_is_behind_or_silent(keepers: Callable[..., Keeper]) -> None:
    silent = "127.0.0.1:9"
    behind = keepers(steady(200, standing("b", revision=7, routers={"r-2": 6}, quotas={})))
    others = [behind.address, silent]
    first = keepers(
        steady(200, standing("a", keepers=others, quotas={"t": {"rate": 5.0, "lent": 1.0, "most": 4.0}}))
    )
    code, out, _ = run(f"status -k {first.address}")
    assert code == ExitCode.DIFFERENT and "NOT HEALTHY" in out
    assert f"keeper   {silent} DOES NOT ANSWER" in out
    assert "router   r-2 revision 6, BEHIND by 2" in out
    assert "quota    t: 25 % of a window lent" in out
    told = json.loads(run(f"status -k {first.address} --json")[1])
    assert told["behind"] == {"b": 7, "r-2": 6} and told["silent"] == [silent]
    assert run(f"status -k {silent}")[0] == ExitCode.UNREACHABLE


def test_status_of_a_whole_fleet_is_healthy(keepers: Callable[..., Keeper]) -> None:
    keeper = keepers(steady(200, standing("a")))
    code, out, _ = run(f"status -k {keeper.address}")
    assert code == ExitCode.OK and out.startswith("revision 8, epoch 3, healthy")
    lost = collect(["x"], lambda address: standing("a", chain=["a/0"]))
    assert lost is not None and not lost.healthy and "missing  b/0" in lost.lines()


def test_a_snapshot_is_restored_above_the_version_in_place_and_only_when_told(
    keepers: Callable[..., Keeper], tmp_path: Path
) -> None:
    def answer(method: str, path: str) -> tuple[int, Any, dict[str, str]]:
        return 200, standing("a") if path == "/-/status" else example_config(5), {}

    keeper, path = keepers(answer), tmp_path / "s.json"
    assert run(f"snapshot save {path} -k {keeper.address}")[0] == ExitCode.OK
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    assert run(f"snapshot restore {path} -k {keeper.address}")[0] == ExitCode.DIFFERENT
    assert not [call for call in keeper.calls if call[0] == "POST"]
    assert run(f"snapshot restore {path} -k {keeper.address} --yes")[0] == ExitCode.OK
    _, _, body, base = next(call for call in keeper.calls if call[0] == "POST")
    assert (base, json.loads(body)["revision"]) == ("8", 9)


def test_every_command_takes_json_and_tells_what_it_does() -> None:
    _, listed, _ = run("list")
    for command in COMMANDS:
        assert command.name is not None and command.name in listed
        assert "--json" in run(f"{command.name} --help")[1]
    completions = run("completions bash")[1]
    assert all(command.name.split()[0] in completions for command in COMMANDS if command.name)


def test_arguments_that_nobody_knows_end_with_the_code_of_a_fault(tmp_path: Path) -> None:
    for line in ("config bogus", "status --bogus", "config check"):
        code, out, err = run(line)
        assert (code, out) == (ExitCode.INVALID, "") and err.strip()
