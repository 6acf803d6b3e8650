"""The `config` commands: check and compare files, read and replace the configuration in force."""

from __future__ import annotations

import json
import time
from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from pebbledrift.cluster.errors import InvalidConfiguration
from pebbledrift.console.commands.base import FLEET_OPTIONS, ConsoleCommand, FleetCommand, parse_whole_number
from pebbledrift.console.difference import compare
from pebbledrift.console.documents import read_object, write_private
from pebbledrift.console.errors import ConsoleError, ExitCode, FaultyConfiguration
from pebbledrift.console.fleet_status import collect_status
from pebbledrift.control.orders import ConfigurationState, Order, OrderKind, OrderStatus
from pebbledrift.control.schema import check

FILE = argument("file", description="A configuration (JSON).")
STATUS_POLL_INTERVAL_S = 0.2


def require_valid(config: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration if it is valid; raises FaultyConfiguration with every fault."""
    try:
        check(config)
    except InvalidConfiguration as error:
        raise FaultyConfiguration(error.faults) from None
    return config


def apply_update(base: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    """Return the base configuration with an update applied; raises FaultyConfiguration.

    `change` lists the named items to upsert and to delete, and the new revision.
    """
    state = ConfigurationState(check)
    state.config = base
    order = Order(OrderKind.UPDATE, base["revision"], json.dumps(change).encode())
    decision = state.apply(order)
    if decision.status != OrderStatus.ACCEPTED:
        raise FaultyConfiguration(decision.reason.split("; "))
    return state.config


class ConfigCheckCommand(ConsoleCommand):
    """Checks a configuration file without a fleet."""

    name = "config check"
    description = "Check a configuration file, and tell every fault with its place."
    arguments: ClassVar[list[Argument]] = [FILE]
    options: ClassVar[list[Option]] = [
        option("base", description="Take FILE as a change of named items in this configuration.", flag=False),
        *ConsoleCommand.options,
    ]

    def execute_command(self) -> int:
        """Check the file; with --base, as a change to that configuration."""
        path = self.argument("file")
        config = read_object(path)
        if self.option("base"):
            config = apply_update(require_valid(read_object(self.option("base"))), config)
        else:
            require_valid(config)
        counts = {name: len(config.get(name) or []) for name in ("routes", "backends", "tenants")}
        summary = ", ".join(f"{count} {name}" for name, count in counts.items())
        data = {"valid": True, "revision": config["revision"], **counts}
        self.show(data, [f"{path}: valid, revision {config['revision']}, {summary}"])
        return ExitCode.OK


class ConfigDiffCommand(FleetCommand):
    """Compares two files, or a file with the configuration in force."""

    name = "config diff"
    description = "Show what differs between a file and what is in place, or between two files."
    arguments: ClassVar[list[Argument]] = [
        FILE,
        argument("other", description="The file to compare with: FILE counts as before.", optional=True),
    ]

    def execute_command(self) -> int:
        """Print the differences; returns ExitCode.DIFFERENT if there are any."""
        config, other_path = require_valid(read_object(self.argument("file"))), self.argument("other")
        if other_path:
            before, after = config, require_valid(read_object(other_path))
        else:
            before, after = self.client().read_configuration(), config
        changes = compare(before, after)
        lines = [line for change in changes for line in change.lines()]
        self.show({"changes": [change.as_json() for change in changes]}, lines or ["no difference"])
        return ExitCode.DIFFERENT if changes else ExitCode.OK


class ConfigGetCommand(FleetCommand):
    """Reads the newest configuration of the fleet."""

    name = "config get"
    description = "Print the newest configuration, or write it to a file. It holds the tenants' keys."
    options: ClassVar[list[Option]] = [
        option("output", "o", description="Write to this file, readable by its owner alone.", flag=False),
        *FLEET_OPTIONS,
    ]

    def execute_command(self) -> int:
        """Print the configuration, or write it to the file given by --output."""
        config = self.client().read_configuration()
        path = self.option("output")
        if not path:
            self.show(config, [json.dumps(config, indent=2, ensure_ascii=False)])
            return ExitCode.OK
        write_private(path, config)
        self.show({"file": path, "revision": config["revision"]}, [f"{path}: revision {config['revision']}"])
        return ExitCode.OK


class ConfigApplyCommand(FleetCommand):
    """Replaces or updates the configuration of the fleet."""

    name = "config apply"
    description = "Put a configuration in place; checked first, sent again until there is a clear answer."
    arguments: ClassVar[list[Argument]] = [FILE]
    options: ClassVar[list[Option]] = [
        option("base", "b", description="The version that it builds on; else the one in place.", flag=False),
        option("update", "u", description="FILE holds a change of named items (upsert, delete).", flag=True),
        option("wait", "w", description="End once it is in force at every router.", flag=True),
        *FLEET_OPTIONS,
    ]

    def execute_command(self) -> int:
        """Check the file, submit it and, with --wait, wait until all routers have it in force."""
        document, client = read_object(self.argument("file")), self.client()
        update = bool(self.option("update"))
        if not update:
            require_valid(document)
        if self.option("base"):
            base = parse_whole_number(self.option("base"), "--base")
        else:
            base = self._current_revision(update)
        kind = OrderKind.UPDATE if update else OrderKind.REPLACE
        client.submit_change(kind, base, json.dumps(document, separators=(",", ":")).encode())
        revision = int(document["revision"])
        wait_result = self._wait_until_in_force(revision) if self.option("wait") else {}
        scope = " at every router" if wait_result else ""
        self.show(
            {"revision": revision, "base": base, **wait_result}, [f"revision {revision} is in force{scope}"]
        )
        return ExitCode.OK

    def _current_revision(self, update: bool) -> int:
        """Return the newest revision, 0 if the fleet has no configuration yet.

        For an update it is read from the configuration itself, so one must exist.
        """
        if update:
            return int(self.client().read_configuration()["revision"])
        return self.fetch_fleet_status(self.client()).revision

    def _wait_until_in_force(self, revision: int) -> dict[str, Any]:
        """Poll until every router connected to the head of the chain reports at least the revision.

        Returns the number of routers; raises ConsoleError with the missing routers at the timeout.
        """
        client = self.client()
        deadline = time.monotonic() + self._timeout_seconds()
        while True:
            status = collect_status(client.keepers, client.fetch_keeper_status)
            if status is not None and status.all_routers_reported and not status.routers_behind(revision):
                return {"routers": len(status.routers)}
            if time.monotonic() >= deadline:
                outdated = status.routers_behind(revision) if status is not None else []
                names = ", ".join(outdated) or "routers that have not reported"
                raise ConsoleError(f"revision {revision} was accepted but is not yet in force at: {names}")
            time.sleep(STATUS_POLL_INTERVAL_S)
