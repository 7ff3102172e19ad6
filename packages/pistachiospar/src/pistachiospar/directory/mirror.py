"""Local mirror of the keys below a prefix, kept up to date by a watch."""

from collections.abc import Callable
from contextlib import aclosing
from random import Random

from result import Err
import trio

from . import const
from ..helpers.backoff import Backoff
from ..ports.kv import KeyValue
from ..ports.kv import KvEvent
from ..ports.kv import WATCH_POLL_TIMEOUT_S
from ..telemetry.logs import log_event


class PrefixMirror:
    """Follow the keys below a prefix and report each change once, in order.

    The keys' revisions are stored, not their values. `synced` is set after
    the first complete listing. `last_success_at` and `last_failure_at` are
    in monotonic seconds, None before the first.
    """

    def __init__(
        self,
        kv: KeyValue,
        prefix: str,
        on_event: Callable[[KvEvent], None],
        rng: Random,
        batch_delay_s: float = 0.0,
        wait_s: float = WATCH_POLL_TIMEOUT_S,
    ) -> None:
        """Call `on_event` for each change.

        After events, the watch pauses for `batch_delay_s`, so that changes
        close together come in one response. `wait_s` is how long one call of
        the watch waits for changes.
        """
        self._kv = kv
        self.prefix = prefix
        self._on_event = on_event
        self._rng = rng
        self._batch_delay_s = batch_delay_s
        self._wait_s = wait_s
        self._backoff = Backoff(const.RETRY_INITIAL_S, const.RETRY_MAX_S)
        self.revisions: dict[str, int] = {}
        self.synced = trio.Event()
        self.last_success_at: float | None = None
        self.last_failure_at: float | None = None
        self._failures = 0

    async def run(self) -> None:
        """List and watch the keys, with backoff after failures."""
        while True:
            await self._read_and_watch()
            await trio.sleep(
                self._backoff.draw_delay_s(self._failures, self._rng)
            )

    def is_unavailable(self, now: float) -> bool:
        """Return whether the service is without a recent response."""
        return (
            self.last_success_at is None
            or now - self.last_success_at > const.UNAVAILABLE_AFTER_S
        )

    async def _read_and_watch(self) -> None:
        """List all keys, then apply changes until the watch ends."""
        listing = await self._kv.list_items(self.prefix)
        if isinstance(listing, Err):
            self._record_failure(listing.err_value.detail)
            return
        self._record_success()
        items, revision = listing.ok_value
        listed_keys = {item.key for item in items}
        for key in [key for key in self.revisions if key not in listed_keys]:
            self._apply(KvEvent(key, None, revision))
        for item in items:
            self._apply(KvEvent(item.key, item.value, item.revision))
        self.synced.set()
        async with aclosing(
            self._kv.watch(self.prefix, revision + 1, self._wait_s)
        ) as watch:
            async for events in watch:
                if isinstance(events, Err):
                    self._record_failure(events.err_value.detail)
                    return
                self._record_success()
                for event in events.ok_value:
                    self._apply(event)
                if events.ok_value and self._batch_delay_s:
                    await trio.sleep(self._batch_delay_s)

    def _apply(self, event: KvEvent) -> None:
        """Report a change unless it is known or older than the known one."""
        known_revision = self.revisions.get(event.key, 0)
        if event.revision <= known_revision and event.value is not None:
            return
        if event.revision < known_revision:
            return
        if event.value is None:
            if self.revisions.pop(event.key, None) is None:
                return
        else:
            self.revisions[event.key] = event.revision
        self._on_event(event)

    def _record_success(self) -> None:
        """Record a response of the service."""
        if self._failures:
            log_event("store_regained", prefix=self.prefix)
        self._failures = 0
        self.last_success_at = trio.current_time()

    def _record_failure(self, detail: str) -> None:
        """Record a failed call."""
        if not self._failures:
            log_event("store_lost", prefix=self.prefix, error=detail)
        self._failures += 1
        self.last_failure_at = trio.current_time()
