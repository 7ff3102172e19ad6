"""Support the link to one sidecar: one task that keeps it known."""

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
from ..live.coordinator import LiveCoordinator
from ..ports.instances import Instance
from ..ports.link import SidecarLink
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .attempts import Attempt
from .attempts import decide_silent
from .attempts import find_quiet
from .lives import LifeRegistry
from .models import InstanceView
from .orders import make_weight_orders

LinkFactory = Callable[[Instance], SidecarLink]


class SidecarPeer:
    """Keep one sidecar known: heartbeats, bundles, weight orders."""

    def __init__(
        self,
        instance: Instance,
        link: SidecarLink,
        entry: str,
        keeper: BundleKeeper,
        live: LiveCoordinator,
        lives: LifeRegistry,
        read_wall_s: Callable[[], float],
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Begin unheard."""
        self._lives = lives
        self._read_wall_s = read_wall_s
        self.view = InstanceView(instance)
        self.link = link
        self.attempts: dict[str, Attempt] = {}
        self.members: list[Instance] = [instance]
        self.scope = trio.CancelScope()
        self.on_status: Callable[[InstanceView, float], None] | None = None
        self.interval_s = const.BEAT_S
        self._entry = entry
        self._keeper = keeper
        self._live = live
        self._metrics = metrics
        self._rng = rng
        self._backoff = Backoff(const.RETRY_FIRST_S, const.RETRY_MOST_S)
        self._nudged = trio.Event()

    def nudge(self) -> None:
        """Send the next heartbeat at once."""
        self._nudged.set()

    async def run(self) -> None:
        """Send heartbeats until cancelled; one task."""
        with self.scope:
            while True:
                self._nudged = trio.Event()
                await self.beat_once()
                with trio.move_on_after(self._choose_pause()):
                    await self._nudged.wait()
        self.link.close()

    async def beat_once(self) -> None:
        """Send one heartbeat and act on its answer."""
        now = trio.current_time()
        quiet = find_quiet(self.attempts.values(), now)
        beat = Heartbeat(
            entry=self._entry,
            bundle_version=self._keeper.version,
            orders=self._make_orders(),
            queried_request_ids=[attempt.request_id for attempt in quiet],
        )
        answer = await self.link.send_control(beat)
        self._metrics.count("heartbeats")
        now = trio.current_time()
        if isinstance(answer, Err):
            self._miss(answer.err_value)
            return
        status = answer.ok_value
        self._hear(status, now)
        self._cut_silent(status)
        await self._learn_life(status)
        await self._even_bundles(status)

    def _hear(self, status: Status, now: float) -> None:
        """Take a status into account."""
        view = self.view
        if view.status is not None:
            if view.status.incarnation != status.incarnation:
                view.restarted = True
                view.first_life = False
                self._lose_attempts("the sidecar restarted")
        if view.missed or (view.status and not view.status.ready):
            view.returned_at = now
            log_event("link_back", instance=view.name)
        view.status = status
        view.status_at = now
        view.missed = 0
        view.draining = status.draining
        view.versions = {
            held.model: held.version
            for held in status.held_versions
            if held.certain
        }
        for held in (*status.held_versions, *status.ordered_versions):
            self._live.hear_version(held.model, held.version)
        if self.on_status is not None:
            self.on_status(view, now)

    async def _learn_life(self, status: Status) -> None:
        """Learn whether this is a young sidecar's first life."""
        view = self.view
        wall_s = self._read_wall_s()
        if view.first_life is None and view.is_young(wall_s):
            view.first_life = await self._lives.is_first(
                view.instance, status.incarnation
            )

    def _miss(self, reason: str) -> None:
        """Take a missed heartbeat into account."""
        view = self.view
        view.missed += 1
        self._metrics.count("heartbeats_missed")
        if view.missed == const.MISSED_BEATS:
            log_event("link_silent", instance=view.name, reason=reason)
            self._lose_attempts("the link is silent")

    def _cut_silent(self, status: Status) -> None:
        """Cut attempts whose connection has gone silent."""
        for progress in status.progress:
            attempt = self.attempts.get(progress.request_id)
            if attempt is not None and decide_silent(attempt, progress):
                self._metrics.count("attempts_silent")
                attempt.silent = True
                attempt.scope.cancel()

    def _lose_attempts(self, reason: str) -> None:
        """Cut all attempts on this link, to be settled anew."""
        for attempt in self.attempts.values():
            attempt.silent = True
            attempt.scope.cancel()
        if self.attempts:
            log_event("attempts_cut", instance=self.view.name, reason=reason)

    async def _even_bundles(self, status: Status) -> None:
        """Hand a newer bundle over, or ask for one."""
        if status.bundle_version < self._keeper.version:
            envelopes = self._keeper.collect_for(status.epoch)
            answer = await self.link.send_control(BundlePush(envelopes))
            if answer.is_ok():
                self._hear(answer.unwrap(), trio.current_time())
        elif status.bundle_version > self._keeper.version:
            pulled = await self.link.pull_bundle(self._keeper.epoch)
            if isinstance(pulled, Err):
                return
            for envelope in pulled.ok_value.envelopes:
                self._live.offer_envelope(envelope, trio.current_time())

    def _make_orders(self) -> list[WeightOrder]:
        """Return the weight orders this sidecar has not carried out."""
        bundle = self._keeper.bundle()
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

    def _choose_pause(self) -> float:
        """Return the seconds until the next heartbeat."""
        if self.view.missed:
            return self._backoff.draw_delay_s(self.view.missed - 1, self._rng)
        spread = 1.0 + const.BEAT_JITTER * (self._rng.random() - 0.5)
        return self.interval_s * spread
