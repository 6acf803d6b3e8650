"""Commands for configurations: check and compare files, read and change what is in place."""

from __future__ import annotations

import json
import time
from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from pebbledrift.cluster.errors import InvalidConfiguration
from pebbledrift.console.commands.base import FLEET_OPTIONS, ConsoleCommand, FleetCommand, whole_number
from pebbledrift.console.difference import compare
from pebbledrift.console.documents import read_object, write_private
from pebbledrift.console.errors import ConsoleError, ExitCode, FaultyConfiguration
from pebbledrift.console.fleet_status import collect
from pebbledrift.control.orders import ConfigurationState, Order, OrderKind, OrderStatus
from pebbledrift.control.schema import check

FILE = argument("file", description="A configuration (JSON).")
WAIT_POLL_S = 0.2


def checked(config: dict[str, Any]) -> dict[str, Any]:
    """The configuration, if it is valid; raises FaultyConfiguration with every fault."""
    try:
        check(config)
    except InvalidConfiguration as error:
        raise FaultyConfiguration(error.faults) from None
    return config


def changed(base: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    """What a configuration becomes by a change of named items; raises FaultyConfiguration."""
    state = ConfigurationState(check)
    state.config = base
    order = Order(OrderKind.UPDATE, base["revision"], json.dumps(change).encode())
    judgement = state.apply(order)
    if judgement.status != OrderStatus.ACCEPTED:
        raise FaultyConfiguration(judgement.reason.split("; "))
    return state.config


class ConfigCheckCommand(ConsoleCommand):
    """Check a file without a fleet."""

    name = "config check"
    description = "Check a configuration file, and tell every fault with its place."
    arguments: ClassVar[list[Argument]] = [FILE]
    options: ClassVar[list[Option]] = [
        option("base", description="Take FILE as a change of named items in this configuration.", flag=False),
        *ConsoleCommand.options,
    ]

    def execute_command(self) -> int:
        """Check the file."""
        path = self.argument("file")
        config = read_object(path)
        if self.option("base"):
            config = changed(checked(read_object(self.option("base"))), config)
        else:
            checked(config)
        counts = {name: len(config.get(name) or []) for name in ("routes", "backends", "tenants")}
        words = ", ".join(f"{count} {name}" for name, count in counts.items())
        data = {"valid": True, "revision": config["revision"], **counts}
        self.show(data, [f"{path}: valid, revision {config['revision']}, {words}"])
        return ExitCode.OK


class ConfigDiffCommand(FleetCommand):
    """Compare two configurations."""

    name = "config diff"
    description = "Show what differs between a file and what is in place, or between two files."
    arguments: ClassVar[list[Argument]] = [
        FILE,
        argument("other", description="The file to compare with: FILE counts as before.", optional=True),
    ]

    def execute_command(self) -> int:
        """Compare, and end with 1 where something differs."""
        named, other = checked(read_object(self.argument("file"))), self.argument("other")
        if other:
            before, after = named, checked(read_object(other))
        else:
            before, after = self.client().read(), named
        changes = compare(before, after)
        lines = [line for change in changes for line in change.lines()]
        self.show({"changes": [change.as_json() for change in changes]}, lines or ["no difference"])
        return ExitCode.DIFFERENT if changes else ExitCode.OK


class ConfigGetCommand(FleetCommand):
    """Read what is in place."""

    name = "config get"
    description = "Print the newest configuration, or write it to a file. It holds the tenants' keys."
    options: ClassVar[list[Option]] = [
        option("output", "o", description="Write to this file, readable by its owner alone.", flag=False),
        *FLEET_OPTIONS,
    ]

    def execute_command(self) -> int:
        """Read, and print or write."""
        config = self.client().read()
        path = self.option("output")
        if not path:
            self.show(config, [json.dumps(config, indent=2, ensure_ascii=False)])
            return ExitCode.OK
        write_private(path, config)
        self.show({"file": path, "revision": config["revision"]}, [f"{path}: revision {config['revision']}"])
        return ExitCode.OK


class ConfigApplyCommand(FleetCommand):
    """Change what is in place."""

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
        """Check, send, and wait if asked to."""
        document, client = read_object(self.argument("file")), self.client()
        update = bool(self.option("update"))
        if not update:
            checked(document)
        if self.option("base"):
            base = whole_number(self.option("base"), "--base")
        else:
            base = self._version_in_place(update)
        kind = OrderKind.UPDATE if update else OrderKind.REPLACE
        client.order(kind, base, json.dumps(document, separators=(",", ":")).encode())
        revision = int(document["revision"])
        waited = self._wait(revision) if self.option("wait") else {}
        where = " at every router" if waited else ""
        self.show({"revision": revision, "base": base, **waited}, [f"revision {revision} is in force{where}"])
        return ExitCode.OK

    def _version_in_place(self, update: bool) -> int:
        """The newest version; 0 where a fleet that answers has none yet."""
        if update:
            return int(self.client().read()["revision"])
        return self.status_from(self.client()).revision

    def _wait(self, revision: int) -> dict[str, Any]:
        """Wait until every router that is connected to the head reports the revision."""
        client = self.client()
        until = time.monotonic() + self._patience()
        while True:
            status = collect(client.keepers, client.status_of)
            if status is not None and status.reporting and not status.behind_at(revision):
                return {"routers": len(status.routers)}
            if time.monotonic() >= until:
                late = status.behind_at(revision) if status is not None else []
                names = ", ".join(late) or "routers that have not reported"
                raise ConsoleError(f"revision {revision} was taken, but is not in force at: {names}")
            time.sleep(WAIT_POLL_S)
