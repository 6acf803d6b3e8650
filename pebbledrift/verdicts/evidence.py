"""Observations that one node makes of the workers, and the statement that reports them. No I/O.

Evidence is kept apart from verdicts (docs/verdicts.md). A record covers one incarnation of one worker and one
class of jobs: recent results as counts that decay by half every `half_life_ms`, and the current run of
consecutive failures or successes. Two kinds of failure are distinguished. A reported failure is the worker's
own answer that the job failed, which any node would get. A path failure (no connection, a broken connection,
no answer) may concern only the network path of the observing node.

A statement holds everything that a node currently reports. A later statement replaces an earlier one, so
lost, duplicated and reordered statements are still counted once. Times are in ms of a monotonic clock;
statements carry ages instead.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

REACHABILITY = 0xFF  # pseudo job class: whether the worker can be reached at all
MAX_RECORDS = 4096
MAX_COUNT = 63.0  # largest decayed count that a statement can carry
MAX_RUN = 15  # a run is sent in 4 bits
# Ages are sent on a logarithmic scale: exact to 20 ms plus about 3%, up to 97 s.
AGE_UNIT_MS, AGE_GROWTH = 20.0, 1.034
INCARNATION_UNIT_MS = 10.0
AGE_UNKNOWN = 0xFF  # stands for ages beyond the scale, and for events that never happened
TRIAL_FLAG, REPORTED_FLAG = 1, 2  # bits of the flags byte of an entry


class Observation(IntEnum):
    """The result of one attempt or of one connection attempt."""

    SUCCESS = 0
    SLOW = 1  # served, but it took several times as long as expected
    REPORTED_FAILURE = 2  # the worker answered that the job failed
    PATH_FAILURE = 3  # no usable answer; the network path may be the cause


def wire_id(worker: int) -> int:
    """Return the number that identifies a worker in statements: the low 32 bits."""
    return worker & 0xFFFFFFFF


def incarnation_of(started_ms: float) -> int:
    """Return the incarnation of a worker by its start time; 0 stands for a start long ago."""
    return int(started_ms // INCARNATION_UNIT_MS) & 0xFFFFFFFFFF


@dataclass(slots=True)
class Record:
    """Observations of one worker and class. The counts are decayed to the time `updated_at`."""

    incarnation: int
    updated_at: float
    successes: float = 0.0
    failures: float = 0.0
    slow_successes: float = 0.0
    success_run: int = 0  # consecutive successes since the last failure
    failure_run: int = 0  # consecutive failures since the last success
    reported: bool = False  # at least one failure of the run was reported by the worker
    last_success_at: float = -math.inf
    last_failure_at: float = -math.inf
    run_started_at: float = -math.inf  # time of the first failure of the run
    under_trial: bool = False  # this node currently sends trial requests to the worker

    def observe(self, observation: Observation, now: float, half_life_ms: float) -> None:
        """Decay the counts to `now` and add one observation."""
        decay = 0.5 ** ((now - self.updated_at) / half_life_ms)
        self.successes, self.failures, self.slow_successes = (
            self.successes * decay,
            self.failures * decay,
            self.slow_successes * decay,
        )
        self.updated_at = now
        if observation in (Observation.SUCCESS, Observation.SLOW):
            self.successes += 1
            self.slow_successes += observation is Observation.SLOW
            self.success_run = min(MAX_RUN, self.success_run + 1)
            self.last_success_at, self.failure_run, self.reported = now, 0, False
        else:
            if self.failure_run == 0:
                self.run_started_at, self.reported = now, False
            self.failures += 1
            self.failure_run = min(MAX_RUN, self.failure_run + 1)
            self.last_failure_at, self.success_run = now, 0
            self.reported = self.reported or observation is Observation.REPORTED_FAILURE


@dataclass(frozen=True, slots=True)
class Entry:
    """A record as sent in a statement: ages in ms instead of times, counts decayed to the time of sending."""

    worker: int  # as returned by wire_id()
    job_class: int
    incarnation: int
    successes: float
    failures: float
    slow_successes: float
    success_run: int
    failure_run: int
    success_age: float  # ms; inf if it never happened or is too long ago
    failure_age: float
    run_age: float  # since the first failure of the run
    reported: bool = False
    under_trial: bool = False


@dataclass(frozen=True, slots=True)
class Statement:
    """Everything that one node reports at a time.

    `seen` is the number of workers that the node used recently and `failing` the number of those that failed
    last. A node at which most workers fail may be at fault itself.
    """

    name: str
    incarnation: int  # of the node, 16 bits
    number: int  # increases with each statement of the node
    age_ms: float  # since the statement was made
    seen: int
    failing: int
    entries: tuple[Entry, ...] = ()


_HEAD = struct.Struct("!BHIHBB")  # length of the name, incarnation, number, age, seen, failing
_ENTRY = struct.Struct("!IB5sBBBBBBBB")
ENTRY_BYTES = _ENTRY.size


class BadStatement(ValueError):
    """The bytes do not form a valid statement."""


def _encode_age(ms: float) -> int:
    if ms == math.inf:
        return AGE_UNKNOWN
    return min(AGE_UNKNOWN, int(math.log(1 + max(0.0, ms) / AGE_UNIT_MS) / math.log(AGE_GROWTH) + 0.5))


def _decode_age(age: int) -> float:
    return AGE_UNIT_MS * (AGE_GROWTH**age - 1) if age < AGE_UNKNOWN else math.inf


def pack(statement: Statement, max_bytes: int) -> bytes:
    """Encode a statement in at most `max_bytes`; entries that do not fit are dropped from the end."""
    name = statement.name.encode()
    age = min(0xFFFF, int(max(0.0, statement.age_ms)))
    head = _HEAD.pack(
        len(name),
        statement.incarnation,
        statement.number,
        age,
        min(0xFF, statement.seen),
        min(0xFF, statement.failing),
    )
    data = head + name
    for entry in statement.entries[: (max_bytes - len(data)) // _ENTRY.size]:
        flags = TRIAL_FLAG * entry.under_trial | REPORTED_FLAG * entry.reported
        counts = (
            min(0xFF, round(min(MAX_COUNT, count) * 4))
            for count in (entry.successes, entry.failures, entry.slow_successes)
        )
        ages = map(_encode_age, (entry.success_age, entry.failure_age, entry.run_age))
        runs = min(MAX_RUN, entry.success_run) << 4 | min(MAX_RUN, entry.failure_run)
        incarnation = entry.incarnation.to_bytes(5, "big")
        data += _ENTRY.pack(entry.worker, entry.job_class, incarnation, flags, *counts, runs, *ages)
    return data


def unpack(data: bytes) -> Statement:
    """Decode a statement. Raises BadStatement if the bytes are malformed."""
    try:
        name_bytes, incarnation, number, age, seen, failing = _HEAD.unpack_from(data)
        entries_offset = _HEAD.size + name_bytes
        name = data[_HEAD.size : entries_offset].decode()
        if not name_bytes or len(name.encode()) != name_bytes or (len(data) - entries_offset) % _ENTRY.size:
            raise BadStatement("malformed statement: invalid name or entry length")
        entries = []
        for start in range(entries_offset, len(data), _ENTRY.size):
            worker, job_class, incarnation_bytes, flags, successes, failures, slow_successes, runs, *ages = (
                _ENTRY.unpack_from(data, start)
            )
            success_age, failure_age, run_age = map(_decode_age, ages)
            entries.append(
                Entry(
                    worker, job_class, int.from_bytes(incarnation_bytes, "big"),
                    successes / 4, failures / 4, slow_successes / 4, runs >> 4, runs & 0xF,
                    success_age, failure_age, run_age, bool(flags & REPORTED_FLAG), bool(flags & TRIAL_FLAG),
                )
            )  # fmt: skip
        return Statement(name, incarnation, number, float(age), seen, failing, tuple(entries))
    except (struct.error, UnicodeDecodeError) as error:
        raise BadStatement(str(error)) from error


class Evidence:
    """All observations of one node. Counts decay by half every `half_life_ms`."""

    def __init__(self, half_life_ms: float) -> None:
        self.half_life_ms = half_life_ms
        self.records: dict[tuple[int, int], Record] = {}
        self.incarnations: dict[int, int] = {}  # by worker, for the workers that are listed
        self.dropped = 0  # observations of unlisted workers or of past incarnations

    def update_workers(self, incarnations: dict[int, int]) -> None:
        """Set the listed workers and drop the records of unlisted workers and of past incarnations."""
        self.incarnations = incarnations
        gone = [key for key, record in self.records.items() if incarnations.get(key[0]) != record.incarnation]
        for key in gone:
            del self.records[key]

    def observe(
        self, worker: int, incarnation: int, job_class: int, observation: Observation, now: float
    ) -> Record | None:
        """Add an observation of the incarnation that the attempt went to. Returns None if it is dropped."""
        if self.incarnations.get(worker) != incarnation or not 0 <= job_class <= REACHABILITY:
            self.dropped += 1
            return None
        if observation is not Observation.PATH_FAILURE and job_class != REACHABILITY:
            # A worker that answers is reachable, whatever it answers.
            self._observe(worker, incarnation, REACHABILITY, Observation.SUCCESS, now)
        return self._observe(worker, incarnation, job_class, observation, now)

    def _observe(
        self, worker: int, incarnation: int, job_class: int, observation: Observation, now: float
    ) -> Record:
        key = worker, job_class
        record = self.records.get(key)
        if record is None:
            if len(self.records) >= MAX_RECORDS:  # bounds memory: evict the least recently updated record
                del self.records[min(self.records, key=lambda k: self.records[k].updated_at)]
            record = self.records[key] = Record(incarnation, now)
        record.observe(observation, now, self.half_life_ms)
        return record

    def forget_failures(self) -> None:
        """Drop all failures, after a fault of this node itself: they say nothing about the workers."""
        for record in self.records.values():
            record.failures = record.slow_successes = 0.0
            record.failure_run, record.reported = 0, False
            record.last_failure_at = record.run_started_at = -math.inf

    def health(self, now: float, since_ms: float) -> tuple[int, int]:
        """Return how many workers this node used in the last `since_ms`, and how many of them failed last."""
        seen: set[int] = set()
        failing: set[int] = set()
        for (worker, _), record in self.records.items():
            if now - max(record.last_success_at, record.last_failure_at) <= since_ms:
                seen.add(worker)
                if record.failure_run:
                    failing.add(worker)
        return len(seen), len(failing)

    def entry(self, key: tuple[int, int], now: float) -> Entry:
        """Return the record of a worker and class in the form that statements carry at `now`."""
        r = self.records[key]
        decay = 0.5 ** ((now - r.updated_at) / self.half_life_ms)
        return Entry(
            wire_id(key[0]), key[1], r.incarnation,
            r.successes * decay, r.failures * decay, r.slow_successes * decay, r.success_run, r.failure_run,
            now - r.last_success_at, now - r.last_failure_at, now - r.run_started_at,
            r.reported, r.under_trial,
        )  # fmt: skip

    def entries(self, keys: Iterable[tuple[int, int]], now: float) -> tuple[Entry, ...]:
        """Return the entries of those `keys` that have a record."""
        return tuple(self.entry(key, now) for key in keys if key in self.records)
