"""Judges a run of the tests by KNOWN-RED.txt: failures that are listed there are passed over, and no others.

A line is `test | cause | issue`, the test as pytest names it. At most three; each has to exist and to fail.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from xml.etree import ElementTree

MOST = 3
FAILED = 1  # pytest's exit code where tests were run and some have failed


class ListError(ValueError):
    """A list that cannot be read; the message names the line."""


@dataclass(frozen=True, slots=True)
class Known:
    """A test that fails for a real fault not mended yet."""

    test: str
    cause: str
    issue: str


def read_list(text: str) -> list[Known]:
    """The lines of the list; ListError for one that lacks something."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ListError(f"KNOWN-RED.txt:{number}: not `test | cause | issue`: {line!r}")
        found.append(Known(*parts))
    return found


def read_report(path: Path) -> tuple[set[str], set[str]]:
    """The tests that were run and those that failed, as pytest names them, from its JUnit report."""
    run, failed = set(), set()
    for case in ElementTree.parse(path).iter("testcase"):
        name = _node_id(case.get("classname", ""), case.get("name", ""))
        if case.find("skipped") is not None:
            continue
        run.add(name)
        if case.find("failure") is not None or case.find("error") is not None:
            failed.add(name)
    return run, failed


def _node_id(classname: str, name: str) -> str:
    parts = classname.split(".")
    files = [i for i, part in enumerate(parts) if part.startswith("test_")]
    at = files[0] + 1 if files else len(parts)
    return "::".join(["/".join(parts[:at]) + ".py", *parts[at:], name])


def faults(known: list[Known], run: set[str], failed: set[str]) -> list[str]:
    """All that the run does not pass for."""
    listed = {entry.test for entry in known}
    found = [f"not listed, and failed: {test}" for test in sorted(failed - listed)]
    found += [f"listed, and not run: {test}" for test in sorted(listed - run)]
    found += [f"listed, and passed: {test}" for test in sorted((listed & run) - failed)]
    if len(known) > MOST:
        found.append(f"{len(known)} tests listed, {MOST} at most")
    return found


def main(list_path: str, report_path: str, code: str) -> int:
    """Print what is known to fail and what else is at fault; returns the exit code."""
    path = Path(list_path)
    try:
        known = read_list(path.read_text() if path.exists() else "")
    except ListError as error:
        print(error)
        return 1
    for entry in known:
        print(f"known red: {entry.test}: {entry.cause} ({entry.issue})")
    if int(code) not in (0, FAILED):
        print(f"the tests ended with {code}")
        return int(code)
    run, failed = read_report(Path(report_path))
    found = faults(known, run, failed)
    if not run:
        found.append("no test was run")
    if int(code) == FAILED and not failed:
        found.append("the tests ended with 1, and none is told to have failed")
    for fault in found:
        print(f"FAULT {fault}")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
