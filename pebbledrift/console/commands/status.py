"""The `status` command: shows the state of the fleet."""

from __future__ import annotations

from pebbledrift.console.commands.base import FleetCommand
from pebbledrift.console.errors import ExitCode


class StatusCommand(FleetCommand):
    """Shows the view, chain, revisions, workers and quotas."""

    name = "status"
    description = (
        "Show the view, the chain, the version at each node, workers and quotas; 1 if something lacks."
    )

    def execute_command(self) -> int:
        """Print the merged status of all keepers; returns ExitCode.DIFFERENT if it is not healthy."""
        status = self.fetch_fleet_status(self.client())
        self.show(status.as_json(), status.lines())
        return ExitCode.OK if status.healthy else ExitCode.DIFFERENT
