"""The `snapshot` commands: save the control state to a file, verify it and restore it."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from pebbledrift.console.commands.base import FLEET_OPTIONS, ConsoleCommand, FleetCommand
from pebbledrift.console.documents import read_object, write_private
from pebbledrift.console.errors import ExitCode
from pebbledrift.console.snapshot import configuration_to_restore, make_snapshot, verified_configuration
from pebbledrift.control.orders import OrderKind

FILE = argument("file", description="A snapshot.")


class SnapshotSaveCommand(FleetCommand):
    """Saves the newest configuration to a snapshot file."""

    name = "snapshot save"
    description = "Save the newest configuration, with a checksum, to a file that only its owner may read."
    arguments: ClassVar[list[Argument]] = [FILE]

    def execute_command(self) -> int:
        """Read the configuration from the tail of the chain and write the snapshot."""
        client, path = self.client(), self.argument("file")
        config = client.read_configuration()
        epoch = int(self.fetch_fleet_status(client).newest_status["epoch"])
        snapshot = make_snapshot(config, epoch, datetime.now(UTC).isoformat(timespec="seconds"))
        write_private(path, snapshot)
        data = {key: snapshot[key] for key in ("revision", "epoch", "checksum", "taken-at")}
        self.show({"file": path, **data}, [f"{path}: revision {config['revision']}, epoch {epoch}"])
        return ExitCode.OK


class SnapshotVerifyCommand(ConsoleCommand):
    """Checks a snapshot file without a fleet."""

    name = "snapshot verify"
    description = "Check that a snapshot is whole and would be taken."
    arguments: ClassVar[list[Argument]] = [FILE]

    def execute_command(self) -> int:
        """Check the format, the checksum and the configuration."""
        path = self.argument("file")
        config = verified_configuration(read_object(path), path)
        self.show({"valid": True, "revision": config["revision"]}, [f"{path}: whole, {config['revision']}"])
        return ExitCode.OK


class SnapshotRestoreCommand(FleetCommand):
    """Puts a saved configuration in force again."""

    name = "snapshot restore"
    description = "Put a saved configuration in place, under a version above the one that is."
    arguments: ClassVar[list[Argument]] = [FILE]
    options: ClassVar[list[Option]] = [
        option("yes", "y", description="Do it; without, only what would change is told.", flag=True),
        *FLEET_OPTIONS,
    ]

    def execute_command(self) -> int:
        """Verify the snapshot, assign a new revision and submit it; without --yes only show the plan."""
        path, client = self.argument("file"), self.client()
        saved = verified_configuration(read_object(path), path)
        status = self.fetch_fleet_status(client)
        config = configuration_to_restore(saved, status.revision or None)
        summary = f"revision {saved['revision']} of {path} as {config['revision']}, after {status.revision}"
        data = {"saved": saved["revision"], "base": status.revision, "revision": config["revision"]}
        if not self.option("yes"):
            self.show({"done": False, **data}, [f"would put {summary}: say --yes"])
            return ExitCode.DIFFERENT
        client.submit_change(
            OrderKind.REPLACE, status.revision, json.dumps(config, separators=(",", ":")).encode()
        )
        self.show({"done": True, **data}, [f"put {summary}"])
        return ExitCode.OK
