"""What all commands have in common: where the keepers are, text or JSON, errors and exit codes."""

from __future__ import annotations

import json
import os
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from pebbledrift.cluster import boot
from pebbledrift.cluster.errors import BootError
from pebbledrift.console.client import FleetClient, parse_keepers
from pebbledrift.console.errors import ConsoleError, FaultyConfiguration, NoClearAnswer
from pebbledrift.console.fleet_status import FleetStatus, collect

KEEPERS_VARIABLE = "PEBBLEDRIFT_KEEPERS"
PATIENCE_S = "15"

JSON_OPTION = option("json", description="Print one JSON object.", flag=True)
FLEET_OPTIONS = [
    option(
        "keeper",
        "k",
        description=f"Control address HOST:PORT of a keeper; else ${KEEPERS_VARIABLE}, or the seeds of "
        f"${boot.SETTINGS_PATH_VARIABLE}.",
        flag=False,
        multiple=True,
    ),
    option("timeout", description="Seconds to go on asking.", flag=False, default=PATIENCE_S),
    JSON_OPTION,
]


class ConsoleCommand(Command):
    """A command whose errors become a line and an exit code."""

    options: ClassVar[list[Option]] = [JSON_OPTION]

    def handle(self) -> int:
        """Run the command; returns the exit code."""
        try:
            return self.execute_command()
        except FaultyConfiguration as error:
            self._fail({"error": "invalid", "faults": error.faults}, error.faults)
            return error.code
        except ConsoleError as error:
            self._fail({"error": str(error)}, [str(error)])
            return error.code

    def execute_command(self) -> int:
        """What the command does; raises ConsoleError."""
        raise NotImplementedError

    def _fail(self, data: dict[str, Any], lines: list[str]) -> None:
        if self.option("json"):
            self.show(data, [])
            return
        for line in lines:
            self.io.error_output.write_line(line, type=Type.RAW)

    def show(self, data: dict[str, Any], lines: list[str]) -> None:
        """Print the outcome, as one JSON object or as lines."""
        text = [json.dumps(data, indent=2, ensure_ascii=False)] if self.option("json") else lines
        for line in text:
            self.io.output.write_line(line, type=Type.RAW)


class FleetCommand(ConsoleCommand):
    """A command that calls the keepers."""

    options: ClassVar[list[Option]] = FLEET_OPTIONS

    def client(self) -> FleetClient:
        """The client for the keepers that were named."""
        return FleetClient(parse_keepers(self._contacts()), self._patience())

    def status_from(self, client: FleetClient) -> FleetStatus:
        """What the keepers tell about themselves; raises NoClearAnswer where none answers."""
        status = collect(client.keepers, client.status_of)
        if status is None:
            raise NoClearAnswer(f"no keeper answers: {', '.join(client.keepers)}")
        return status

    def _contacts(self) -> list[str]:
        named = self.option("keeper") or [
            text for text in os.environ.get(KEEPERS_VARIABLE, "").split(",") if text
        ]
        if named or boot.SETTINGS_PATH_VARIABLE not in os.environ:
            return list(named)
        try:
            seeds = boot.load(os.environ[boot.SETTINGS_PATH_VARIABLE]).seeds
        except BootError as error:
            raise ConsoleError(str(error)) from None
        return [boot.format_address(seed) for seed in seeds]

    def _patience(self) -> float:
        text = str(self.option("timeout"))
        try:
            seconds = float(text)
        except ValueError:
            seconds = -1.0
        if not 0 <= seconds <= 3600:
            raise ConsoleError(f"--timeout: seconds from 0 to 3600 are needed, not {text!r}")
        return seconds


def whole_number(text: str, name: str) -> int:
    """A version that an operator wrote."""
    if not text.isdigit():
        raise ConsoleError(f"{name}: a whole number is needed, not {text!r}")
    return int(text)
