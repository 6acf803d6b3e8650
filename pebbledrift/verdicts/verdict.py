"""The verdict on a worker: a pure function of the evidence of several nodes. No I/O, no state, no leader.

Nodes that hold the same evidence reach the same verdicts. No node excludes a worker alone: a quorum of nodes
must each have seen a run of failures. The weight of each run is bounded, and a node at which most workers
fail is not counted at all. Path failures count only if most of the nodes that recently used the worker saw
them.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum

from pebbledrift.verdicts.evidence import Entry


class Word(IntEnum):
    """The level of a verdict; a greater value is worse."""

    GOOD = 0
    DOUBTFUL = 1  # fails some of its jobs or is slow: other workers are preferred
    BAD = 2  # fails the jobs that it is sent
    DOWN = 3  # unreachable from most nodes


@dataclass(frozen=True, slots=True)
class Rules:
    """The settings of verdicts; docs/verdicts.md gives the reasons."""

    half_life_ms: float = 8000.0  # time in which a count of evidence decays by half
    min_failures: int = 3  # consecutive failures, summed over all nodes, for an exclusion
    quorum: int = 2  # nodes that must have seen them; all nodes if the group is smaller
    max_excluded_share: float = 0.3  # share of the workers that verdicts may exclude
    max_verdict_age_ms: float = 12_000.0  # a verdict ends if no new failure is seen for this long
    max_run_age_ms: float = 60_000.0  # a run of failures is ignored after this
    max_node_weight: int = 4  # bound on the weight of one node's run
    recovery_successes: int = 2  # successes after the last failure that readmit a worker
    max_failing_share: float = 0.5  # a node that sees a greater share of its workers fail is not credible
    doubtful_failure_share: float = 0.12  # share of failures from which a worker is doubtful
    doubtful_slow_share: float = 0.5  # share of slow answers from which a worker is doubtful
    trial_delay_ms: float = 1000.0  # from the last failure to a trial; grows with further failures
    max_trial_delay_ms: float = 8000.0


@dataclass(frozen=True, slots=True)
class NodeEvidence:
    """One node's evidence on one worker and class, and whether its failures count."""

    name: str
    entry: Entry
    credible: bool


@dataclass(frozen=True, slots=True)
class Verdict:
    """The verdict on one worker and class."""

    level: Word
    weight: float = 0.0  # strength of the evidence; the limit on exclusions readmits the lightest first
    failure_age: float = math.inf  # ms since the last failure at any node that counts
    observers: tuple[str, ...] = ()  # nodes whose evidence it is based on


GOOD = Verdict(Word.GOOD)


def judge(evidence: Iterable[NodeEvidence], members: int, rules: Rules) -> Verdict:
    """Return the verdict on one worker and class. `members` is the number of nodes that can observe it."""
    reports = list(evidence)
    quorum = max(1, min(rules.quorum, members))
    failing = [
        e
        for e in reports
        if e.credible and e.entry.failure_run and e.entry.failure_age <= rules.max_run_age_ms
    ]
    reported = [e for e in failing if e.entry.reported]
    # Path failures may be local to a node, so they count only if most recent observers saw them.
    recent = [e for e in reports if min(e.entry.success_age, e.entry.failure_age) <= rules.max_run_age_ms]
    use_path_failures = len(reported) < len(failing) and 2 * len(failing) > len(recent)
    counted = failing if use_path_failures else reported
    if len(counted) >= quorum and _run_weight(counted, rules) >= rules.min_failures:
        newest_failure_age = min(e.entry.failure_age for e in counted)
        longest_run_age = max(e.entry.run_age for e in counted)
        recovered = sum(
            min(rules.recovery_successes, e.entry.success_run)
            for e in reports
            if e.entry.success_age < newest_failure_age
        )
        contradicting = sum(
            e.entry.success_run > 0 and e.entry.success_age < longest_run_age for e in reports
        )
        if (
            newest_failure_age <= rules.max_verdict_age_ms
            and recovered < rules.recovery_successes
            and len(counted) > contradicting
        ):
            level = Word.BAD if reported else Word.DOWN
            observers = tuple(sorted(e.name for e in counted))
            return Verdict(level, _run_weight(counted, rules), newest_failure_age, observers)
    return _judge_doubtful(reports, quorum, rules)


def _run_weight(counted: list[NodeEvidence], rules: Rules) -> float:
    return float(sum(min(rules.max_node_weight, e.entry.failure_run) for e in counted))


def _judge_doubtful(reports: list[NodeEvidence], quorum: int, rules: Rules) -> Verdict:
    """Return DOUBTFUL for a worker that fails some of its jobs or is slow, by decayed and bounded counts."""
    credible = [e for e in reports if e.credible]
    failing = [e for e in credible if e.entry.failures >= 0.5]
    slow = [e for e in credible if e.entry.slow_successes >= 0.5]
    total = sum(_bounded_count(e.entry, e.entry.successes + e.entry.failures, rules) for e in credible)
    failed = sum(_bounded_count(e.entry, e.entry.failures, rules) for e in failing)
    slowed = sum(_bounded_count(e.entry, e.entry.slow_successes, rules) for e in slow)
    for nodes, weight, min_share in (
        (failing, failed, rules.doubtful_failure_share),
        (slow, slowed, rules.doubtful_slow_share),
    ):
        if len(nodes) >= quorum and weight >= rules.min_failures and weight >= min_share * total:
            newest_failure_age = min(e.entry.failure_age for e in nodes)
            return Verdict(Word.DOUBTFUL, weight, newest_failure_age, tuple(sorted(e.name for e in nodes)))
    return GOOD


def _bounded_count(entry: Entry, count: float, rules: Rules) -> float:
    """Scale a count so that the total of its node stays bounded, however many jobs the node sent."""
    max_count = 4.0 * rules.max_node_weight
    return count * min(1.0, max_count / max(1e-9, entry.successes + entry.failures))


def limit_exclusions(verdicts: Mapping[tuple[int, int], Verdict], workers: int, rules: Rules) -> set[int]:
    """Return the workers to exclude: the worst ones, up to the allowed share of all `workers`.

    Ties are broken by the worker's number, so that all nodes readmit the same workers.
    """
    worst: dict[int, tuple[int, float]] = {}
    for (worker, _), v in verdicts.items():
        if v.level >= Word.BAD:
            worst[worker] = max(worst.get(worker, (0, 0.0)), (int(v.level), v.weight))
    max_excluded = int(rules.max_excluded_share * workers)
    return set(sorted(worst, key=lambda w: (worst[w], w), reverse=True)[:max_excluded])


def delay_before_trial_ms(verdict: Verdict, rules: Rules) -> float:
    """Return the delay between the last failure of a worker and its next trial, in ms.

    The delay doubles with every two further failures in the runs that count, failed trials included.
    """
    extra_weight = max(0.0, verdict.weight - rules.min_failures)
    return min(rules.max_trial_delay_ms, rules.trial_delay_ms * math.pow(2.0, extra_weight / 2))
