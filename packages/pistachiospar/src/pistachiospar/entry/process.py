"""The entry process: adapters, servers and graceful shutdown."""

import gc
from random import Random
import time

import msgspec
import trio

from ..adapters.entry_peer.client import HttpEntryPeer
from ..adapters.entry_peer.server import EntryPeerHandler
from ..adapters.etcd.client import EtcdKeyValue
from ..adapters.http.address import parse_address
from ..adapters.http.server import HttpServer
from ..adapters.instance_list.client import HttpInstanceList
from ..adapters.sidecar_link.client import NetworkSidecarLink
from ..admin.server import AdminHandler
from ..bundle.const import MAX_KNOWLEDGE_AGE_S
from ..bundle.files import load_bundle
from ..bundle.files import save_bundle
from . import const
from ..ports.instances import Instance
from ..process.const import DRAIN_POLL_INTERVAL_S
from ..process.const import GC_THRESHOLD
from ..process.const import STOP_DELAY_S
from ..process.listening import serve_http
from ..process.listening import watch_stop
from ..settings.models import EntrySettings
from ..telemetry.exporter import MetricsExporter
from ..telemetry.logs import log_event
from .coordinator import EntryCoordinator
from .diagnostics import EntryDump


class EntryProcess:
    """One entry with its network adapters and HTTP servers."""

    def __init__(self, settings: EntrySettings, now: float) -> None:
        """Create the parts; load a saved bundle, if there is one."""
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
            EntryPeerHandler(
                parts.dispatcher,
                handler.handle_peer,
                parts.metrics,
                parts.rng,
            ).handle
        )
        folder = settings.process.data_folder
        load_bundle(folder, parts.keeper, now)
        parts.live.subscribe(lambda: self._save_new_bundle(folder))
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
                exporter,
                parts.explanations,
                self._is_ready,
                self._collect_state,
            ).handle
        )
        self._add_gauges()

    async def run(self) -> None:
        """Serve until a stop signal, then drain."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        settings = self._settings
        stopped = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(watch_stop, stopped)
            await nursery.start(
                serve_http, self._admin, settings.process.admin
            )
            await nursery.start(self.coordinator.run)
            await nursery.start(serve_http, self._peer_server, settings.peer)
            await nursery.start(serve_http, self._server, settings.listen)
            log_event("started")
            await stopped.wait()
            await self._drain()
            nursery.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Release the lease, then wait for the active requests.

        Those that are still active after the drain time end without an
        outcome.
        """
        log_event("draining", active=self._server.active_requests)
        self._draining = True
        with trio.move_on_after(const.LEASE_RELEASE_TIMEOUT_S):
            await self.coordinator.lease.release_lease()
        self._server.stop()
        with trio.move_on_after(self._settings.process.drain_s):
            while self._server.active_requests:
                await trio.sleep(DRAIN_POLL_INTERVAL_S)
        cut = self._server.finish()
        await trio.sleep(STOP_DELAY_S)
        log_event("stopped", cut=cut)

    def _save_new_bundle(self, folder: str) -> None:
        """Save the bundle in force if it is newer than the saved one."""
        keeper = self.coordinator.keeper
        if keeper.version > self._saved_version:
            self._saved_version = keeper.version
            save_bundle(folder, keeper)

    def _is_ready(self) -> bool:
        """Return whether the entry accepts new requests."""
        return self.coordinator.is_ready() and not self._draining

    def _collect_state(self, now: float) -> msgspec.Struct:
        """Return the state for the admin port."""
        return self._dump.collect_state(
            now,
            time.time(),
            self._is_ready(),
            self._draining,
            self._server.active_requests,
            self.coordinator.lease.is_valid(now),
        )

    def _add_gauges(self) -> None:
        """Register the gauges, which are read on each scrape."""
        parts = self.coordinator
        metrics = parts.metrics
        metrics.add_gauge("active", lambda: self._server.active_requests)
        metrics.add_gauge("links", lambda: len(parts.membership.peers))
        metrics.add_gauge("bundle_version", lambda: parts.keeper.version)
        metrics.add_gauge("knowledge_age_s", self._compute_knowledge_age_s)

    def _compute_knowledge_age_s(self) -> float:
        """Return the seconds since the key-value service last answered.

        Before the first answer it is a value that counts as outdated.
        """
        last_success_at = self.coordinator.live.last_success_at
        if last_success_at is None:
            return 2.0 * MAX_KNOWLEDGE_AGE_S
        return trio.current_time() - last_success_at


def _make_link(instance: Instance) -> NetworkSidecarLink:
    """Create the link to an instance's sidecar."""
    return NetworkSidecarLink(
        parse_address(instance.data), parse_address(instance.control)
    )
