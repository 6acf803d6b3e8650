"""The command-line application: registers all commands, sets up logging and returns the exit code."""

from __future__ import annotations

import sys

from cleo.application import Application
from cleo.commands.completions_command import CompletionsCommand
from cleo.exceptions import CleoError
from cleo.io.inputs.input import Input
from cleo.io.outputs.output import Output
from logbook import INFO, NOTICE, StreamHandler

from pebbledrift.console.commands.config import (
    ConfigApplyCommand,
    ConfigCheckCommand,
    ConfigDiffCommand,
    ConfigGetCommand,
)
from pebbledrift.console.commands.explain import ExplainCommand
from pebbledrift.console.commands.snapshot import (
    SnapshotRestoreCommand,
    SnapshotSaveCommand,
    SnapshotVerifyCommand,
)
from pebbledrift.console.commands.status import StatusCommand
from pebbledrift.console.errors import ExitCode

COMMANDS = (
    ConfigApplyCommand,
    ConfigCheckCommand,
    ConfigDiffCommand,
    ConfigGetCommand,
    ExplainCommand,
    SnapshotRestoreCommand,
    SnapshotSaveCommand,
    SnapshotVerifyCommand,
    StatusCommand,
)


class Console(Application):
    """The Cleo application; maps errors in the command-line arguments to ExitCode.INVALID."""

    def run(
        self, input: Input | None = None, output: Output | None = None, error: Output | None = None
    ) -> int:
        """Run the command named by the arguments and return its exit code."""
        streams = self.create_io(input, output, error)
        try:
            return super().run(streams.input, streams.output, streams.error_output)
        except CleoError as cleo_error:
            self.render_error(cleo_error, streams)
            return ExitCode.INVALID


def make_application() -> Console:
    """Return an application with all commands registered.

    Errors other than argument errors propagate to the caller, and `run` returns instead of exiting.
    """
    application = Console("pebbledrift", "0.1.0")
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in (*COMMANDS, CompletionsCommand):
        application.add(command())
    return application


def main() -> int:
    """Run the command named by sys.argv, logging to stderr, and return its exit code."""
    level = INFO if {"-v", "-vv", "-vvv", "--verbose"} & set(sys.argv) else NOTICE
    with StreamHandler(sys.stderr, level=level, bubble=False).applicationbound():
        return make_application().run()
