"""The link to one sidecar and the task that sends its heartbeats."""

from collections.abc import Callable
from random import Random

from result import Err
import trio

from ..bundle.coordinator import BundleKeeper
from . import const
from ..helpers.backoff import Backoff
from ..link.messages import BundlePush
from ..link.messages import Heartbeat
from ..link.messages import Status
from ..link.messages import WeightOrder
from ..live_state.coordinator import LiveCoordinator
from ..ports.instances import Instance
from ..ports.link import SidecarLink
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .attempts import Attempt
from .attempts import check_stalled
from .attempts import find_idle_attempts
from .incarnations import IncarnationRegistry
from .models import InstanceView
from .weight_orders import make_weight_orders

LinkFactory = Callable[[Instance], SidecarLink]


class SidecarPeer:
    """One linked sidecar: heartbeats, status, bundles and weight orders."""

    def __init__(
        self,
        instance: Instance,
        link: SidecarLink,
        entry: str,
        keeper: BundleKeeper,
        live: LiveCoordinator,
        incarnations: IncarnationRegistry,
        read_wall_s: Callable[[], float],
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Start without a status."""
        self._incarnations = incarnations
        self._read_wall_s = read_wall_s
        self.view = InstanceView(instance)
        self.link = link
        self.attempts: dict[str, Attempt] = {}
        self.members: list[Instance] = [instance]
        self.scope = trio.CancelScope()
        self.on_status: Callable[[InstanceView, float], None] | None = None
        self.heartbeat_interval_s = const.HEARTBEAT_INTERVAL_S
        self._entry = entry
        self._keeper = keeper
        self._live = live
        self._metrics = metrics
        self._rng = rng
        self._backoff = Backoff(const.RETRY_INITIAL_S, const.RETRY_MAX_S)
        self._heartbeat_requested = trio.Event()

    def request_heartbeat(self) -> None:
        """Have the next heartbeat sent at once."""
        self._heartbeat_requested.set()

    async def run(self) -> None:
        """Send heartbeats until `scope` is cancelled, then close the link."""
        with self.scope:
            while True:
                self._heartbeat_requested = trio.Event()
                await self.send_heartbeat()
                with trio.move_on_after(self._choose_delay_s()):
                    await self._heartbeat_requested.wait()
        self.link.close()

    async def send_heartbeat(self) -> None:
        """Send one heartbeat and act on its reply."""
        now = trio.current_time()
        idle = find_idle_attempts(self.attempts.values(), now)
        heartbeat = Heartbeat(
            entry=self._entry,
            bundle_version=self._keeper.version,
            orders=self._make_weight_orders(),
            queried_request_ids=[attempt.request_id for attempt in idle],
        )
        reply = await self.link.send_control(heartbeat)
        self._metrics.count("heartbeats")
        now = trio.current_time()
        if isinstance(reply, Err):
            self._record_missed_heartbeat(reply.err_value)
            return
        status = reply.ok_value
        self._apply_status(status, now)
        self._cancel_stalled_attempts(status)
        await self._update_first_incarnation(status)
        await self._sync_bundles(status)

    def _apply_status(self, status: Status, now: float) -> None:
        """Update the view from a status; detect a restart and a recovery."""
        view = self.view
        if view.status is not None:
            if view.status.incarnation != status.incarnation:
                view.restarted = True
                view.is_first_incarnation = False
                self._cancel_attempts("the sidecar restarted")
        if view.missed_heartbeats or (view.status and not view.status.ready):
            view.returned_at = now
            log_event("link_recovered", instance=view.name)
        view.status = status
        view.status_at = now
        view.missed_heartbeats = 0
        view.draining = status.draining
        view.versions = {
            held.model: held.version
            for held in status.held_versions
            if held.certain
        }
        for held in (*status.held_versions, *status.ordered_versions):
            self._live.record_version(held.model, held.version)
        if self.on_status is not None:
            self.on_status(view, now)

    async def _update_first_incarnation(self, status: Status) -> None:
        """Find out whether a new instance's sidecar has restarted."""
        view = self.view
        wall_s = self._read_wall_s()
        if (
            view.is_first_incarnation is None
            and view.is_sidecar_as_old_as_instance(wall_s)
        ):
            view.is_first_incarnation = (
                await self._incarnations.is_first_incarnation(
                    view.instance, status.incarnation
                )
            )

    def _record_missed_heartbeat(self, reason: str) -> None:
        """Count a missed heartbeat; cancel the attempts of a silent link."""
        view = self.view
        view.missed_heartbeats += 1
        self._metrics.count("heartbeats_missed")
        if view.missed_heartbeats == const.SILENT_AFTER_MISSED_HEARTBEATS:
            log_event("link_silent", instance=view.name, reason=reason)
            self._cancel_attempts("the link is silent")

    def _cancel_stalled_attempts(self, status: Status) -> None:
        """Cancel the attempts whose connection is dead."""
        for progress in status.progress:
            attempt = self.attempts.get(progress.request_id)
            if attempt is not None and check_stalled(attempt, progress):
                self._metrics.count("attempts_silent")
                attempt.stalled = True
                attempt.scope.cancel()

    def _cancel_attempts(self, reason: str) -> None:
        """Cancel all attempts on this link; their callers settle them."""
        for attempt in self.attempts.values():
            attempt.stalled = True
            attempt.scope.cancel()
        if self.attempts:
            log_event(
                "attempts_cancelled", instance=self.view.name, reason=reason
            )

    async def _sync_bundles(self, status: Status) -> None:
        """Push a newer bundle to the sidecar, or pull one from it."""
        if status.bundle_version < self._keeper.version:
            envelopes = self._keeper.collect_envelopes_after(status.epoch)
            reply = await self.link.send_control(BundlePush(envelopes))
            if reply.is_ok():
                self._apply_status(reply.unwrap(), trio.current_time())
        elif status.bundle_version > self._keeper.version:
            pulled = await self.link.pull_bundle(self._keeper.epoch)
            if isinstance(pulled, Err):
                return
            for envelope in pulled.ok_value.envelopes:
                self._live.offer_envelope(envelope, trio.current_time())

    def _make_weight_orders(self) -> list[WeightOrder]:
        """Return the weight orders that the sidecar has not carried out."""
        bundle = self._keeper.get_bundle()
        if bundle is None:
            return []
        status = self.view.status
        models = status.held_versions if status is not None else []
        return make_weight_orders(
            bundle,
            self._live.weights,
            self.view.instance,
            self.members,
            self.view.versions,
            frozenset(held.model for held in models),
        )

    def _choose_delay_s(self) -> float:
        """Return the seconds until the next heartbeat; backs off on misses."""
        if self.view.missed_heartbeats:
            return self._backoff.draw_delay_s(
                self.view.missed_heartbeats - 1, self._rng
            )
        jitter = 1.0 + const.HEARTBEAT_JITTER_SHARE * (
            self._rng.random() - 0.5
        )
        return self.heartbeat_interval_s * jitter
