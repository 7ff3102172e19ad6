"""Local mirror of the keys below a prefix, kept up to date by a watch."""

from collections.abc import Callable
from contextlib import aclosing
from random import Random

from result import Err
import trio

from . import const
from ..helpers.backoff import Backoff
from ..ports.kv import KeyValue
from ..ports.kv import KvError
from ..ports.kv import KvEvent
from ..ports.kv import KvFault
from ..ports.kv import WATCH_POLL_TIMEOUT_S
from ..telemetry.containment import contain_errors
from ..telemetry.logs import log_event
from .history import HistoryPage
from .history import HistoryPosition
from .history import PrefixHistory

# A key and its value; returns the value without secrets.
Conceal = Callable[[str, bytes], bytes]


class PrefixMirror:
    """Follow the keys below a prefix and report each change once, in order.

    Changes come from the key-value service while `run` runs, or from another
    gateway's history by `apply_page`. The keys' revisions are stored, and
    their values only in `history`, which exists while `run` runs and is
    wanted by `keep_history`. Up to `complete_revision` all changes are known.
    `synced` is set after the first complete listing; `listed_at` is the time
    of the last one. `last_success_at` is None before the first response,
    `last_failure_at`, when the last call that failed was sent, before the
    first failure; `regained_at` is when calls last succeeded again. All are
    in monotonic seconds. All changes before `proven_at` are known for
    certain, by the clock `read_boot_s`; without that clock it isn't kept.
    """

    def __init__(
        self,
        kv: KeyValue,
        prefix: str,
        on_event: Callable[[KvEvent], None],
        rng: Random,
        batch_delay_s: float = 0.0,
        wait_s: float = WATCH_POLL_TIMEOUT_S,
        keep_history: bool = False,
        conceal: Conceal | None = None,
        read_boot_s: Callable[[], float] | None = None,
    ) -> None:
        """Call `on_event` for each change.

        After events, the watch pauses for `batch_delay_s`, so that changes
        close together come in one response. `wait_s` is how long one call of
        the watch waits for changes. `conceal` returns a key's value as it is
        reported and passed on, without secrets.
        """
        self._kv = kv
        self.prefix = prefix
        self._on_event = on_event
        self._rng = rng
        self._batch_delay_s = batch_delay_s
        self._wait_s = wait_s
        self._keep_history = keep_history
        self._conceal = conceal
        self.read_boot_s = read_boot_s
        self.proven_at = float("-inf")
        self._backoff = Backoff(const.RETRY_INITIAL_S, const.RETRY_MAX_S)
        self.revisions: dict[str, int] = {}
        self.complete_revision = 0
        self.history: PrefixHistory | None = None
        self._newest_revision = 0
        self._listed_revision = 0
        self._watch_scope = trio.CancelScope()
        self.listed_at = float("-inf")
        self._source_position = HistoryPosition()
        self.synced = trio.Event()
        self.last_success_at: float | None = None
        self.last_failure_at: float | None = None
        self.regained_at = float("-inf")
        self.failures = 0
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener, called after changes and after listings."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """List and watch the keys, with backoff after failures."""
        try:
            while True:
                with trio.CancelScope() as self._watch_scope:
                    await self.list_and_watch()
                    await trio.sleep(
                        self._backoff.draw_delay_s(self.failures, self._rng)
                    )
        finally:
            self.history = None

    def restart(self) -> None:
        """List the keys again at once; the current watch may be silent."""
        self._watch_scope.cancel()

    def is_unavailable(self, now: float) -> bool:
        """Return whether the service is without a recent response."""
        return (
            self.last_success_at is None
            or now - self.last_success_at > const.UNAVAILABLE_AFTER_S
        )

    def compute_outage_s(self, now: float) -> float:
        """Return for how long the service has not responded, 0 if it does."""
        if not self.failures:
            return 0.0
        since = self.last_success_at
        return now - since if since is not None else 0.0

    async def list_and_watch(self) -> None:
        """List all keys, then apply changes until the watch ends."""
        if not await self.list_once():
            return
        async with aclosing(
            self._kv.watch(
                self.prefix, self._listed_revision + 1, self._wait_s
            )
        ) as watch:
            sent_at = trio.current_time()
            sent_boot_s = self._read_boot_s()
            async for events in watch:
                if isinstance(events, Err):
                    self._end_watch(events.err_value, sent_at)
                    return
                self.record_contact(trio.current_time())
                changes = [self._conceal_event(e) for e in events.ok_value]
                self._apply_changes(changes)
                if not changes and self._read_boot_s() >= (
                    sent_boot_s + self._wait_s
                ):
                    # The service waited for changes all the time.
                    sent_boot_s += self._wait_s
                self.record_proof(sent_boot_s)
                if changes:
                    self._notify_listeners()
                    await trio.sleep(self._batch_delay_s)
                sent_at = trio.current_time()
                sent_boot_s = self._read_boot_s()

    def _end_watch(self, error: KvError, sent_at: float) -> None:
        """Record why a watch ended; a dropped history is no failure."""
        if error.fault is KvFault.COMPACTED:
            log_event("watch_history_dropped", prefix=self.prefix)
            self.record_contact(trio.current_time())
        else:
            self.record_failure(error.detail, sent_at)

    async def list_once(self) -> bool:
        """List all keys and apply what changed; return whether that worked."""
        sent_at = trio.current_time()
        sent_boot_s = self._read_boot_s()
        listing = await self._kv.list_items(self.prefix)
        if isinstance(listing, Err):
            self.record_failure(listing.err_value.detail, sent_at)
            return False
        self.record_contact(trio.current_time())
        listed, self._listed_revision = listing.ok_value
        items = [
            self._conceal_event(KvEvent(i.key, i.value, i.revision))
            for i in listed
        ]
        self._apply_listing(items, self._listed_revision)
        self.record_proof(sent_boot_s)
        self.listed_at = trio.current_time()
        self._source_position = HistoryPosition()
        if self.history is not None:
            self.history.record_listing(items, self._listed_revision)
        elif self._keep_history:
            name = f"{self._rng.getrandbits(64):016x}"
            self.history = PrefixHistory(name, items, self._listed_revision)
        self._notify_listeners()
        return True

    def get_position(self) -> HistoryPosition:
        """Return how far the changes of a source's history are applied."""
        return HistoryPosition(
            self._source_position.history,
            self._source_position.number,
            self.complete_revision,
            self._newest_revision,
        )

    def has_changes(self, position: HistoryPosition) -> bool:
        """Return whether there is more to tell a follower at a position."""
        return self.history is not None and self.history.has_changes(
            position, self.complete_revision
        )

    def read_history(self, position: HistoryPosition) -> HistoryPage | None:
        """Return what a follower lacks; None while there is no history."""
        if self.history is None:
            return None
        return self.history.read(position, self.complete_revision)

    def apply_page(self, page: HistoryPage) -> None:
        """Apply what another gateway's history has after `get_position`."""
        revision = page.position.revision
        is_same_history = (
            page.position.history == self._source_position.history
        )
        if is_same_history or self._newest_revision <= revision:
            self._source_position = page.position
        else:
            # This mirror may have items that the history never had.
            self._source_position = HistoryPosition()
        if page.is_snapshot:
            self._apply_listing(page.events, revision)
        else:
            self._apply_changes(page.events)
            self.complete_revision = max(self.complete_revision, revision)
        self.synced.set()
        self._notify_listeners()

    def record_contact(self, at: float) -> None:
        """Record that the service responded at a time."""
        if self.failures:
            log_event("store_regained", prefix=self.prefix)
            self.regained_at = trio.current_time()
        self.failures = 0
        self.last_success_at = max(at, self.last_success_at or at)

    def record_proof(self, boot_s: float) -> None:
        """Record that all changes before a time since boot are known."""
        if self.read_boot_s is not None:
            self.proven_at = max(self.proven_at, boot_s)

    def compute_proven_age_s(self) -> float:
        """Return how long ago all changes were certainly known, 0 if unkept.

        Infinite before the first proof.
        """
        if self.read_boot_s is None:
            return 0.0
        return self.read_boot_s() - self.proven_at

    def _read_boot_s(self) -> float:
        """Return the time since boot, 0 without that clock."""
        return self.read_boot_s() if self.read_boot_s is not None else 0.0

    def _conceal_event(self, event: KvEvent) -> KvEvent:
        """Return a change without secrets."""
        if self._conceal is None or event.value is None:
            return event
        value = self._conceal(event.key, event.value)
        return KvEvent(event.key, value, event.revision)

    def record_failure(self, detail: str, sent_at: float) -> None:
        """Record a call that failed, and when it was sent."""
        if not self.failures:
            log_event("store_lost", prefix=self.prefix, error=detail)
        self.failures += 1
        self.last_failure_at = sent_at

    def _apply_listing(self, items: list[KvEvent], revision: int) -> None:
        """Apply all items; the keys that are missing were deleted."""
        listed_keys = {item.key for item in items}
        for key in [key for key in self.revisions if key not in listed_keys]:
            self._apply(KvEvent(key, None, revision))
        for item in items:
            self._apply(item)
        self.complete_revision = max(self.complete_revision, revision)
        self.synced.set()

    def _apply_changes(self, events: list[KvEvent]) -> None:
        """Apply changes in their order."""
        for event in events:
            self._apply(event)
        if events:
            newest_revision = max(event.revision for event in events)
            self.complete_revision = max(
                self.complete_revision, newest_revision
            )

    def _apply(self, event: KvEvent) -> None:
        """Report a change unless it is known or older than the known one."""
        known_revision = self.revisions.get(event.key, 0)
        if event.value is None:
            if not known_revision or event.revision < known_revision:
                return
            del self.revisions[event.key]
        else:
            # A key that is unknown at a complete revision was deleted by then.
            known_revision = known_revision or self.complete_revision
            if event.revision <= known_revision:
                return
            self.revisions[event.key] = event.revision
        self._newest_revision = max(self._newest_revision, event.revision)
        if self.history is not None:
            self.history.record(event)
        with contain_errors("entry", key=event.key):
            self._on_event(event)

    def _notify_listeners(self) -> None:
        """Call all listeners."""
        for listener in self._listeners:
            listener()
