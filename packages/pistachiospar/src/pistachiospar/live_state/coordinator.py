"""The live state: one watch that serves all parts of an entry."""

from collections.abc import Callable
from contextlib import aclosing
from random import Random
from typing import TypeVar

import msgspec
from result import Err
import trio

from ..bundle.const import KEY_POINTER
from ..bundle.const import PREFIX_EPOCHS
from ..bundle.const import PREFIX_LIVE
from ..bundle.coordinator import BundleKeeper
from ..bundle.models import Envelope
from ..bundle.results import OfferResult
from . import const
from ..helpers.backoff import Backoff
from ..ports.kv import KeyValue
from ..ports.kv import KvEvent
from ..ports.kv import KvItem
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .models import AnnouncedWeights
from .models import EntryRecord

Message = TypeVar("Message")


class LiveCoordinator:
    """Follow the live keys and notify listeners of changes.

    `last_success_at` is when a listing or the watch last delivered something,
    in monotonic seconds; None before the first.
    """

    def __init__(
        self,
        kv: KeyValue,
        keeper: BundleKeeper,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Start with no bundle, entries or weights."""
        self._kv = kv
        self._keeper = keeper
        self._metrics = metrics
        self._rng = rng
        self._backoff = Backoff(const.RETRY_INITIAL_S, const.RETRY_MAX_S)
        self._listeners: list[Callable[[], None]] = []
        self.entries: dict[str, EntryRecord] = {}
        self.weights: dict[str, AnnouncedWeights] = {}
        self.last_success_at: float | None = None
        self._reported_versions: dict[str, int] = {}
        self._seen_revision = 0
        self._watch_scope = trio.CancelScope()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Have a listener called after each change."""
        self._listeners.append(listener)

    async def run_watch(self) -> None:
        """List and watch the live keys until cancelled, with backoff."""
        failures = 0
        while True:
            previous_success_at = self.last_success_at
            self._watch_scope = trio.CancelScope()
            with self._watch_scope:
                await self._list_and_watch()
            if self._watch_scope.cancelled_caught:
                continue
            failures = (
                failures + 1
                if self.last_success_at == previous_success_at
                else 0
            )
            self._metrics.count("watch_ended")
            await trio.sleep(self._backoff.draw_delay_s(failures, self._rng))

    async def run_watch_check(self) -> None:
        """Restart the watch when it has missed changes, until cancelled.

        A watch can stop delivering while new calls succeed. One small call
        reads the newest revision; if the watch is still behind it after a
        random grace, it is restarted.
        """
        while True:
            jitter = 1.0 + const.JITTER_SHARE * (self._rng.random() - 0.5)
            await trio.sleep(const.WATCH_CHECK_INTERVAL_S * jitter)
            newest = (
                await self._kv.find_newest_revision(PREFIX_LIVE)
            ).unwrap_or(0)
            if newest <= self._seen_revision:
                continue
            await trio.sleep(
                const.MAX_WATCH_CHECK_GRACE_S * self._rng.random()
            )
            if newest > self._seen_revision:
                self._metrics.count("watch_behind")
                self._watch_scope.cancel()

    def offer_envelope(self, envelope: Envelope, now: float) -> OfferResult:
        """Offer a bundle from any source; notify if it comes into force."""
        offer = self._keeper.offer_envelope(envelope, now)
        if offer is OfferResult.ACCEPTED:
            log_event("bundle_in_force", version=self._keeper.version)
            self._notify_listeners()
        elif offer is OfferResult.UNTRUSTED:
            self._metrics.count("bundles_untrusted")
            log_event(
                "bundle_untrusted",
                version=envelope.release.version,
                findings=str(self._keeper.last_findings),
            )
        return offer

    def record_version(self, trainer: str, version: int) -> None:
        """Record a version that a sidecar holds or was ordered to load."""
        if version > self.find_newest_version(trainer):
            self._reported_versions[trainer] = version
            self._notify_listeners()

    def find_newest_version(self, trainer: str) -> int:
        """Return the newest known version of a trainer, 0 for none."""
        announced = self.weights.get(trainer)
        reported = self._reported_versions.get(trainer, 0)
        return max(reported, announced.version if announced else 0)

    def apply_weights(self, weights: AnnouncedWeights) -> None:
        """Apply an announcement if its version is newer; notify then."""
        known = self.weights.get(weights.trainer)
        if known is None or weights.version > known.version:
            self.weights[weights.trainer] = weights
            self._notify_listeners()

    async def _list_and_watch(self) -> None:
        """List all live keys, then watch them until a call fails."""
        listed = await self._kv.list_items(PREFIX_LIVE)
        if isinstance(listed, Err):
            return
        items, revision = listed.ok_value
        self.last_success_at = trio.current_time()
        self._seen_revision = revision
        await self._apply_items(items)
        watch = self._kv.watch(PREFIX_LIVE, revision + 1)
        async with aclosing(watch):
            async for events in watch:
                if isinstance(events, Err):
                    return
                self.last_success_at = trio.current_time()
                for event in events.ok_value:
                    self._seen_revision = event.revision
                    await self._apply_event(event)
                if events.ok_value:
                    self._notify_listeners()

    async def _apply_items(self, items: list[KvItem]) -> None:
        """Apply a complete listing; entries that it lacks are dropped."""
        names = {item.key.removeprefix(const.PREFIX_ENTRIES) for item in items}
        for name in list(self.entries):
            if name not in names:
                del self.entries[name]
        for item in items:
            event = KvEvent(item.key, item.value, item.revision)
            await self._apply_event(event)
        self._notify_listeners()

    async def _apply_event(self, event: KvEvent) -> None:
        """Apply one change, by the kind of its key."""
        if event.key == KEY_POINTER:
            await self._apply_pointer(event)
        elif event.key.startswith(const.PREFIX_ENTRIES):
            self._apply_entry(event)
        elif event.key.startswith(const.PREFIX_WEIGHTS):
            self._apply_announcement(event)

    async def _apply_pointer(self, event: KvEvent) -> None:
        """Offer the pointer's bundle; fetch missed epochs if it needs them."""
        envelope = self._decode_value(event, Envelope)
        if envelope is None:
            return
        offer = self.offer_envelope(envelope, trio.current_time())
        if offer is OfferResult.EPOCH_MISSING:
            await self._fetch_epochs()
            self.offer_envelope(envelope, trio.current_time())

    async def _fetch_epochs(self) -> None:
        """Offer the first release of each epoch, oldest first."""
        listed = await self._kv.list_items(PREFIX_EPOCHS)
        if isinstance(listed, Err):
            return
        for item in listed.ok_value[0]:
            event = KvEvent(item.key, item.value, item.revision)
            envelope = self._decode_value(event, Envelope)
            if envelope is not None:
                self.offer_envelope(envelope, trio.current_time())

    def _apply_entry(self, event: KvEvent) -> None:
        """Add or remove an entry."""
        name = event.key.removeprefix(const.PREFIX_ENTRIES)
        record = self._decode_value(event, EntryRecord)
        if record is None:
            self.entries.pop(name, None)
        else:
            self.entries[name] = record

    def _apply_announcement(self, event: KvEvent) -> None:
        """Apply newer announced weights, with the revision as the fence."""
        weights = self._decode_value(event, AnnouncedWeights)
        if weights is None:
            return
        fenced = msgspec.structs.replace(weights, fence=event.revision)
        known = self.weights.get(weights.trainer)
        if known is None or fenced.version > known.version:
            self.weights[weights.trainer] = fenced

    def _decode_value(
        self, event: KvEvent, kind: type[Message]
    ) -> Message | None:
        """Decode a value; None when it was deleted or is unreadable."""
        if event.value is None:
            return None
        try:
            return msgspec.json.decode(event.value, type=kind)
        except msgspec.MsgspecError as error:
            self._metrics.count("values_unreadable")
            log_event("value_unreadable", key=event.key, error=str(error))
            return None

    def _notify_listeners(self) -> None:
        """Call all listeners."""
        for listener in self._listeners:
            listener()
