"""The sidecar process: wiring, serving and graceful shutdown."""

import gc
from random import Random
import time

import msgspec
import trio

from ..adapters.engine.client import HttpEngine
from ..adapters.http.server import HttpServer
from ..adapters.plain.client import HttpUpstream
from ..adapters.sidecar_link.server import serve_control
from ..adapters.sidecar_link.server import SidecarHandler
from ..adapters.weight_store.client import HttpWeightFetcher
from ..admin.server import AdminHandler
from ..bundle.coordinator import BundleKeeper
from ..bundle.files import load_bundle
from ..bundle.files import save_bundle
from ..process.const import DRAIN_POLL_INTERVAL_S
from ..process.const import GC_THRESHOLD
from ..process.const import STOP_DELAY_S
from ..process.listening import serve_http
from ..process.listening import watch_stop
from ..settings.models import SidecarSettings
from ..telemetry.exporter import MetricsExporter
from ..telemetry.logs import log_event
from .coordinator import SidecarCoordinator
from .diagnostics import dump_sidecar
from .scheduler import SlotScheduler


class SidecarProcess:
    """One sidecar with its servers."""

    def __init__(self, settings: SidecarSettings, now: float) -> None:
        """Wire the parts and load the stored bundle."""
        self._settings = settings
        common = settings.process
        keeper = BundleKeeper(common.first_partners)
        engine = None
        upstream = HttpUpstream(settings.upstream_address)
        if settings.is_engine:
            engine = HttpEngine(settings.upstream_address)
            upstream = engine
        self.coordinator = SidecarCoordinator(
            name=common.name,
            upstream_name=settings.upstream,
            upstream=upstream,
            engine=engine,
            keeper=keeper,
            scheduler=SlotScheduler(settings.slots, settings.queue_limit),
            rng=Random(),
            now=now,
            fetcher=HttpWeightFetcher(),
            own_address=str(settings.data),
        )
        load_bundle(common.data_folder, keeper, now)
        self.coordinator.apply_bundle()
        self.coordinator.on_bundle_change = lambda: save_bundle(
            common.data_folder, keeper
        )
        self._server = HttpServer(SidecarHandler(self.coordinator).handle)
        exporter = MetricsExporter(self.coordinator.metrics, common.name)
        self._admin = HttpServer(
            AdminHandler(
                exporter,
                self.coordinator.explanations,
                self._is_ready,
                self._dump_state,
            ).handle
        )
        self._register_gauges()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; raises OSError."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        settings = self._settings
        stopped = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(watch_stop, stopped)
            await nursery.start(self.coordinator.run_tasks)
            await nursery.start(serve_http, self._server, settings.data)
            await nursery.start(
                serve_control, self.coordinator, settings.control
            )
            await nursery.start(
                serve_http, self._admin, settings.process.admin
            )
            log_event("started", incarnation=self.coordinator.incarnation)
            await stopped.wait()
            await self._drain()
            nursery.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Finish running orders within the drain limit, refuse the others."""
        log_event("draining", running=self.coordinator.scheduler.running)
        self.coordinator.drain()
        self._server.stop()
        with trio.move_on_after(self._settings.process.drain_s):
            while (
                self._server.active_requests
                or self.coordinator.scheduler.running
            ):
                await trio.sleep(DRAIN_POLL_INTERVAL_S)
        await trio.sleep(STOP_DELAY_S)
        log_event("stopped", cut=self.coordinator.scheduler.running)

    def _is_ready(self) -> bool:
        """Return whether new orders are accepted."""
        status = self.coordinator.make_status(trio.current_time())
        return status.ready and not status.draining

    def _dump_state(self, now: float) -> msgspec.Struct:
        """Return the state dump."""
        last_contact_at = self.coordinator.last_heartbeat_at
        return dump_sidecar(
            self.coordinator, last_contact_at, now, time.time()
        )

    def _register_gauges(self) -> None:
        """Register the gauges, which are read on each scrape."""
        coordinator = self.coordinator
        metrics = coordinator.metrics
        metrics.add_gauge("running", lambda: coordinator.scheduler.running)
        metrics.add_gauge("queued", lambda: len(coordinator.scheduler.queue))
        metrics.add_gauge("records", lambda: len(coordinator.records))
        metrics.add_gauge("bundle_version", lambda: coordinator.keeper.version)
