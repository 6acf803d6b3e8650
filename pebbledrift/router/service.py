"""The router process: connects clients, placements, connections to workers, and control links to keepers."""

from __future__ import annotations

import asyncio
import logging
import secrets
import signal
from collections.abc import Callable
from typing import Any

from pebbledrift.bounds import Limits
from pebbledrift.cluster.boot import BootSettings, parse_address
from pebbledrift.cluster.errors import BootError
from pebbledrift.control.quota import QuotaWindow
from pebbledrift.control.registry import Instance, InstanceState
from pebbledrift.net.http import Message
from pebbledrift.net.request_connection import RequestConnection, RequestOwner
from pebbledrift.net.request_server import longest_without_request
from pebbledrift.overlay.messages import TokenGrant, TokenReport, TokenRequest
from pebbledrift.router import readiness, request
from pebbledrift.router.admitted import Admitted
from pebbledrift.router.control import ControlLinks
from pebbledrift.router.draining import Drain, DrainSchedule
from pebbledrift.router.flow import DRAIN_RETRY_AFTER_S, RequestFlow
from pebbledrift.router.job_classes import job_class_of
from pebbledrift.router.metrics import RouterMetrics
from pebbledrift.router.pending_admission import PendingAdmission
from pebbledrift.router.placement import Placement
from pebbledrift.router.pools import WorkerPools
from pebbledrift.router.retries import RetryBudget
from pebbledrift.router.routes import Backend, ClientLimits, Route, RoutingTable, Tenant
from pebbledrift.router.tokens import TokenBudgets
from pebbledrift.router.upstream import WorkerConnectionPool
from pebbledrift.signals import hold_sighup

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.5
EXPECTED_STARTUP_S = 0.6  # usual time from the first readable request to the end of the startup
MIN_STARTUP_RETRY_AFTER_S = 0.2  # minimum Retry-After while no configuration is in force
LISTEN_BACKLOG = 1024
# Of the descriptors of the process: the rest is for connections to workers, uplinks and children.
CLIENT_DESCRIPTOR_SHARE = 0.5


class Router:
    """A router: accepts client requests and forwards them to workers."""

    def __init__(self, boot: BootSettings, load_settings: Callable[[], BootSettings]) -> None:
        self.boot, self._load_settings = boot, load_settings
        self.loop = asyncio.get_running_loop()
        self.routing_table: RoutingTable | None = None
        self.parser_limits = _parser_limits(ClientLimits())
        self.clients: set[RequestConnection] = set()
        self.control = ControlLinks(boot, secrets.randbits(53), self)
        self.follower = self.control.node.follower
        bounds = boot.bounds
        self.tenant_quotas = TokenBudgets(self, QuotaWindow(bounds.quota_window_s, bounds.quota_overshoot))
        self.metrics = RouterMetrics()
        self.connection_pool = WorkerConnectionPool(_upstream_limits())
        self.worker_pools: dict[str, WorkerPools] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self._request_count = 0
        self._stop_requested = asyncio.Event()
        self._drain_schedule: DrainSchedule | None = None  # set once the shutdown has begun
        self._listening_since = 0.0
        self._startup_done = False
        self._mismatched_instances: dict[str, None] = {}

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then until the requests that were read are answered."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._stop_requested.set)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        hold_sighup(False)
        self.metrics.cuts.count_loop_errors(self.loop)
        client_server = await self.loop.create_server(
            lambda: _ClientConnection(self),
            *self.boot.address_of("front"),
            backlog=LISTEN_BACKLOG,
        )
        readiness_server = await readiness.serve(self.boot.address_of("readiness"), self)
        await self.control.serve()
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep_clients)
        self._listening_since = self.loop.time()
        log.info("listening")
        await self._stop_requested.wait()
        await self._shut_down_clients(client_server)
        self._sweep_timer.cancel()
        hold_sighup(True)
        await readiness_server.close(0.0)
        self.control.close()
        self.connection_pool.close()

    def limit_clients(self, newest: RequestConnection) -> None:
        """Closes idle connections in favour of a new one if there are too many."""
        limit = int(CLIENT_DESCRIPTOR_SHARE * self.boot.max_fds)
        if len(self.clients) <= limit:
            return
        excess = sum(client.alive for client in self.clients) - limit
        victims = longest_without_request(self.clients - {newest}, max(0, excess))
        for victim in victims:
            victim.end_reason = "replaced by a new connection"
            victim.abort()
        log.warning("too many connections", extra={"open": len(self.clients), "replaced": len(victims)})

    async def _shut_down_clients(self, client_server: asyncio.Server) -> None:
        """Answers the requests that were read, and closes the connections of all clients."""
        log.info("leaving")
        self._drain_schedule = DrainSchedule.starting(self.loop.time(), self.boot.bounds.grace_s)
        drain = Drain(self.clients, self._drain_schedule, self.may_start)
        await drain.answer_requests()
        client_server.close()
        await drain.end_requests()

    def _reload_settings(self) -> None:
        try:
            self.boot = self._load_settings()
        except BootError as error:
            log.error("settings reload failed", extra={"error": str(error)})
            return
        self.control.reload(self.boot)

    @property
    def draining(self) -> bool:
        """Whether this process is shutting down."""
        return self._drain_schedule is not None

    def ready(self) -> bool:
        """Whether new connections are accepted."""
        return not self.draining and self._check_startup()

    def exposition(self) -> str:
        """All metrics in the text exposition format."""
        from pebbledrift.router.exposition import RouterGauges, exposition

        node, now = self.control.node, self.loop.time()
        gauges = RouterGauges(
            ready=not self.draining and self._startup_done,
            revision=self.follower.log.state.revision,
            epoch=self.follower.epoch(now),
            uplinks=node.uplink_count,
            children=len(node.publisher),
            clients=len(self.clients),
        )
        return exposition(self.metrics, gauges)

    def _check_startup(self) -> bool:
        if not self._startup_done:
            self._startup_done = self._has_initial_state()
            if self._startup_done:
                log.info("started", extra={"revision": self.follower.log.state.revision})
                self.control.started()
        return self._startup_done

    def _has_initial_state(self) -> bool:
        return self.routing_table is not None and self.control.node.synchronized

    # callbacks of the control links

    def configured(self, config: dict[str, Any]) -> None:
        """Applies a new configuration."""
        self.routing_table = table = RoutingTable(config)
        self.parser_limits = _parser_limits(table.limits)
        self.tenant_quotas.configure(table.tenants.values())
        routes = [route for routes in table.routes.values() for route in routes]
        self.metrics.retain({route.name for route in routes}, table.tenants)
        bounds = self.boot.bounds
        for name, backend in table.backends.items():
            if name in self.worker_pools:
                self.worker_pools[name].set_slots(backend.slots)
                continue
            self.worker_pools[name] = self._create_worker_pools(backend)
            self.retry_budgets[name] = RetryBudget(
                bounds.retry_budget_ratio, bounds.budget_window_s, bounds.retry_budget_slack
            )
        job_classes = frozenset(map(job_class_of, routes))
        for pools in self.worker_pools.values():
            pools.retain_classes(job_classes)
        self.instances_changed()

    def _create_worker_pools(self, backend: Backend) -> WorkerPools:
        routers = self.routers()

        def create_placement(first_limit: float) -> Placement:
            return Placement(routers, 0, backend.is_model, secrets.randbits(32), first_limit)

        return WorkerPools(create_placement, backend.is_model, backend.slots, routers)

    def instances_changed(self) -> None:
        """Passes the workers in service to the worker pools after a change."""
        by_backend: dict[str, list[Instance]] = {name: [] for name in self.worker_pools}
        for instance in self.follower.registry.instances.values():
            if instance.backend in by_backend and instance.id not in self._mismatched_instances:
                by_backend[instance.backend].append(instance)
        for name, instances in by_backend.items():
            self.worker_pools[name].update_instances(instances)

    def granted(self, grant: TokenGrant) -> None:
        """Handles a keeper's answer to a token request."""
        self.tenant_quotas.granted(grant)

    def report(self, epoch: int) -> TokenReport:
        """The recent use of the tenants' quotas."""
        return self.tenant_quotas.report(epoch)

    def ask(self, request: TokenRequest) -> bool:
        """Sends a token request to the keeper that grants tokens; False if there is none."""
        return self.control.ask(request)

    def routers(self) -> int:
        """The number of routers in the fleet."""
        return self.follower.router_count()

    def revision(self) -> int:
        """The revision of the configuration in force, or 0 before the first one."""
        return self.routing_table.revision if self.routing_table is not None else 0

    def may_use(self, instance: Instance) -> bool:
        """Whether an instance is still in service."""
        registered = self.follower.registry.instances.get(instance.id)
        return (
            registered is not None
            and registered.state == InstanceState.READY
            and instance.id not in self._mismatched_instances
        )

    def instance_mismatch(self, instance: Instance) -> None:
        """Takes an instance out of service because another worker now has its address."""
        self._mismatched_instances[instance.id] = None
        if len(self._mismatched_instances) > 4096:
            del self._mismatched_instances[next(iter(self._mismatched_instances))]
        self.connection_pool.close_address(parse_address(instance.address, "address"))
        self.instances_changed()

    # requests of clients

    def begin_request(self, client: RequestConnection, message: Message) -> RequestOwner | None:
        """Routes and admits a request, or answers it at once."""
        table = self.routing_table
        schedule = self._drain_schedule
        if schedule is not None and self.loop.time() > schedule.refuse_after:
            _refuse_while_draining(client)
            return None
        if table is None or not self._check_startup():
            client.send_response(503, {"Retry-After": self._startup_retry_after()}, b"")
            return None
        path = message.second.partition("?")[0]
        route = table.match(message.headers.get("host", ""), path)
        if route is None:
            client.send_response(404, {}, b"")
            return None
        key = request.api_key(message) if table.has_tenants else None
        tenant = table.tenant_of(key) if key is not None else None
        if table.has_tenants and tenant is None and not route.public:
            client.send_response(401, {}, b"")
            return None
        timeout_ms = min(request.deadline_ms(message), route.timeout_ms)
        prompt = request.parse_prompt(message)
        admitted = Admitted(
            name=self._next_request_name(),
            message=message,
            route=route,
            tenant=tenant,
            strip_key=table.has_tenants,
            # the time queued behind other requests of the connection counts
            deadline=client.request_received_at + timeout_ms / 1000.0,
            key=prompt.key() if prompt is not None else None,
            prompt_tokens=None if prompt is None else prompt.prompt_tokens,
            output_tokens=None if prompt is None else prompt.output_tokens,
            arrived=client.request_received_at,
        )
        if not self.may_start(admitted):
            _refuse_while_draining(client)
            return None
        return self._admit(client, admitted, tenant, None if prompt is None else prompt.tokens)

    def may_start(self, admitted: Admitted) -> bool:
        """Whether a request that has not run may be sent to a worker.

        A router that shuts down sends only what will probably finish before this process exits. It refuses
        all else, so that another router takes it.
        """
        schedule = self._drain_schedule
        if schedule is None:
            return True
        expected_s = self.metrics.run_times.of(admitted.route.name).estimate(admitted.output_tokens)
        return schedule.may_start(self.loop.time(), expected_s, admitted.deadline)

    def _startup_retry_after(self) -> str:
        """The Retry-After value in seconds, from the expected end of the startup."""
        remaining_s = self._listening_since + EXPECTED_STARTUP_S - self.loop.time()
        return f"{max(MIN_STARTUP_RETRY_AFTER_S, remaining_s):.3f}"

    def _next_request_name(self) -> str:
        self._request_count += 1
        return str(self._request_count)

    def _admit(
        self, client: RequestConnection, admitted: Admitted, tenant: Tenant | None, tokens: float | None
    ) -> RequestOwner | None:
        if tenant is None or not tenant.limited:
            return self.start_flow(client, admitted)
        pending = PendingAdmission(client, admitted, self)
        urgent = admitted.route.priority <= self._most_urgent_priority()
        self.tenant_quotas.take(tenant, tenant.cost(tokens), urgent, pending.decide)
        return pending.flow if pending.decided else pending

    def _most_urgent_priority(self) -> int:
        return self.routing_table.most_urgent_priority if self.routing_table is not None else 0

    def start_flow(self, client: RequestConnection, admitted: Admitted) -> RequestFlow | None:
        """Starts a request that may run now, or answers it and returns None."""
        if not self.may_start(admitted):  # it may have waited for quota since
            _refuse_while_draining(client)
            return None
        name = self._choose_backend(admitted.route, admitted.message)
        pools = self.worker_pools.get(name)
        if pools is None:
            client.send_response(503, {"Retry-After": self._startup_retry_after()}, b"")
            return None
        flow = RequestFlow(
            admitted, client, pools, self.connection_pool, self.retry_budgets[name], self, self.metrics
        )
        client.owner = flow
        flow.submit()
        return flow

    @staticmethod
    def _choose_backend(route: Route, message: Message) -> str:
        return route.backend_for(message.headers.get(request.REQUEST_ID, ""))

    def _sweep_clients(self) -> None:
        """Closes connections that have been idle, or in the middle of a request, for too long."""
        # first, so that an exception, which the loop logs and counts, ends this sweep only
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep_clients)
        now = self.loop.time()
        self._exchange_load()
        limits = self.routing_table.limits if self.routing_table is not None else ClientLimits()
        for client in list(self.clients):
            client.check_peer_closed()
            if client.idle and now - client.state_since > limits.idle_timeout_s:
                client.close()
            elif client.request_timed_out(now, limits.header_timeout_s):
                client.reject_timed_out_request()

    def _exchange_load(self) -> None:
        """Reports the load of this router, and divides the workers by the load of all routers."""
        loads = {name: pools.load() for name, pools in self.worker_pools.items() if pools.is_divisible}
        self.control.node.report_load(loads)
        if self.routing_table is not None:
            max_connections = [
                b.max_connections for b in self.routing_table.backends.values() if b.max_connections
            ]
            if max_connections:
                self.connection_pool.limit_idle(min(max_connections), self.routers())
        running = self.follower.running(self.loop.time())
        for name, pools in self.worker_pools.items():
            pools.divide(running.get(name))


class _ClientConnection(RequestConnection):
    """A connection of a client of this router. Each request is limited by the configuration in force."""

    def __init__(self, router: Router) -> None:
        super().__init__(router.parser_limits, router.begin_request, lambda: router.draining, router.clients)
        self._router = router

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._router.limit_clients(self)

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes under the limits in force."""
        self.apply_limits(self._router.parser_limits)
        super().buffer_updated(nbytes)


def _refuse_while_draining(client: RequestConnection) -> None:
    client.send_response(503, {"Retry-After": f"{DRAIN_RETRY_AFTER_S:.3f}"}, b"")


def _parser_limits(limits: ClientLimits) -> Limits:
    return Limits(head_bytes=limits.header_bytes, body_bytes=limits.body_bytes)


def _upstream_limits() -> Limits:
    return Limits(head_bytes=64 * 1024)
