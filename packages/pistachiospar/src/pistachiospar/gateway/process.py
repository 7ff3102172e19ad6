"""The gateway process: wiring, serving and graceful shutdown."""

import gc
from random import Random
from typing import TYPE_CHECKING

import trio

from ..adapters.gateway_peer.client import HttpGatewayPeer
from ..adapters.gateway_peer.server import GatewayPeerHandler
from ..adapters.http.address import Address
from ..adapters.http.exchange import Exchange
from ..adapters.http.models import HttpRequest
from ..adapters.http.server import HttpServer
from . import const
from ..const import MEBIBYTE
from ..organisations.models import make_key_rules
from ..platform.cloud import CloudClient
from ..platform.directory import PLATFORM_KEYS
from ..platform.samplers import PlatformSamplerClient
from ..platform.settings import GatewaySettings
from ..platform.store import PlatformKeyValue
from ..pool_holders.clock import Clocks
from ..pool_holders.clock import read_boot_time
from ..process.const import DRAIN_POLL_INTERVAL_S
from ..process.listening import serve_http
from ..process.listening import serve_open_socket
from ..process.listening import watch_stop
from ..telemetry.containment import contained_errors
from ..telemetry.logs import log_event
from .coordinator import GatewayCoordinator
from .diagnostics import dump_gateway
from .diagnostics import GatewayDump
from .draining import choose_drain_margin_s
from .models import GatewayIdentity
from .reload import watch_settings

if TYPE_CHECKING:
    from ..admin.server import AdminHandler
    from ..directory.config_warnings import ConfigWarnings


class GatewayProcess:
    """One gateway process with its servers for callers, peers and admins."""

    def __init__(
        self,
        settings: GatewaySettings,
        listen_descriptor: int | None = None,
    ) -> None:
        """Connect the parts; nothing is served before `run`.

        `listen_descriptor` is a socket that listens for callers already.
        """
        self._settings = settings
        self._listen_descriptor = listen_descriptor
        direct_kv = PlatformKeyValue(settings.store)
        self.coordinator = GatewayCoordinator(
            GatewayIdentity(
                settings.name,
                settings.zone,
                str(settings.peer),
                settings.lease_s,
                settings.value_bytes,
                settings.result_retention_s,
                settings.cpu_capacity,
                settings.is_first_start,
                make_key_rules(settings.config_apply_s, settings.revoke_s),
                duties=settings.duties,
                max_page_bytes=int(
                    settings.memory_mb * MEBIBYTE * const.RESULT_PAGE_SHARE
                ),
            ),
            PLATFORM_KEYS,
            direct_kv,
            PlatformSamplerClient(),
            HttpGatewayPeer(),
            Clocks(),
            Random(),
            CloudClient(settings.duties.address, settings.name)
            if settings.duties
            else None,
        )
        self._server = HttpServer(self.coordinator.handler.handle)
        limits = self._server.limits
        limits.max_connections = count_caller_connections(
            settings.max_descriptors
        )
        memory_bytes = settings.memory_mb * MEBIBYTE
        limits.max_buffered_bytes = int(memory_bytes * const.BODY_BUFFER_SHARE)
        reader = self.coordinator.reader
        self._peer_server = HttpServer(
            GatewayPeerHandler(
                reader.read_local,
                direct_kv,
                self.coordinator.watch_relay.is_store_lost,
                self.coordinator.watch_server.serve,
                self.coordinator.limits.keeper.acquire,
                self.coordinator.origins,
                self.coordinator.duties.receive_counts,
                PLATFORM_KEYS.conceal,
            ).handle
        )
        self._ready_server = HttpServer(self._handle_readiness)
        self._draining = False
        self.coordinator.directory.subscribe(self._apply_limits)
        self.coordinator.metrics.add_gauge(
            "errors_contained", contained_errors.total
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        gc.freeze()
        gc.set_threshold(const.GC_THRESHOLD)
        gc.enable()
        settings = self._settings
        stopped = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(watch_stop, stopped)
            await nursery.start(watch_settings, settings)
            if settings.ready is not None:
                await nursery.start(
                    serve_http, self._ready_server, settings.ready
                )
            await nursery.start(self.coordinator.run)
            await nursery.start(serve_http, self._peer_server, settings.peer)
            if self._listen_descriptor is not None:
                nursery.start_soon(
                    serve_open_socket, self._server, self._listen_descriptor
                )
            elif settings.listen is not None:
                await nursery.start(serve_http, self._server, settings.listen)
            nursery.start_soon(self._serve_admin)
            log_event("started", zone=settings.zone)
            await stopped.wait()
            await self._drain()
            nursery.cancel_scope.cancel()

    async def _serve_admin(self) -> None:
        """Load and serve the admin port, once callers are served.

        The checks of the configuration begin then, too.
        """
        await trio.sleep(const.ADMIN_START_DELAY_S)
        handler = await trio.to_thread.run_sync(
            self._load_admin, abandon_on_cancel=True
        )
        watch_findings = await trio.to_thread.run_sync(
            load_config_warnings, abandon_on_cancel=True
        )
        gc.freeze()
        watch_findings(self.coordinator.directory)
        address = Address(self._settings.peer.host, const.ADMIN_PORT)
        await serve_http(HttpServer(handler.handle), address)

    def _load_admin(self) -> "AdminHandler":
        """Import and create the admin port's handler."""
        # These are a third of all imports; without them a gateway that was
        # killed serves again sooner.
        from ..admin.server import AdminHandler
        from ..helpers.explanations import Explanations
        from ..telemetry.exporter import MetricsExporter

        exporter = MetricsExporter(
            self.coordinator.metrics, self._settings.name
        )
        return AdminHandler(
            exporter, Explanations(), self._is_ready, self._dump_state
        )

    async def _handle_readiness(
        self, request: HttpRequest, exchange: Exchange
    ) -> None:
        """Respond to the load balancer's check: 200 when ready, else 503."""
        status = 200 if self._is_ready() else 503
        await exchange.send_response(status, [], b"")

    def _is_ready(self) -> bool:
        """Return whether the gateway is ready and not draining."""
        ready = self.coordinator.is_ready(trio.current_time())
        return ready and not self._draining

    def _dump_state(self, now: float) -> GatewayDump:
        """Return the state for the admin port."""
        return dump_gateway(self.coordinator, now, read_boot_time())

    def _apply_limits(self) -> None:
        """Apply the configuration's limits on callers to the server."""
        limits = self.coordinator.directory.table.limits
        if limits is None:
            return
        self._server.limits.max_head_bytes = limits.max_head_bytes
        self._server.limits.max_body_bytes = limits.max_body_bytes
        self._server.limits.read_timeout_s = limits.read_timeout_s
        self._server.limits.idle_timeout_s = limits.idle_timeout_s

    async def _drain(self) -> None:
        """Release the roles, then wait for requests in flight."""
        log_event("draining", active=self._server.active_requests)
        started_at = trio.current_time()
        self._draining = True
        grace_s = self._settings.grace_s
        end_at = started_at + grace_s - choose_drain_margin_s(grace_s)
        drain = self.coordinator.handler.drain
        drain.answers_until = end_at
        self.coordinator.forwarder.end_calls_by(end_at)
        with trio.move_on_after(
            compute_handover_limit_s(self._settings.grace_s)
        ):
            await self.coordinator.hand_over()
        await trio.sleep_until(started_at + const.DRAIN_NOTICE_S)
        drain.is_closed = True
        self._server.stop()
        await self._wait_for_answers(end_at)
        cut = self._server.finish()
        await self._wait_for_answers(end_at + const.DRAIN_FINISH_S)
        grace_end_at = started_at + grace_s
        with trio.move_on_at(grace_end_at - const.EXIT_MARGIN_S):
            await self.coordinator.duties.finish()
        log_event("stopped", cut=cut)

    async def _wait_for_answers(self, until: float) -> None:
        """Wait until no request is in flight, or until a time."""
        while self._server.active_requests and trio.current_time() < until:
            await trio.sleep(DRAIN_POLL_INTERVAL_S)


def load_config_warnings() -> "type[ConfigWarnings]":
    """Import the checks, which take 15 to 28 ms that callers would wait."""
    from ..directory.config_warnings import ConfigWarnings

    return ConfigWarnings


def compute_handover_limit_s(grace_s: float) -> float:
    """Return how long the state of the pools held may take to be stored.

    During an outage of the store that may be nearly all of the time left,
    since the next holder generates again what is not stored.
    """
    return max(
        const.HANDOVER_TIMEOUT_S,
        grace_s - const.DRAIN_MARGIN_S - const.RELEASE_MARGIN_S,
    )


def count_caller_connections(max_descriptors: int) -> int:
    """Return how many caller connections the descriptor limit allows."""
    return max(1, (max_descriptors - const.RESERVED_DESCRIPTORS) // 2)
