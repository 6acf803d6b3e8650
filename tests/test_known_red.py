"""CI's list of failures that are known: it passes over those alone, and says when the list is not true."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import ClassVar

JUDGE = Path(__file__).parent.parent / ".ci" / "known_red.py"
TESTS = """
import unittest

class SomeTest(unittest.TestCase):
    def test_good(self):
        pass

    def test_bad(self):
        self.fail("a real fault")

    def test_worse(self):
        raise OSError
"""
BAD, WORSE, GOOD = (f"test_some.py::SomeTest::test_{name}" for name in ("bad", "worse", "good"))


class KnownRedTest(unittest.TestCase):
    """A folder with three tests, run by pytest itself and judged as CI does."""

    folder: ClassVar[tempfile.TemporaryDirectory[str]]
    path: ClassVar[Path]
    code: ClassVar[int]  # of the run of all three

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.folder.cleanup)
        cls.path = Path(cls.folder.name)
        (cls.path / "test_some.py").write_text(TESTS)
        cls.code = cls.pytest("report.xml")

    @classmethod
    def pytest(cls, report: str, *more: str) -> int:
        command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-c", "/dev/null"]
        done = subprocess.run(
            [*command, "--rootdir", ".", f"--junitxml={report}", *more, "test_some.py"],
            cwd=cls.path,
            capture_output=True,
        )
        return done.returncode

    def judge(self, *lines: str, report: str = "report.xml", code: int | None = None) -> tuple[int, str]:
        (self.path / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
        done = subprocess.run(
            [sys.executable, str(JUDGE), "KNOWN-RED.txt", report, str(self.code if code is None else code)],
            cwd=self.path,
            capture_output=True,
            text=True,
        )
        return done.returncode, done.stdout

    def test_listed_failures_are_printed_and_passed_over(self) -> None:
        code, told = self.judge(f"{BAD} | a cause | issue 1", "# a note", f"{WORSE} | another | issue 2")
        self.assertEqual(code, 0, told)
        self.assertIn(f"known red: {BAD}: a cause (issue 1)", told)
        self.assertIn(f"known red: {WORSE}: another (issue 2)", told)

    def test_a_failure_that_is_not_listed_fails(self) -> None:
        code, told = self.judge(f"{BAD} | a cause | issue 1")
        self.assertEqual((code, f"not listed, and failed: {WORSE}" in told), (1, True), told)

    def test_a_listed_test_that_passes_fails(self) -> None:
        code, told = self.judge(*(f"{test} | a cause | issue 1" for test in (BAD, WORSE, GOOD)))
        self.assertEqual((code, f"listed, and passed: {GOOD}" in told), (1, True), told)

    def test_a_listed_test_that_does_not_exist_fails(self) -> None:
        names = (BAD, WORSE, "test_some.py::SomeTest::test_none")
        code, told = self.judge(*(f"{test} | a cause | issue 1" for test in names))
        self.assertEqual((code, "listed, and not run" in told), (1, True), told)

    def test_a_fourth_line_fails(self) -> None:
        lines = [f"{test} | a cause | issue 1" for test in (BAD, WORSE, BAD, WORSE)]
        code, told = self.judge(*lines)
        self.assertEqual((code, "4 tests listed" in told), (1, True), told)

    def test_a_line_that_lacks_its_cause_fails_and_is_named(self) -> None:
        code, told = self.judge(f"{BAD} | a cause | issue 1", f"{WORSE} | | issue 2")
        self.assertEqual((code, "KNOWN-RED.txt:2" in told), (1, True), told)

    def test_a_run_that_broke_off_or_ran_nothing_fails(self) -> None:
        self.assertEqual(self.judge(code=2)[0], 2)
        empty = self.pytest("empty.xml", "-k", "nothing")
        self.assertNotEqual(self.judge(report="empty.xml", code=empty)[0], 0)
        self.assertEqual(self.judge(report="empty.xml", code=0)[0], 1)

    def test_without_a_list_a_run_passes_only_where_all_pass(self) -> None:
        good = self.pytest("good.xml", "-k", "good")
        (self.path / "KNOWN-RED.txt").unlink(missing_ok=True)
        done = subprocess.run(
            [sys.executable, str(JUDGE), "KNOWN-RED.txt", "good.xml", str(good)], cwd=self.path
        )
        self.assertEqual(done.returncode, 0)
        self.assertEqual(self.judge()[0], 1)
