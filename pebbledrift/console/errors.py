"""Errors that end a command, each with its exit code."""

from __future__ import annotations

from enum import IntEnum

from pebbledrift.cluster.errors import FleetError


class ExitCode(IntEnum):
    """Exit codes of the commands, documented in docs/operations/console.md."""

    OK = 0
    DIFFERENT = 1  # negative result: configurations differ, fleet unhealthy, no worker, restore not done
    INVALID = 2  # the arguments, a file or a configuration are invalid
    CONFLICT = 3  # the change builds on an outdated version
    UNREACHABLE = 4  # no keeper gave a definitive response


class ConsoleError(FleetError):
    """Base class of the errors that end a command; `code` is the exit code."""

    code = ExitCode.INVALID


class DocumentError(ConsoleError):
    """A file cannot be read or written, or has the wrong format; the message starts with its path."""


class FaultyConfiguration(ConsoleError):
    """A configuration is invalid; `faults` holds one line per fault, with its position."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class VersionConflict(ConsoleError):
    """The version that a change builds on is not the current one."""

    code = ExitCode.CONFLICT


class NoDefinitiveResponse(ConsoleError):
    """No keeper gave a definitive response before the timeout."""

    code = ExitCode.UNREACHABLE
