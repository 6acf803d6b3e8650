"""Rules 1 to 4 of the dispatcher as properties over generated sequences of events, through step() alone.

The checks are in World.step and World.check_send.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from spoolpier import Dispatcher
from spoolpier import interface as api
from tests import helpers

PROVEN_NOT_RUN = (api.OutcomeKind.REFUSED, api.OutcomeKind.NO_CONNECTION, api.OutcomeKind.NOT_SENT)
# milliseconds
TICK = 5.0
TOLERANCE = 20.0
GRACE = 1000.0


@dataclass
class SentAttempt:
    """An attempt as the test environment records it."""

    worker: int
    at: float
    open: bool = True
    may_have_run: bool = True


@dataclass
class AcceptedJob:
    """A job as the test environment records it."""

    job_class: int
    due: float
    sent: list[SentAttempt] = field(default_factory=list)
    finals: int = 0


class World:
    """Feeds events to a dispatcher and checks every action against the four rules."""

    def __init__(self, duplicates: bool) -> None:
        self.settings = helpers.settings(
            may_duplicate=duplicates,
            may_probe=duplicates,
            max_attempts=4,
            dispatchers=3,
            me=1,
            cold_ms=2000.0,
            cold_share=0.3,
            fall_multiple=3.0,
            fall_ms=500.0,
        )
        self.dispatcher = Dispatcher(self.settings, seed=3)
        self.now = 0.0
        self.jobs: dict[str, AcceptedJob] = {}
        self.unavailable: set[int] = set()
        self.cell = {i: i // 2 for i in range(1, 7)}
        self.started = dict.fromkeys(range(1, 7), 0.0)
        self.cold_work: list[tuple[float, int, float]] = []
        self.wakes: list[float] = []
        self.step([api.WorkerList(api.ListForm.CACHED, helpers.entries(6))])

    def step(self, events: list[api.Event]) -> None:
        """Process one batch: record the attempts that its events end, then check the dispatcher's actions."""
        for event in events:
            if isinstance(event, api.Outcome):
                attempt = self.jobs[event.job].sent[event.attempt]
                attempt.open = False
                attempt.may_have_run = event.kind not in PROVEN_NOT_RUN
                if event.kind is api.OutcomeKind.SERVED and not self.jobs[event.job].finals:
                    self.jobs[event.job].finals += 1
        for action in self.dispatcher.step(self.now, events):
            match action:
                case api.Send(name, worker):
                    self.check_send(self.jobs[name], worker)
                case api.Refuse(name):
                    accepted = self.jobs[name]
                    accepted.finals += 1
                    assert accepted.job_class == 0 or not any(s.may_have_run for s in accepted.sent)
                case api.Fail(name):
                    self.jobs[name].finals += 1
                case api.Wake(at):
                    self.wakes.append(at)
        for accepted in self.jobs.values():
            assert accepted.finals <= 1
            assert accepted.finals == 1 or self.now <= accepted.due + TOLERANCE

    def check_send(self, accepted: AcceptedJob, worker: int) -> None:
        """Check rules 1 to 4 for one send."""
        assert not accepted.finals and len(accepted.sent) < self.settings.max_attempts
        assert worker not in self.unavailable
        possible_runs = [s for s in accepted.sent if s.may_have_run]
        if any(s.open for s in possible_runs):
            assert self.settings.may_duplicate
        if possible_runs:
            assert accepted.job_class != 2
            if accepted.job_class == 1:
                assert self.cell[worker] == self.cell[possible_runs[0].worker]
                assert self.now < possible_runs[0].at + helpers.KEYED.window_ms
        accepted.sent.append(SentAttempt(worker, self.now))
        age = self.now - self.started[worker]
        if self.started[worker] and age < self.settings.cold_ms:
            self.cold_work.append((self.now, worker, 100.0))
            window = self.settings.fall_ms
            sent = sum(x for t, w, x in self.cold_work if w == worker and t > self.now - window)
            # the smallest worker that this amount could overload has one fast slot; the limit applies to
            # all three dispatchers together
            assert sent <= 3.0 * 0.3 * 1.0 * window

    def advance(self, by: float) -> None:
        """Advance the time: deliver requested wake-ups and time out attempts at the client's deadline."""
        target = self.now + by
        while True:
            due = [w for w in self.wakes if w <= target]
            ends = [t.due for t in self.jobs.values() if not t.finals and any(s.open for s in t.sent)]
            at = min([*due, *(e for e in ends if e <= target)], default=None)
            if at is None:
                break
            self.now = max(self.now, at)
            self.wakes = [w for w in self.wakes if w > self.now]
            events: list[api.Event] = [api.Timer(0)]
            for name, accepted in self.jobs.items():
                if not accepted.finals and accepted.due <= self.now:
                    events += [
                        api.Outcome(name, n, s.worker, api.OutcomeKind.TIMED_OUT, GRACE, False)
                        for n, s in enumerate(accepted.sent)
                        if s.open
                    ]
            self.step(events)
        self.now = target
        self.step([])


worker_ids = st.integers(1, 6)
moves = st.one_of(
    st.tuples(st.just("job"), st.integers(0, 2), st.integers(1, 4)),
    st.tuples(st.just("end"), st.integers(0, 30), st.sampled_from(list(api.OutcomeKind))),
    st.tuples(st.just("time"), st.sampled_from([0, 5, 20, 300, 2500]), st.just(0)),
    st.tuples(st.just("drain"), worker_ids, st.booleans()),
    st.tuples(st.just("return"), worker_ids, st.booleans()),
    st.tuples(st.just("full"), st.sets(worker_ids), st.just(0)),
    st.tuples(st.just("left"), st.integers(0, 30), st.booleans()),
    st.tuples(st.just("probe"), worker_ids, st.booleans()),
)


def play(world: World, steps: list[tuple[str, object, object]]) -> None:
    """Convert generated moves to events and process them."""
    for move, a, b in steps:
        if move == "job":
            assert isinstance(a, int) and isinstance(b, int)
            name = f"j{len(world.jobs)}"
            world.jobs[name] = AcceptedJob(a, world.now + GRACE)
            world.step([helpers.job(name, a, key=b, grace_ms=GRACE)])
        elif move in ("end", "left"):
            open_attempts = [
                (name, n) for name, t in world.jobs.items() for n, s in enumerate(t.sent) if s.open
            ]
            assert isinstance(a, int)
            if not open_attempts:
                continue
            name, n = open_attempts[a % len(open_attempts)]
            accepted = world.jobs[name]
            kind = b if isinstance(b, api.OutcomeKind) else api.OutcomeKind.ERROR
            done = bool(accepted.finals) or kind is api.OutcomeKind.SERVED
            end = api.Outcome(name, n, accepted.sent[n].worker, kind, 50.0, done)
            if move == "left" and not accepted.finals:
                # the client leaves in the same batch as an outcome, or alone
                accepted.finals += 1
                world.step([api.ClientGone(name)] if b else [api.ClientGone(name), end])
            elif move == "end":
                world.step([end])
        elif move == "time":
            assert isinstance(a, int)
            world.advance(float(a))
        elif move == "drain":
            assert isinstance(a, int)
            state = api.WorkerState.DRAINING if b else api.WorkerState.REMOVED
            world.unavailable.add(a)
            entry = api.WorkerEntry(a, cell=world.cell[a], state=state)
            world.step([api.WorkerList(api.ListForm.DELTA, (entry,))])
        elif move == "return":
            assert isinstance(a, int)
            world.now += TICK
            world.unavailable.discard(a)
            world.started[a] = world.now
            entry = api.WorkerEntry(a, cell=world.cell[a], started_ms=world.now)
            world.step([api.WorkerList(api.ListForm.DELTA, (entry,))])
        elif move == "full":
            assert isinstance(a, set)
            world.unavailable = set(range(1, 7)) - a
            kept = [api.WorkerEntry(i, cell=world.cell[i], started_ms=world.started[i]) for i in sorted(a)]
            world.step([api.WorkerList(api.ListForm.FULL, tuple(kept))])
        elif move == "probe":
            assert isinstance(a, int)
            world.step([api.ProbeResult(a, bool(b), 1.0, {"free_slots": 3.0} if b else None)])


# Hypothesis derives the examples of these tests from their names and source text.


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.booleans(), st.lists(moves, max_size=60))
def test_rules_hold_over_any_sequence(duplicates: bool, steps: list[tuple[str, object, object]]) -> None:
    world = World(duplicates)
    play(world, steps)
    world.advance(2 * GRACE)
    assert all(t.finals == 1 for t in world.jobs.values())


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.lists(moves, max_size=40))
def test_same_events_give_the_same_actions(steps: list[tuple[str, object, object]]) -> None:
    worlds = [World(True), World(True)]
    for world in worlds:
        play(world, steps)
    seen = [[(n, [(s.worker, s.at) for s in t.sent]) for n, t in w.jobs.items()] for w in worlds]
    assert seen[0] == seen[1]
