"""Support the gateway process: wiring, serving, graceful shutdown."""

import gc
from random import Random
from secrets import token_hex
import time

from result import Ok
import trio

from ..adapters.gateway_peer.client import HttpGatewayPeer
from ..adapters.gateway_peer.server import GatewayPeerHandler
from ..adapters.http.models import HttpRequest
from ..adapters.http.server import Exchange
from ..adapters.http.server import HttpServer
from . import const
from ..directory.coordinator import Directory
from ..forwarding.coordinator import Forwarder
from ..forwarding.health import InstanceHealth
from ..holding.clock import read_boot_time
from ..holding.coordinator import HolderCoordinator
from ..holding.lease import RoleKeeper
from ..holding.models import HolderRecord
from ..platform.directory import PLATFORM_KEYS
from ..platform.samplers import PlatformSamplers
from ..platform.settings import GatewaySettings
from ..platform.store import PlatformKeyValue
from ..process.listening import serve_http
from ..process.listening import wait_for_stop
from ..storing.relayed import RelayedKeyValue
from ..submissions.archive import Archive
from ..submissions.board import SubmissionState
from ..submissions.coordinator import PoolCoordinator
from ..submissions.reader import SubmissionReader
from ..submissions.runner import ItemRunner
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from ..versions.coordinator import VersionCoordinator
from .reload import watch_settings
from .routes import GatewayHandler


class GatewayProcess:
    """Hold all parts of one gateway."""

    def __init__(self, settings: GatewaySettings) -> None:
        """Wire the parts."""
        self._settings = settings
        self._rng = Random()
        self.metrics = Metrics()
        self._peer = HttpGatewayPeer()
        direct = PlatformKeyValue(settings.store)
        self._kv = RelayedKeyValue(
            direct,
            self._peer,
            lambda: self._holders.list_peers(),
            self.metrics,
            self._rng,
        )
        self._samplers = PlatformSamplers()
        self._directory = Directory(
            self._kv, PLATFORM_KEYS, self.metrics, self._rng
        )
        record = HolderRecord(settings.name, str(settings.peer), token_hex(8))
        self._holders = HolderCoordinator(
            self._kv,
            record,
            RoleKeeper(self._kv, record, settings.lease_s, read_boot_time),
            self._rng,
        )
        self._health = InstanceHealth(self._rng)
        self._forwarder = Forwarder(
            settings.zone,
            self._samplers,
            self._directory.find_instances,
            self._health,
            self.metrics,
            self._rng,
        )
        self._archive = Archive(self._kv, settings.value_bytes)
        self._pools: dict[str, PoolCoordinator] = {}
        self._reader = SubmissionReader(
            self._archive,
            self._holders,
            self._find_state,
            self._peer,
        )
        handler = GatewayHandler(
            self._directory,
            self._forwarder,
            self._archive,
            self._reader,
            time.time,
            self.metrics,
        )
        self._server = HttpServer(handler.handle)
        self._peer_server = HttpServer(
            GatewayPeerHandler(self._reader.read_here, direct).handle
        )
        self._ready_server = HttpServer(self._answer_ready)
        self._draining = False
        self._released: dict[str, int] = {}
        self._changed = trio.Event()
        self._table_version = 0
        self._directory.subscribe(self._apply_table)

    async def run(self) -> None:
        """Serve until told to stop, then drain."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(const.GC_THRESHOLD)
        settings = self._settings
        async with trio.open_nursery() as nursery:
            if settings.ready is not None:
                await nursery.start(
                    serve_http, self._ready_server, settings.ready
                )
            await nursery.start(self._forwarder.run)
            await nursery.start(serve_http, self._peer_server, settings.peer)
            if settings.listen is not None:
                await nursery.start(serve_http, self._server, settings.listen)
            nursery.start_soon(self._directory.run)
            nursery.start_soon(self._holders.run)
            nursery.start_soon(self._hold_pools)
            nursery.start_soon(watch_settings, settings)
            log_event("started", zone=settings.zone)
            await wait_for_stop()
            await self._drain()
            nursery.cancel_scope.cancel()

    async def _hold_pools(self) -> None:
        """Try for each pool that the configuration names; one task."""
        async with trio.open_nursery() as nursery:
            while True:
                for policy in self._directory.table.find_pools():
                    if policy.name not in self._pools:
                        pool = self._make_pool(policy.name)
                        self._pools[policy.name] = pool
                        nursery.start_soon(
                            self._holders.hold, policy.name, pool.work
                        )
                await self._answer_retirements()
                names = set(self._directory.instances)
                self._samplers.forget(names)
                self._health.keep_only(names)
                with trio.move_on_after(const.POOL_WATCH_S):
                    await self._changed.wait()

    async def _answer_retirements(self) -> None:
        """Release the instances to be emptied: none of them keeps a thing."""
        if not self._holders.roles:
            return
        for name, revision in list(self._directory.retiring.items()):
            if self._released.get(name) == revision:
                continue
            key = PLATFORM_KEYS.prefix_retire_status + name
            value = PLATFORM_KEYS.encode_retired()
            written = await self._kv.put_item(key, value)
            log_event("instance_released", instance=name, written=str(written))
            if isinstance(written, Ok):
                self._released[name] = revision

    def _make_pool(self, name: str) -> PoolCoordinator:
        """Make the work of one pool."""
        versions = VersionCoordinator(
            self._settings.name, self._samplers, read_boot_time, self.metrics
        )
        runner = ItemRunner(
            self._samplers,
            self._forwarder,
            self._health,
            lambda host, path: self._directory.table.find_route(host, path),
            versions.observe,
            self.metrics,
        )
        return PoolCoordinator(
            name,
            self._kv,
            self._archive,
            self._directory,
            runner,
            versions,
            self._health,
            time.time,
            self.metrics,
            self._rng,
        )

    def _find_state(self, submission: str) -> SubmissionState | None:
        """Return a submission that this gateway works on."""
        for name, pool in self._pools.items():
            role = self._holders.roles.get(name)
            if role is None or not role.is_valid(read_boot_time()):
                continue
            state = pool.board.submissions.get(submission)
            if state is not None:
                return state
        return None

    async def _answer_ready(
        self, request: HttpRequest, exchange: Exchange
    ) -> None:
        """Answer whether new callers are welcome."""
        status = 200 if self._is_ready() else 503
        await exchange.send_whole(status, [], b"")

    def _is_ready(self) -> bool:
        """Return whether new callers are welcome."""
        now = trio.current_time()
        return (
            self._directory.is_known()
            and not self._draining
            and not self._directory.operator.is_away(now)
        )

    def _apply_table(self) -> None:
        """Apply a new configuration: the pools, what callers may send."""
        table = self._directory.table
        limits = table.limits
        if limits is None or table.version == self._table_version:
            return
        self._table_version = table.version
        self._changed.set()
        self._changed = trio.Event()
        self._server.limits.max_head_bytes = limits.max_head_bytes
        self._server.limits.max_body_bytes = limits.max_body_bytes
        self._server.limits.read_timeout_s = limits.read_timeout_s
        self._server.limits.idle_timeout_s = limits.idle_timeout_s

    async def _drain(self) -> None:
        """Hand the roles over, then finish what is in flight."""
        log_event("draining", active=self._server.active)
        began_at = trio.current_time()
        self._draining = True
        with trio.move_on_after(const.HANDOVER_S):
            for name, role in list(self._holders.roles.items()):
                await self._pools[name].flush(role)
            await self._holders.stop()
        await trio.sleep_until(began_at + const.DRAIN_NOTICE_S)
        self._server.stop()
        end_at = began_at + self._settings.grace_s - const.DRAIN_MARGIN_S
        while self._server.active and trio.current_time() < end_at:
            await trio.sleep(0.02)
        log_event("stopped", cut=self._server.active)
