"""Support the entry process: wiring, serving, graceful shutdown."""

import gc
from random import Random
import time

import msgspec
import trio

from ..adapters.entry_peer.client import HttpEntryPeer
from ..adapters.entry_peer.server import PeerHandler
from ..adapters.etcd.client import EtcdKeyValue
from ..adapters.http.client import parse_address
from ..adapters.http.server import HttpServer
from ..adapters.instance_list.client import HttpInstanceList
from ..adapters.sidecar_link.client import NetworkSidecarLink
from ..admin.server import AdminHandler
from ..bundle.const import FRESH_KNOWLEDGE_S
from ..bundle.files import load_bundle
from ..bundle.files import save_bundle
from . import const
from ..ports.instances import Instance
from ..process.const import DRAIN_POLL_INTERVAL_S
from ..process.const import GC_THRESHOLD
from ..process.const import STOP_DELAY_S
from ..process.listening import serve_http
from ..process.listening import wait_for_stop
from ..settings.models import EntrySettings
from ..telemetry.exporter import MetricsExporter
from ..telemetry.logs import log_event
from .coordinator import EntryCoordinator
from .diagnostics import EntryDump


class EntryProcess:
    """Hold all parts of one entry."""

    def __init__(self, settings: EntrySettings, now: float) -> None:
        """Wire the parts."""
        self._settings = settings
        self.coordinator = EntryCoordinator(
            settings,
            EtcdKeyValue(settings.key_value),
            HttpInstanceList(settings.instance_list),
            _make_link,
            HttpEntryPeer,
            Random(),
        )
        parts = self.coordinator
        handler = parts.handler
        self._server = HttpServer(handler.handle)
        self._peer_server = HttpServer(
            PeerHandler(
                parts.dispatcher,
                handler.handle_peer,
                parts.metrics,
                parts.rng,
            ).handle
        )
        folder = settings.process.data_folder
        load_bundle(folder, parts.keeper, now)
        parts.live.subscribe(lambda: self._save_bundle(folder))
        self._saved_version = parts.keeper.version
        self._draining = False
        self._dump = EntryDump(
            settings.process.name,
            settings.process.zone,
            now,
            parts.keeper,
            parts.live,
            parts.membership,
            parts.steps,
            parts.metrics,
        )
        exporter = MetricsExporter(parts.metrics, settings.process.name)
        self._admin = HttpServer(
            AdminHandler(
                exporter, parts.explanations, self._is_ready, self._dump_state
            ).handle
        )
        self._add_gauges()

    async def run(self) -> None:
        """Serve until told to stop, then drain."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        settings = self._settings
        async with trio.open_nursery() as nursery:
            await nursery.start(
                serve_http, self._admin, settings.process.admin
            )
            await nursery.start(self.coordinator.run)
            await nursery.start(serve_http, self._peer_server, settings.peer)
            await nursery.start(serve_http, self._server, settings.listen)
            log_event("started")
            await wait_for_stop()
            await self._drain()
            nursery.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Finish what is in flight."""
        log_event("draining", active=self._server.active)
        self._draining = True
        with trio.move_on_after(const.DRAIN_NOTICE_S):
            await self.coordinator.lease.release_lease()
        self._server.stop()
        with trio.move_on_after(self._settings.process.drain_s):
            while self._server.active:
                await trio.sleep(DRAIN_POLL_INTERVAL_S)
        await trio.sleep(STOP_DELAY_S)
        log_event("stopped", cut=self._server.active)

    def _save_bundle(self, folder: str) -> None:
        """Keep a bundle that came into force."""
        keeper = self.coordinator.keeper
        if keeper.version > self._saved_version:
            self._saved_version = keeper.version
            save_bundle(folder, keeper)

    def _is_ready(self) -> bool:
        """Return whether new work is welcome."""
        return self.coordinator.is_ready() and not self._draining

    def _dump_state(self, now: float) -> msgspec.Struct:
        """Return the state."""
        return self._dump.gather(
            now,
            time.time(),
            self._is_ready(),
            self._draining,
            self._server.active,
            self.coordinator.lease.is_valid(now),
        )

    def _add_gauges(self) -> None:
        """Register what is read on each scrape."""
        parts = self.coordinator
        metrics = parts.metrics
        metrics.add_gauge("active", lambda: self._server.active)
        metrics.add_gauge("links", lambda: len(parts.membership.peers))
        metrics.add_gauge("bundle_version", lambda: parts.keeper.version)
        metrics.add_gauge("knowledge_age_s", self._read_knowledge_age)

    def _read_knowledge_age(self) -> float:
        """Return the seconds since the key-value service was heard."""
        heard_at = self.coordinator.live.last_success_at
        if heard_at is None:
            return 2.0 * FRESH_KNOWLEDGE_S
        return trio.current_time() - heard_at


def _make_link(instance: Instance) -> NetworkSidecarLink:
    """Make the link to a sidecar."""
    return NetworkSidecarLink(
        parse_address(instance.data), parse_address(instance.control)
    )
