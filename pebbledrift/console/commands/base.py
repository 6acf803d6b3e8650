"""Base classes of the commands: keeper addresses, text or JSON output, errors and exit codes."""

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
from pebbledrift.console.errors import ConsoleError, FaultyConfiguration, NoDefinitiveResponse
from pebbledrift.console.fleet_status import FleetStatus, collect_status

KEEPERS_VARIABLE = "PEBBLEDRIFT_KEEPERS"
DEFAULT_TIMEOUT_S = "15"

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
    option("timeout", description="Seconds to go on asking.", flag=False, default=DEFAULT_TIMEOUT_S),
    JSON_OPTION,
]


class ConsoleCommand(Command):
    """A command that reports a ConsoleError as text or JSON and ends with its exit code."""

    options: ClassVar[list[Option]] = [JSON_OPTION]

    def handle(self) -> int:
        """Run the command and return the exit code."""
        try:
            return self.execute_command()
        except FaultyConfiguration as error:
            self._show_error({"error": "invalid", "faults": error.faults}, error.faults)
            return error.code
        except ConsoleError as error:
            self._show_error({"error": str(error)}, [str(error)])
            return error.code

    def execute_command(self) -> int:
        """Do the work of the command and return the exit code; raises ConsoleError."""
        raise NotImplementedError

    def _show_error(self, data: dict[str, Any], lines: list[str]) -> None:
        if self.option("json"):
            self.show(data, [])
            return
        for line in lines:
            self.io.error_output.write_line(line, type=Type.RAW)

    def show(self, data: dict[str, Any], lines: list[str]) -> None:
        """Print `data` as one JSON object with --json, otherwise `lines`."""
        output_lines = [json.dumps(data, indent=2, ensure_ascii=False)] if self.option("json") else lines
        for line in output_lines:
            self.io.output.write_line(line, type=Type.RAW)


class FleetCommand(ConsoleCommand):
    """A command that calls the keepers."""

    options: ClassVar[list[Option]] = FLEET_OPTIONS

    def client(self) -> FleetClient:
        """Return a client for the keepers given by options or environment; raises ConsoleError."""
        return FleetClient(parse_keepers(self._keeper_addresses()), self._timeout_seconds())

    def fetch_fleet_status(self, client: FleetClient) -> FleetStatus:
        """Return the merged status of the keepers; raises NoDefinitiveResponse if none answers."""
        status = collect_status(client.keepers, client.fetch_keeper_status)
        if status is None:
            raise NoDefinitiveResponse(f"no keeper answered: {', '.join(client.keepers)}")
        return status

    def _keeper_addresses(self) -> list[str]:
        """Return the addresses of --keeper, else of PEBBLEDRIFT_KEEPERS, else the seeds of the boot file."""
        addresses = self.option("keeper") or [
            text for text in os.environ.get(KEEPERS_VARIABLE, "").split(",") if text
        ]
        if addresses or boot.SETTINGS_PATH_VARIABLE not in os.environ:
            return list(addresses)
        try:
            seeds = boot.load(os.environ[boot.SETTINGS_PATH_VARIABLE]).seeds
        except BootError as error:
            raise ConsoleError(str(error)) from None
        return [boot.format_address(seed) for seed in seeds]

    def _timeout_seconds(self) -> float:
        """Return the value of --timeout in seconds."""
        text = str(self.option("timeout"))
        try:
            seconds = float(text)
        except ValueError:
            seconds = -1.0
        if not 0 <= seconds <= 3600:
            raise ConsoleError(f"--timeout: expected a number of seconds from 0 to 3600, not {text!r}")
        return seconds


def parse_whole_number(text: str, name: str) -> int:
    """Parse a non-negative integer; raises ConsoleError with `name`, the option that holds it."""
    if not text.isdigit():
        raise ConsoleError(f"{name}: expected a whole number, not {text!r}")
    return int(text)
