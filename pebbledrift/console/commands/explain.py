"""The `explain` command: shows how a request would be routed."""

from __future__ import annotations

from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from pebbledrift.console.commands.base import FLEET_OPTIONS, FleetCommand
from pebbledrift.console.commands.config import require_valid
from pebbledrift.console.documents import read_object
from pebbledrift.console.errors import ExitCode
from pebbledrift.console.explain import RouteQuery, explain
from pebbledrift.router.routes import RoutingTable


class ExplainCommand(FleetCommand):
    """Shows the route, tenant, service and workers that a request would get."""

    name = "explain"
    description = "Tell how a request would be routed, and why. Nothing is sent to a worker."
    arguments: ClassVar[list[Argument]] = [
        argument("host", description="The Host header."),
        argument("path", description="The path."),
    ]
    options: ClassVar[list[Option]] = [
        option("api-key", description="The key that the request bears.", flag=False),
        option("prefix", description="X-Pebbledrift-Prompt-Prefix, as ID:TOKENS,...", flag=False),
        option("config", description="Ask this file and no fleet.", flag=False),
        *FLEET_OPTIONS,
    ]

    def execute_command(self) -> int:
        """Print the explanation; returns ExitCode.DIFFERENT if no worker would be asked."""
        config, instances = self._configuration_and_instances()
        query = RouteQuery(
            self.argument("host"), self.argument("path"), self.option("api-key"), self.option("prefix")
        )
        explanation = explain(RoutingTable(config), instances, query)
        lines = [f"answer {explanation.status}"] if explanation.status is not None else []
        lines += explanation.steps
        lines += [
            f"{rank:3}. {worker.instance} at {worker.address}"
            for rank, worker in enumerate(explanation.workers, 1)
        ]
        self.show(explanation.as_json(), lines)
        return ExitCode.OK if explanation.status is None else ExitCode.DIFFERENT

    def _configuration_and_instances(self) -> tuple[dict[str, Any], dict[str, Any]]:
        """Return the configuration and the registered workers; with --config, the file and no workers."""
        if self.option("config"):
            return require_valid(read_object(self.option("config"))), {}
        client = self.client()
        return client.read_configuration(), self.fetch_fleet_status(client).newest_status["instances"]
