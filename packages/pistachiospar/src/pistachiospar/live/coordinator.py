"""Support the live state: watched once by an entry for all its parts."""

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
from ..bundle.errors import Offer
from ..bundle.models import Envelope
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
    """Watch the live keys and hand what changed to the readers."""

    def __init__(
        self,
        kv: KeyValue,
        keeper: BundleKeeper,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Begin with nothing known."""
        self._kv = kv
        self._keeper = keeper
        self._metrics = metrics
        self._rng = rng
        self._backoff = Backoff(const.RETRY_FIRST_S, const.RETRY_MOST_S)
        self._listeners: list[Callable[[], None]] = []
        self.entries: dict[str, EntryRecord] = {}
        self.weights: dict[str, AnnouncedWeights] = {}
        self.heard_at: float | None = None
        self._heard_versions: dict[str, int] = {}
        self._seen_revision = 0
        self._watch_scope = trio.CancelScope()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change."""
        self._listeners.append(listener)

    async def run_watch(self) -> None:
        """Read and watch the live keys; one task."""
        failures = 0
        while True:
            before = self.heard_at
            self._watch_scope = trio.CancelScope()
            with self._watch_scope:
                await self._read_and_watch()
            if self._watch_scope.cancelled_caught:
                continue
            failures = failures + 1 if self.heard_at == before else 0
            self._metrics.count("watch_ended")
            await trio.sleep(self._backoff.draw_delay_s(failures, self._rng))

    async def run_check(self) -> None:
        """Ask whether the watch has missed anything; one task.

        A watch can go silent while new calls work. One small reading tells
        the newest revision; when the watch is behind, it is made anew.
        """
        while True:
            spread = 1.0 + const.JITTER_SHARE * (self._rng.random() - 0.5)
            await trio.sleep(const.CHECK_S * spread)
            newest = (
                await self._kv.find_newest_revision(PREFIX_LIVE)
            ).unwrap_or(0)
            if newest <= self._seen_revision:
                continue
            await trio.sleep(const.CHECK_AGAIN_S * self._rng.random())
            if newest > self._seen_revision:
                self._metrics.count("watch_behind")
                self._watch_scope.cancel()

    def offer_envelope(self, envelope: Envelope, now: float) -> Offer:
        """Offer a bundle, from whatever source."""
        offer = self._keeper.offer(envelope, now)
        if offer is Offer.TAKEN:
            log_event("bundle_in_force", version=self._keeper.version)
            self._tell_listeners()
        elif offer is Offer.UNTRUSTED:
            self._metrics.count("bundles_untrusted")
            log_event(
                "bundle_untrusted",
                version=envelope.release.version,
                findings=str(self._keeper.last_findings),
            )
        return offer

    def hear_version(self, trainer: str, version: int) -> None:
        """Note a version that a sidecar holds or was ordered to load."""
        if version > self.find_newest_version(trainer):
            self._heard_versions[trainer] = version
            self._tell_listeners()

    def find_newest_version(self, trainer: str) -> int:
        """Return the newest version known of a trainer, 0 for none."""
        announced = self.weights.get(trainer)
        heard = self._heard_versions.get(trainer, 0)
        return max(heard, announced.version if announced else 0)

    def learn_weights(self, weights: AnnouncedWeights) -> None:
        """Take an announcement if it is newer."""
        known = self.weights.get(weights.trainer)
        if known is None or weights.version > known.version:
            self.weights[weights.trainer] = weights
            self._tell_listeners()

    async def _read_and_watch(self) -> None:
        """Read all live keys, then watch them until the watch ends."""
        answer = await self._kv.list_items(PREFIX_LIVE)
        if isinstance(answer, Err):
            return
        items, revision = answer.ok_value
        self.heard_at = trio.current_time()
        self._seen_revision = revision
        await self._take_all(items)
        watch = self._kv.watch(PREFIX_LIVE, revision + 1)
        async with aclosing(watch):
            async for events in watch:
                if isinstance(events, Err):
                    return
                self.heard_at = trio.current_time()
                for event in events.ok_value:
                    self._seen_revision = event.revision
                    await self._take_event(event)
                if events.ok_value:
                    self._tell_listeners()

    async def _take_all(self, items: list[KvItem]) -> None:
        """Take over a whole reading."""
        names = {item.key.removeprefix(const.PREFIX_ENTRIES) for item in items}
        for name in list(self.entries):
            if name not in names:
                del self.entries[name]
        for item in items:
            event = KvEvent(item.key, item.value, item.revision)
            await self._take_event(event)
        self._tell_listeners()

    async def _take_event(self, event: KvEvent) -> None:
        """Take over one change."""
        if event.key == KEY_POINTER:
            await self._take_pointer(event)
        elif event.key.startswith(const.PREFIX_ENTRIES):
            self._take_entry(event)
        elif event.key.startswith(const.PREFIX_WEIGHTS):
            self._take_weights(event)

    async def _take_pointer(self, event: KvEvent) -> None:
        """Offer the bundle that the pointer holds."""
        envelope = self._decode(event, Envelope)
        if envelope is None:
            return
        offer = self.offer_envelope(envelope, trio.current_time())
        if offer is Offer.EPOCH_MISSING:
            await self._fetch_epochs()
            self.offer_envelope(envelope, trio.current_time())

    async def _fetch_epochs(self) -> None:
        """Offer the releases that began the epochs, oldest first."""
        answer = await self._kv.list_items(PREFIX_EPOCHS)
        if isinstance(answer, Err):
            return
        for item in answer.ok_value[0]:
            event = KvEvent(item.key, item.value, item.revision)
            envelope = self._decode(event, Envelope)
            if envelope is not None:
                self.offer_envelope(envelope, trio.current_time())

    def _take_entry(self, event: KvEvent) -> None:
        """Take over an entry that came or went."""
        name = event.key.removeprefix(const.PREFIX_ENTRIES)
        record = self._decode(event, EntryRecord)
        if record is None:
            self.entries.pop(name, None)
        else:
            self.entries[name] = record

    def _take_weights(self, event: KvEvent) -> None:
        """Take over announced weights; the revision is the fence."""
        weights = self._decode(event, AnnouncedWeights)
        if weights is None:
            return
        fenced = msgspec.structs.replace(weights, fence=event.revision)
        known = self.weights.get(weights.trainer)
        if known is None or fenced.version > known.version:
            self.weights[weights.trainer] = fenced

    def _decode(self, event: KvEvent, kind: type[Message]) -> Message | None:
        """Decode a value; one that is deleted or unreadable is None."""
        if event.value is None:
            return None
        try:
            return msgspec.json.decode(event.value, type=kind)
        except msgspec.MsgspecError as error:
            self._metrics.count("values_unreadable")
            log_event("value_unreadable", key=event.key, error=str(error))
            return None

    def _tell_listeners(self) -> None:
        """Tell the readers that something changed."""
        for listener in self._listeners:
            listener()
