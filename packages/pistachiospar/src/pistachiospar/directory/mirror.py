"""Support a local copy of the keys below a prefix, kept by a watch."""

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
    """Keep the keys below a prefix; tells each change once, in order."""

    def __init__(
        self,
        kv: KeyValue,
        prefix: str,
        tell: Callable[[KvEvent], None],
        rng: Random,
        gather_s: float = 0.0,
        wait_s: float = WATCH_POLL_TIMEOUT_S,
    ) -> None:
        """Begin with nothing known; `gather_s` joins close changes."""
        self._kv = kv
        self.prefix = prefix
        self._tell = tell
        self._rng = rng
        self._gather_s = gather_s
        self._wait_s = wait_s
        self._backoff = Backoff(const.RETRY_FIRST_S, const.RETRY_MOST_S)
        self.revisions: dict[str, int] = {}
        self.synced = trio.Event()
        self.heard_at: float | None = None
        self.troubled_at: float | None = None
        self._failures = 0

    async def run(self) -> None:
        """Read the keys and watch them; one task."""
        while True:
            await self._read_and_watch()
            await trio.sleep(
                self._backoff.draw_delay_s(self._failures, self._rng)
            )

    def is_away(self, now: float) -> bool:
        """Return whether the service has not answered for long."""
        return self.heard_at is None or now - self.heard_at > const.AWAY_S

    async def _read_and_watch(self) -> None:
        """Read all keys, then follow the changes until the watch ends."""
        answer = await self._kv.list_items(self.prefix)
        if isinstance(answer, Err):
            self._note_trouble(answer.err_value.detail)
            return
        self._note_heard()
        items, revision = answer.ok_value
        listed = {item.key for item in items}
        for key in [key for key in self.revisions if key not in listed]:
            self._apply(KvEvent(key, None, revision))
        for item in items:
            self._apply(KvEvent(item.key, item.value, item.revision))
        self.synced.set()
        async with aclosing(
            self._kv.watch(self.prefix, revision + 1, self._wait_s)
        ) as watch:
            async for events in watch:
                if isinstance(events, Err):
                    self._note_trouble(events.err_value.detail)
                    return
                self._note_heard()
                for event in events.ok_value:
                    self._apply(event)
                if events.ok_value and self._gather_s:
                    await trio.sleep(self._gather_s)

    def _apply(self, event: KvEvent) -> None:
        """Take over one change unless a newer one is known."""
        known = self.revisions.get(event.key, 0)
        if event.revision <= known and event.value is not None:
            return
        if event.revision < known:
            return
        if event.value is None:
            if self.revisions.pop(event.key, None) is None:
                return
        else:
            self.revisions[event.key] = event.revision
        self._tell(event)

    def _note_heard(self) -> None:
        """Note that the service answered."""
        if self._failures:
            log_event("store_regained", prefix=self.prefix)
        self._failures = 0
        self.heard_at = trio.current_time()

    def _note_trouble(self, detail: str) -> None:
        """Note that a call failed."""
        if not self._failures:
            log_event("store_lost", prefix=self.prefix, error=detail)
        self._failures += 1
        self.troubled_at = trio.current_time()
