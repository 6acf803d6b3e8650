"""The adapter (spoolpier.benchlink) on hand-written wire messages."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest

from spoolpier.benchlink import Link, WireError
from spoolpier.settings import read_settings

ENV: dict[str, Any] = {
    "balancers": 2,
    "me": 0,
    "zone": 0,
    "zones": ["here"],
    "period_ms": 5.0,
    "classes": [
        {"target_ms": 100.0, "deadline_ms": 1000.0, "idempotency": "repeatable", "unheard_of": 1},
        {"target_ms": 100.0, "deadline_ms": 1000.0, "idempotency": "once", "streamed": True},
    ],
    "limits": {"try_limit": 3},
    "rules": {"cold_share": 0.3, "cold_ms": 1000.0, "fall_multiple": 3.0, "fall_ms": 500.0},
    "something_new": {},
}


def env(**changes: Any) -> str:
    return json.dumps({**ENV, **changes})


def exchange(*batches: str) -> list[list[str]]:
    """Send batches of events and return the lines of each reply, without DONE."""
    out = io.StringIO()
    text = "".join(f"FRAME\t{10 * i}\n{b}GO\n" for i, b in enumerate(batches))
    Link().run(io.StringIO(text), out)
    replies = out.getvalue().split("DONE\n")
    assert replies.pop() == ""
    return [r.splitlines() for r in replies]


START = f"ABOUT\t4\nPOWER_ON\t1\t{env()}\nMEMBERS\tcached\t1\t1\nM\t0\t0\t77\t-\tup\t1\t0\n"
ARRIVAL = "ABOUT\t4\nARRIVAL\ta/b\t12.0\t900.0\t-\t1\t1\t0\t00000000000000ff\t-\n"


def test_a_job_is_sent_and_its_outcome_accepted() -> None:
    served = "ABOUT\t4\nRESOLVED\ta/b\t0\t77\t0\t8.5\t1\t-\tx0:3,mystery:9\n"
    replies = exchange(START, ARRIVAL, served)
    assert "HAND_OFF\ta/b\t-\t77" in replies[1]
    assert not any(line.startswith(("HAND_OFF", "SHED", "SURRENDER")) for line in replies[2])


def test_two_dispatchers_are_independent_and_answer_under_their_own_number() -> None:
    second_start = START.replace("ABOUT\t4", "ABOUT\t9")
    replies = exchange(START + second_start, ARRIVAL + ARRIVAL.replace("ABOUT\t4", "ABOUT\t9"))
    assert replies[1].count("HAND_OFF\ta/b\t-\t77") == 2
    assert [line for line in replies[1] if line.startswith("FOR")] == ["FOR\t4", "FOR\t9"]


def test_a_dispatcher_destroyed_and_started_in_one_batch_has_no_state() -> None:
    restart = "ABOUT\t4\nDESTROY\n" + START
    replies = exchange(START, ARRIVAL, restart, ARRIVAL)
    assert "HAND_OFF\ta/b\t-\t77" in replies[3]


def test_after_an_unknown_outcome_the_job_may_have_run() -> None:
    unsafe_arrival = ARRIVAL.replace("\t1\t1\t0\t", "\t1\t1\t1\t")
    unknown_outcome = "ABOUT\t4\nRESOLVED\ta/b\t0\t77\t99\t8.5\t0\t-\t-\n"
    replies = exchange(START, unsafe_arrival, unknown_outcome)
    assert "SURRENDER\ta/b" in replies[2]


@pytest.mark.parametrize(
    "event",
    [
        "CLIENT_LEFT\tnobody\n",
        "ALARM\t5\n",
        "UPDATE_OF\tnobody\t0\t77\t1\t-\n",
        "UPDATE_OF\tnobody\t0\t77\t7\t0.5\n",
        "PROBE_RESULT\t1.0\t4\t77\t-\n",
        "PROBE_RESULT\t1.0\t0\t123\tx0:1\n",
        "FIRST\tnobody\t3.0\t77\t0\n",
        "MAIL\t1\taGk=\n",
        "RESOLVED\tnobody\t0\t77\t0\t8.5\t1\t-\t-\n",
        "MEMBERS\tfailed\t0\t0\n",
        "SOMETHING_NEW\t1\t2\n",
    ],
)
def test_irrelevant_and_unknown_events_are_ignored(event: str) -> None:
    replies = exchange(START, "ABOUT\t4\n" + event)
    assert not any(line.startswith(("FAULT", "SHED", "SURRENDER", "HAND_OFF")) for line in replies[1])


@pytest.mark.parametrize("line", ["ARRIVAL\tx\n", "what is this\n", "MEMBERS\tcached\t1\t2\nGO\n"])
def test_a_malformed_line_is_quoted_in_the_error(line: str) -> None:
    with pytest.raises(WireError, match=line.split("\t")[0].split("\n")[0][:4] + "|GO"):
        exchange(START, "ABOUT\t4\n" + line)


def test_an_exception_in_a_dispatcher_becomes_a_fault() -> None:
    replies = exchange(START, ARRIVAL, ARRIVAL)
    assert any(line.startswith("FAULT\tValueError: job id given twice: a/b") for line in replies[2])


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"balancers": "many"}, "balancers"),
        ({"balancers": 0}, "balancers"),
        ({"classes": []}, "classes"),
        ({"classes": [{"target_ms": 1.0, "deadline_ms": 5.0, "idempotency": "often"}]}, "idempotency"),
        ({"classes": [{"target_ms": 1.0, "idempotency": "once"}]}, "deadline_ms"),
        ({"rules": {}}, "cold_share"),
        ({"limits": {}}, "try_limit"),
    ],
)
def test_the_error_names_an_invalid_setting(change: dict[str, Any], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        read_settings(json.loads(env(**change)))
