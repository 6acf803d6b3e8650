"""The router's process: clients, placements, connections to workers and keepers put together."""

from __future__ import annotations

import asyncio
import logging
import math
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
from pebbledrift.overlay.messages import TokenGrant, TokenReport, TokenRequest
from pebbledrift.router import readiness, request
from pebbledrift.router.admitted import Admitted
from pebbledrift.router.client import SHUTDOWN, ClientConnection, RequestOwner
from pebbledrift.router.control import ControlLinks
from pebbledrift.router.flow import RequestFlow
from pebbledrift.router.metrics import Outcome, RouterMetrics
from pebbledrift.router.placement import Placement
from pebbledrift.router.pools import WorkerPools
from pebbledrift.router.retries import RetryBudget
from pebbledrift.router.routes import Backend, ClientLimits, Route, RoutingTable, Tenant
from pebbledrift.router.tokens import TokenPurse
from pebbledrift.router.upstream import WorkerPool
from pebbledrift.signals import hold_sighup

log = logging.getLogger(__name__)

SWEEP_S = 0.5
STARTUP_S = 0.6  # a start takes about so long from the first request that can be read
LEAVING_RETRY_S = 0.05  # another router takes it
STARTUP_RETRY_S = 0.2  # Retry-After, at least, while the configuration is not known
LEAVE_MOST_S = 2.5  # the platform has seen twice by then that the router is not ready
CLOSE_BEFORE_GRACE_S = 0.7  # what is still open so long before the end of the grace is given up
BACKLOG = 1024


class Router:
    """One router."""

    def __init__(self, boot: BootSettings, reload: Callable[[], BootSettings]) -> None:
        self.boot, self._reload = boot, reload
        self.loop = asyncio.get_running_loop()
        self.table: RoutingTable | None = None
        self.limits = _parser_limits(ClientLimits())
        self.clients: set[ClientConnection] = set()
        self.control = ControlLinks(boot, secrets.randbits(53), self)
        self.follower = self.control.node.follower
        bounds = boot.bounds
        self.purse = TokenPurse(self, QuotaWindow(bounds.quota_window_s, bounds.quota_overshoot))
        self.metrics = RouterMetrics()
        self.pool = WorkerPool(_upstream_limits())
        self.pools: dict[str, WorkerPools] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self._number = 0
        self._stopping = asyncio.Event()
        self._closing = False
        self._refuse_from = math.inf  # while leaving: what is read later than that could not be finished
        self._drain_end = math.inf  # while leaving: what is open then is given up
        self._listening_since = 0.0
        self._was_started = False
        self._mismatched: dict[str, None] = {}

    async def run(self) -> None:
        """Serve until SIGTERM, and until what was read is answered."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._stopping.set)
        self.loop.add_signal_handler(signal.SIGHUP, self._read_again)
        hold_sighup(False)
        self.metrics.cuts.watch(self.loop)
        front = await self.loop.create_server(
            lambda: ClientConnection(self.limits, self._begin, lambda: self._closing, self.clients),
            *self.boot.address_of("front"),
            backlog=BACKLOG,
        )
        ready = await readiness.serve(self.boot.address_of("readiness"), self.limits, self)
        await self.control.serve()
        sweeping = self.loop.create_task(self._sweep())
        self._listening_since = self.loop.time()
        log.info("listening")
        await self._stopping.wait()
        await self._drain(front)
        sweeping.cancel()
        hold_sighup(True)
        ready.close()
        self.control.close()
        self.pool.close()

    async def _drain(self, front: asyncio.Server) -> None:
        """Answer what was read; connections end with their answers, idle ones a moment later."""
        self._closing = True
        log.info("leaving")
        end = self.loop.time() + max(0.5, self.boot.bounds.grace_s - CLOSE_BEFORE_GRACE_S)
        self._drain_end = end
        leave = self._refuse_from = self.loop.time() + min(LEAVE_MOST_S, self.boot.bounds.grace_s / 3)
        while self.loop.time() < end:
            now = self.loop.time()
            for client in list(self.clients):
                if client.resting and (now - client.since > 0.25 or now > leave):
                    client.close()
            if now > leave and not self.clients:
                break
            await asyncio.sleep(0.05)
        front.close()
        for client in list(self.clients):
            client.end_reason = SHUTDOWN
            client.abort()

    def _read_again(self) -> None:
        try:
            self.boot = self._reload()
        except BootError as error:
            log.error("settings not read again", extra={"error": str(error)})
            return
        self.control.reload(self.boot)

    def ready(self) -> bool:
        """Whether new connections may come."""
        return not self._closing and self._started()

    def exposition(self) -> str:
        """All figures as text."""
        from pebbledrift.router.exposition import RouterGauges, exposition

        node, now = self.control.node, self.loop.time()
        gauges = RouterGauges(
            ready=not self._closing and self._was_started,
            revision=self.follower.log.state.revision,
            epoch=self.follower.epoch(now),
            uplinks=node.uplink_count,
            children=len(node.publisher),
            clients=len(self.clients),
        )
        return exposition(self.metrics, gauges)

    def _started(self) -> bool:
        if not self._was_started:
            self._was_started = self._has_all()
            if self._was_started:
                log.info("started", extra={"revision": self.follower.log.state.revision})
                self.control.started()
        return self._was_started

    def _has_all(self) -> bool:
        return self.table is not None and self.control.node.synchronized

    # what the keepers tell

    def configured(self, config: dict[str, Any]) -> None:
        """Another configuration is in force."""
        self.table = table = RoutingTable(config)
        self.limits = _parser_limits(table.limits)
        self.purse.configure(table.tenants.values())
        routes = (route.name for routes in table.routes.values() for route in routes)
        self.metrics.follow(routes, table.tenants)
        bounds = self.boot.bounds
        for name, backend in table.backends.items():
            if name not in self.pools:
                self.pools[name] = self._make_pools(backend)
                self.budgets[name] = RetryBudget(
                    bounds.retry_budget_ratio, bounds.budget_window_s, bounds.retry_budget_slack
                )
        self.instances_changed()

    def _make_pools(self, backend: Backend) -> WorkerPools:
        routers = self.routers()

        def make(first_limit: float) -> Placement:
            return Placement(routers, 0, backend.is_model, secrets.randbits(32), first_limit)

        return WorkerPools(make, backend.is_model, backend.slots, routers)

    def instances_changed(self) -> None:
        """Workers are new or have changed."""
        by_backend: dict[str, list[Instance]] = {name: [] for name in self.pools}
        for instance in self.follower.registry.instances.values():
            if instance.backend in by_backend and instance.id not in self._mismatched:
                by_backend[instance.backend].append(instance)
        for name, instances in by_backend.items():
            self.pools[name].follow(instances)

    def granted(self, grant: TokenGrant) -> None:
        """The keeper that lends has answered."""
        self.purse.granted(grant)

    def report(self, epoch: int) -> TokenReport:
        """What was taken of the quotas lately."""
        return self.purse.report(epoch)

    def ask(self, request: TokenRequest) -> bool:
        """Ask the keeper that acts for tokens."""
        return self.control.ask(request)

    def routers(self) -> int:
        """How many routers there are."""
        return self.follower.router_count()

    def revision(self) -> int:
        """The version of the configuration in force."""
        return self.table.revision if self.table is not None else 0

    def may_use(self, instance: Instance) -> bool:
        """Whether an instance is still in service."""
        known = self.follower.registry.instances.get(instance.id)
        return (
            known is not None and known.state == InstanceState.READY and instance.id not in self._mismatched
        )

    def mismatch(self, instance: Instance) -> None:
        """Another worker has the address: the instance has ended."""
        self._mismatched[instance.id] = None
        if len(self._mismatched) > 4096:
            del self._mismatched[next(iter(self._mismatched))]
        self.pool.drop(parse_address(instance.address, "address"))
        self.instances_changed()

    # clients

    def _begin(self, client: ClientConnection, message: Message) -> RequestOwner | None:
        """A request was read."""
        table = self.table
        if self.loop.time() > self._refuse_from:
            client.answer(503, {"Retry-After": f"{LEAVING_RETRY_S:.3f}"}, b"")
            return None
        if table is None or not self._started():
            client.answer(503, {"Retry-After": self._startup_retry()}, b"")
            return None
        path = message.second.partition("?")[0]
        route = table.match(message.headers.get("host", ""), path)
        if route is None:
            client.answer(404, {}, b"")
            return None
        key = request.api_key(message) if table.with_tenants else None
        tenant = table.tenant_of(key) if key is not None else None
        if table.with_tenants and tenant is None and not route.public:
            client.answer(401, {}, b"")
            return None
        wait_ms = min(request.deadline_ms(message), route.timeout_ms)
        prompt = request.prompt(message)
        admitted = Admitted(
            name=self._name(),
            message=message,
            route=route,
            tenant=tenant,
            strip_key=table.with_tenants,
            deadline=client.arrived + wait_ms / 1000.0,  # waiting behind others on the connection counts
            key=prompt.key() if prompt is not None else None,
            prompt_tokens=None if prompt is None else prompt.tokens_in,
            output_tokens=None if prompt is None else prompt.tokens_out,
            arrived=client.arrived,
        )
        if self._closing and not self._may_finish(admitted):
            client.answer(503, {"Retry-After": f"{LEAVING_RETRY_S:.3f}"}, b"")
            return None
        return self._admit(client, admitted, tenant, None if prompt is None else prompt.tokens)

    def _may_finish(self, admitted: Admitted) -> bool:
        """Whether a request will probably be over before this process is: else another router takes it.

        What is still open at the end of the grace is cut, and a client cannot tell how much of it was done.
        """
        needed = self.metrics.of_route(admitted.route.name).run_times.estimate(admitted.output_tokens)
        now = self.loop.time()
        return now + min(needed, admitted.deadline - now) <= self._drain_end

    def _startup_retry(self) -> str:
        """When the start will probably be over."""
        left = self._listening_since + STARTUP_S - self.loop.time()
        return f"{max(STARTUP_RETRY_S, left):.3f}"

    def _name(self) -> str:
        self._number += 1
        return str(self._number)

    def _admit(
        self, client: ClientConnection, admitted: Admitted, tenant: Tenant | None, tokens: float | None
    ) -> RequestOwner | None:
        if tenant is None or not tenant.limited:
            return self._start(client, admitted)
        pending = _PendingAdmission()
        name = tenant.name

        def decided(retry_after: float | None) -> None:
            if pending.gone:
                return
            if retry_after is None:
                pending.flow = self._start(client, admitted)
                client.owner = pending.flow
            else:
                pending.gone = True
                self.metrics.ended(admitted.route.name, name, Outcome.OVER_QUOTA)
                client.answer(429, {"Retry-After": f"{retry_after:.3f}"}, b"")

        urgent = admitted.route.priority <= self._most_urgent()
        self.purse.take(tenant, tenant.cost(tokens), urgent, decided)
        if pending.gone:
            return None
        return pending.flow or pending

    def _most_urgent(self) -> int:
        return self.table.most_urgent if self.table is not None else 0

    def _start(self, client: ClientConnection, admitted: Admitted) -> RequestFlow | None:
        name = self._backend(admitted.route, admitted.message)
        pools = self.pools.get(name)
        if pools is None:
            client.answer(503, {"Retry-After": self._startup_retry()}, b"")
            return None
        flow = RequestFlow(admitted, client, pools, self.pool, self.budgets[name], self, self.metrics)
        client.owner = flow
        flow.submit()
        return flow

    @staticmethod
    def _backend(route: Route, message: Message) -> str:
        return route.backend_for(message.headers.get(request.REQUEST_ID, ""))

    async def _sweep(self) -> None:
        """Close connections that have rested or sent half a request for too long."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = self.loop.time()
            self._share_load()
            limits = self.table.limits if self.table is not None else ClientLimits()
            for client in list(self.clients):
                client.look_for_end()
                if client.resting and now - client.since > limits.idle_timeout_s:
                    client.close()
                elif client.late(now, limits.header_timeout_s):
                    client.answer_late()

    def _share_load(self) -> None:
        """Tell what runs here, and divide the workers by what runs everywhere."""
        loads = {name: pools.load() for name, pools in self.pools.items() if pools.divides}
        self.control.node.report_load(loads)
        if self.table is not None:
            bounds = [b.max_connections for b in self.table.backends.values() if b.max_connections]
            if bounds:
                self.pool.share(min(bounds), self.routers())
        running = self.follower.running(self.loop.time())
        for name, pools in self.pools.items():
            pools.divide(running.get(name))


class _PendingAdmission:
    """A request whose tokens are being borrowed."""

    def __init__(self) -> None:
        self.gone = False
        self.flow: RequestFlow | None = None

    def client_gone(self) -> None:
        """The client has left before anything was sent."""
        self.gone = True

    def client_slow(self, paused: bool) -> None:
        """Nothing is being written yet."""


def _parser_limits(limits: ClientLimits) -> Limits:
    return Limits(head_bytes=limits.header_bytes, body_bytes=limits.body_bytes)


def _upstream_limits() -> Limits:
    return Limits(head_bytes=64 * 1024)
