"""Adapter between the bench's wire (standard input and output) and the interface. It decides nothing."""

from __future__ import annotations

import base64
import json
import sys
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from spoolpier import interface as api
from spoolpier.dispatcher import Dispatcher
from spoolpier.settings import REPORT_NAMES, read_settings

STATES = {
    "up": api.WorkerState.UP,
    "draining": api.WorkerState.DRAINING,
    "removed": api.WorkerState.REMOVED,
}
FORMS = {
    "delta": api.ListForm.DELTA,
    "full": api.ListForm.FULL,
    "cached": api.ListForm.CACHED,
    "failed": api.ListForm.FAILED,
}
OUTCOMES = {
    "0": api.OutcomeKind.SERVED,
    "13": api.OutcomeKind.ERROR,
    "8": api.OutcomeKind.REFUSED,
    "4": api.OutcomeKind.TIMED_OUT,
    "14": api.OutcomeKind.NO_CONNECTION,
    "10": api.OutcomeKind.BROKEN,
    "1": api.OutcomeKind.CANCELLED,
    "9": api.OutcomeKind.NOT_SENT,
}
NOTES = {"1": api.Progress.STARTED, "2": api.Progress.SHARE_DONE}
HINT_VALID, REPEAT = 1, 2  # bits of an arrival's options


class WireError(Exception):
    """A line that the wire does not allow."""


def optional(text: str) -> float | None:
    """A number that may be absent."""
    return None if text == "-" else float(text)


def read_report(text: str) -> api.Report | None:
    """A load report; values without a name of ours are left out."""
    if text == "-" or not text:
        return None
    report = {}
    for pair in text.split(","):
        name, value = pair.split(":")
        if name in REPORT_NAMES:
            report[REPORT_NAMES[name]] = float(value)
    return report


def read_arrival(p: list[str]) -> api.Event:
    """ARRIVAL handle hint grace tenant options slots class key memory."""
    options = 0 if p[5] == "-" else int(p[5])
    return api.Arrival(
        job=p[1],
        job_class=int(p[7]),
        grace_ms=float(p[3]),
        key=None if p[8] == "-" else int(p[8], 16),
        hint_ms=optional(p[2]) if options & HINT_VALID else None,
        slots=1.0 if p[6] == "-" else float(p[6]),
        memory=None if len(p) < 10 else optional(p[9]),
        tenant=None if p[4] == "-" else int(p[4]),
        repeat=bool(options & REPEAT),
    )


def read_outcome(p: list[str]) -> api.Event:
    """RESOLVED handle attempt worker status elapsed done info report."""
    kind = OUTCOMES.get(p[4], api.OutcomeKind.UNKNOWN)
    return api.Outcome(p[1], int(p[2]), int(p[3]), kind, float(p[5]), p[6] == "1", read_report(p[8]))


def read_note(p: list[str]) -> api.Event | None:
    """UPDATE_OF handle attempt worker sort value."""
    sort = NOTES.get(p[4])
    share = 0.0 if p[5] == "-" else float(p[5])
    return None if sort is None else api.Note(p[1], int(p[2]), int(p[3]), sort, share)


def read_probe(p: list[str]) -> api.Event:
    """PROBE_RESULT elapsed status worker report."""
    return api.ProbeResult(int(p[3]), p[2] == "0", float(p[1]), read_report(p[4]))


def read_peer(p: list[str]) -> api.Event:
    """MAIL sender data."""
    return api.PeerMessage(int(p[1]), b"" if p[2] == "-" else base64.b64decode(p[2], validate=True))


READERS: dict[str, Callable[[list[str]], api.Event | None]] = {
    "ARRIVAL": read_arrival,
    "RESOLVED": read_outcome,
    "UPDATE_OF": read_note,
    "PROBE_RESULT": read_probe,
    "ALARM": lambda p: api.Timer(int(p[1])),
    "CLIENT_LEFT": lambda p: api.ClientGone(p[1]),
    "FIRST": lambda p: api.StreamStarted(p[1], int(p[4]), int(p[3])),
    "MAIL": read_peer,
}


def read_entry(line: str) -> api.WorkerEntry:
    """One M line: cell, kind, worker, start, state, weight, zone."""
    p = line.split("\t")
    if p[0] != "M":
        raise WireError("expected an M line")
    return api.WorkerEntry(
        worker=int(p[3]),
        zone=int(p[7]),
        cell=int(p[1]),
        kind=int(p[2]),
        weight=1.0 if p[6] == "-" else float(p[6]),
        started_ms=0.0 if p[4] == "-" else float(p[4]),
        state=STATES[p[5]],
    )


def write(action: api.Action) -> str:
    """One action as a wire line."""
    match action:
        case api.Send(job, worker, timeout):
            return f"HAND_OFF\t{job}\t{timeout:.3f}\t{worker}" if timeout else f"HAND_OFF\t{job}\t-\t{worker}"
        case api.Wake(at, mark):
            return f"WAKE_ME\t{at:.3f}\t{mark}"
        case api.Probe(worker):
            return f"CHECK\t{worker}"
        case api.Cancel(job, attempt):
            return f"RETRACT\t{job}\t{attempt}"
        case api.Refuse(job, after):
            return f"SHED\t{job}\t{after:.3f}" if after else f"SHED\t{job}\t-"
        case api.Fail(job):
            return f"SURRENDER\t{job}"
        case api.Tell(peer, data):
            return f"SIGNAL\t{peer}\t{base64.b64encode(data).decode()}"
        case api.WatchList():
            return "STREAM_CHANGES\t1"
        case api.Log(message):
            return "JOURNAL_LINE\t" + " ".join(message.split())


class Link:
    """Many dispatchers behind one pair of streams."""

    def __init__(self) -> None:
        self.dispatchers: dict[int, Dispatcher] = {}

    def answer(self, now: float, lines: Iterator[str], out: TextIO) -> None:
        """Read one batch up to GO, step the dispatchers concerned, write the reply."""
        batches: dict[int, list[api.Event]] = {}
        started: dict[int, tuple[int, dict[str, Any]]] = {}
        node = -1
        events: list[api.Event] = []
        for raw in lines:
            line = raw.rstrip("\n")
            word = line.partition("\t")[0]
            try:
                if word == "GO":
                    break
                if word == "ABOUT":
                    node = int(line.split("\t")[1])
                    events = batches.setdefault(node, [])
                elif word == "MEMBERS":
                    p = line.split("\t")
                    count = 0 if p[3] == "-" else int(p[3])
                    entries = []
                    for _ in range(count):
                        line = next(lines).rstrip("\n")
                        entries.append(read_entry(line))
                    events.append(api.WorkerList(FORMS[p[1]], tuple(entries)))
                elif word == "POWER_ON":
                    p = line.split("\t", 2)
                    started[node] = int(p[1]), json.loads(p[2])
                    events.clear()
                elif word == "DESTROY":
                    self.dispatchers.pop(node, None)
                    started.pop(node, None)
                    events.clear()
                elif word in READERS:
                    event = READERS[word](line.split("\t"))
                    if event is not None:
                        events.append(event)
                elif not word.isupper():
                    raise WireError("not a message")
            except (ValueError, IndexError, KeyError, StopIteration, WireError) as error:
                raise WireError(f"malformed line {line[:200]!r}: {error}") from error
        else:
            raise WireError("input ended inside a batch")
        for node, events in batches.items():
            out.write(f"FOR\t{node}\n")
            try:
                if node in started:
                    seed, env = started[node]
                    self.dispatchers[node] = Dispatcher(read_settings(env), seed)
                if node in self.dispatchers and events:
                    for action in self.dispatchers[node].step(now, events):
                        out.write(write(action) + "\n")
            except Exception as error:
                text = " ".join(f"{type(error).__name__}: {error}".split())
                out.write(f"FAULT\t{text}\n")
        out.write("DONE\n")
        out.flush()

    def run(self, source: TextIO, out: TextIO) -> None:
        """Answer batches until the input ends."""
        lines = iter(source)
        for raw in lines:
            p = raw.rstrip("\n").split("\t")
            try:
                if p[0] != "FRAME":
                    raise WireError("expected FRAME")
                now = float(p[1])
            except (ValueError, IndexError, WireError) as error:
                raise WireError(f"malformed line {raw.rstrip()[:200]!r}: {error}") from error
            self.answer(now, lines, out)


def main() -> int:
    """Serve the wire on standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        Link().run(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"spoolpier.benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
