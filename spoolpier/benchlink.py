"""Adapter between the benchmark's wire protocol on standard input and output and the decision module.

Messages are lines of tab-separated fields. The adapter makes no decisions.
"""

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
    """The input violates the wire protocol."""


def optional_number(text: str) -> float | None:
    """Parse a number; "-" means absent."""
    return None if text == "-" else float(text)


def parse_report(text: str) -> api.Report | None:
    """Parse a load report; unknown values are skipped."""
    if text == "-" or not text:
        return None
    report = {}
    for pair in text.split(","):
        name, value = pair.split(":")
        if name in REPORT_NAMES:
            report[REPORT_NAMES[name]] = float(value)
    return report


def parse_arrival(fields: list[str]) -> api.Event:
    """Parse: ARRIVAL handle hint grace tenant options slots class key memory."""
    options = 0 if fields[5] == "-" else int(fields[5])
    return api.Arrival(
        job=fields[1],
        job_class=int(fields[7]),
        grace_ms=float(fields[3]),
        key=None if fields[8] == "-" else int(fields[8], 16),
        hint_ms=optional_number(fields[2]) if options & HINT_VALID else None,
        slots=1.0 if fields[6] == "-" else float(fields[6]),
        memory=None if len(fields) < 10 else optional_number(fields[9]),
        tenant=None if fields[4] == "-" else int(fields[4]),
        repeat=bool(options & REPEAT),
    )


def parse_outcome(fields: list[str]) -> api.Event:
    """Parse: RESOLVED handle attempt worker status elapsed done info report."""
    kind = OUTCOMES.get(fields[4], api.OutcomeKind.UNKNOWN)
    return api.Outcome(
        fields[1],
        int(fields[2]),
        int(fields[3]),
        kind,
        float(fields[5]),
        fields[6] == "1",
        parse_report(fields[8]),
    )


def parse_note(fields: list[str]) -> api.Event | None:
    """Parse: UPDATE_OF handle attempt worker progress value."""
    progress = NOTES.get(fields[4])
    share = 0.0 if fields[5] == "-" else float(fields[5])
    return None if progress is None else api.Note(fields[1], int(fields[2]), int(fields[3]), progress, share)


def parse_probe(fields: list[str]) -> api.Event:
    """Parse: PROBE_RESULT elapsed status worker report."""
    return api.ProbeResult(int(fields[3]), fields[2] == "0", float(fields[1]), parse_report(fields[4]))


def parse_peer(fields: list[str]) -> api.Event:
    """Parse: MAIL sender data."""
    return api.PeerMessage(
        int(fields[1]), b"" if fields[2] == "-" else base64.b64decode(fields[2], validate=True)
    )


PARSERS: dict[str, Callable[[list[str]], api.Event | None]] = {
    "ARRIVAL": parse_arrival,
    "RESOLVED": parse_outcome,
    "UPDATE_OF": parse_note,
    "PROBE_RESULT": parse_probe,
    "ALARM": lambda fields: api.Timer(int(fields[1])),
    "CLIENT_LEFT": lambda fields: api.ClientGone(fields[1]),
    "FIRST": lambda fields: api.StreamStarted(fields[1], int(fields[4]), int(fields[3])),
    "MAIL": parse_peer,
}


def parse_entry(line: str) -> api.WorkerEntry:
    """Parse an entry of a worker list: M cell kind worker start state weight zone."""
    fields = line.split("\t")
    if fields[0] != "M":
        raise WireError("expected a worker entry (M line)")
    return api.WorkerEntry(
        worker=int(fields[3]),
        zone=int(fields[7]),
        cell=int(fields[1]),
        kind=int(fields[2]),
        weight=1.0 if fields[6] == "-" else float(fields[6]),
        started_ms=0.0 if fields[4] == "-" else float(fields[4]),
        state=STATES[fields[5]],
    )


def format_action(action: api.Action) -> str:
    """Return an action as a line of the wire protocol, without the line end."""
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
    """Serves any number of dispatchers over one pair of streams."""

    def __init__(self) -> None:
        self.dispatchers: dict[int, Dispatcher] = {}

    def answer_batch(self, now: float, lines: Iterator[str], out: TextIO) -> None:
        """Read one batch up to GO, step the dispatchers that it addresses, and write the reply.

        Raises WireError for a malformed line. An exception in a dispatcher is reported as its FAULT.
        """
        events_by_node: dict[int, list[api.Event]] = {}
        started: dict[int, tuple[int, dict[str, Any]]] = {}
        node = -1
        events: list[api.Event] = []
        for raw in lines:
            line = raw.rstrip("\n")
            message_type = line.partition("\t")[0]
            try:
                if message_type == "GO":
                    break
                if message_type == "ABOUT":
                    node = int(line.split("\t")[1])
                    events = events_by_node.setdefault(node, [])
                elif message_type == "MEMBERS":
                    fields = line.split("\t")
                    count = 0 if fields[3] == "-" else int(fields[3])
                    entries = []
                    for _ in range(count):
                        line = next(lines).rstrip("\n")
                        entries.append(parse_entry(line))
                    events.append(api.WorkerList(FORMS[fields[1]], tuple(entries)))
                elif message_type == "POWER_ON":
                    fields = line.split("\t", 2)
                    started[node] = int(fields[1]), json.loads(fields[2])
                    events.clear()
                elif message_type == "DESTROY":
                    self.dispatchers.pop(node, None)
                    started.pop(node, None)
                    events.clear()
                elif message_type in PARSERS:
                    event = PARSERS[message_type](line.split("\t"))
                    if event is not None:
                        events.append(event)
                elif not message_type.isupper():
                    raise WireError("not a message type")
            except (ValueError, IndexError, KeyError, StopIteration, WireError) as error:
                raise WireError(f"malformed line {line[:200]!r}: {error}") from error
        else:
            raise WireError("input ended within a batch")
        for node, events in events_by_node.items():
            out.write(f"FOR\t{node}\n")
            try:
                if node in started:
                    seed, env = started[node]
                    self.dispatchers[node] = Dispatcher(read_settings(env), seed)
                if node in self.dispatchers and events:
                    for action in self.dispatchers[node].step(now, events):
                        out.write(format_action(action) + "\n")
            except Exception as error:
                text = " ".join(f"{type(error).__name__}: {error}".split())
                out.write(f"FAULT\t{text}\n")
        out.write("DONE\n")
        out.flush()

    def run(self, source: TextIO, out: TextIO) -> None:
        """Answer batches until the input ends. Raises WireError for malformed input."""
        lines = iter(source)
        for raw in lines:
            fields = raw.rstrip("\n").split("\t")
            try:
                if fields[0] != "FRAME":
                    raise WireError("expected a FRAME line")
                now = float(fields[1])
            except (ValueError, IndexError, WireError) as error:
                raise WireError(f"malformed line {raw.rstrip()[:200]!r}: {error}") from error
            self.answer_batch(now, lines, out)


def main() -> int:
    """Serve standard input and output; returns the exit status."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        Link().run(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"spoolpier.benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
