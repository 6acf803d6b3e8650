"""A disk that fails by a plan, under a real node: `faults/disk.c`, built once for a test run's process."""

from __future__ import annotations

import atexit
import functools
import shutil
import subprocess
import tempfile
from pathlib import Path

SOURCE = Path(__file__).with_name("faults") / "disk.c"


@functools.cache
def library() -> Path:
    """The shared library that is preloaded into a node."""
    folder = Path(tempfile.mkdtemp())
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    found = folder / "disk.so"
    command = ["cc", "-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o", str(found), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True, capture_output=True, text=True)
    return found


class FaultyDisk:
    """The plan of one node's disk; it is well until `fails` is called."""

    def __init__(self, folder: str) -> None:
        self.plan = Path(folder) / "disk-plan"
        self.recovers()
        self.environ = {"LD_PRELOAD": str(library()), "FAULT_DISK": str(self.plan)}

    def fails(self, plan: str) -> None:
        """From now on: `write ENOSPC`, `sync EIO`, `write short`, `write kill 3` (faults/disk.c)."""
        self._set(plan)

    def recovers(self) -> None:
        """All goes well again."""
        self._set("")

    def _set(self, text: str) -> None:
        beside = self.plan.with_suffix(".new")
        beside.write_text(text)
        beside.replace(self.plan)  # a node that reads it has one plan or the other
