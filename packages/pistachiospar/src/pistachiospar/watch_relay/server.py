"""The source's side of the watch relay."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

import trio

from . import const
from ..directory.history import HistoryPage
from ..directory.mirror import PrefixMirror
from ..telemetry.metrics import Metrics
from .contact import StoreContact
from .messages import FollowCall
from .messages import FollowReply


class WatchServer:
    """Pass the changes of this gateway's watches on to its followers."""

    def __init__(
        self,
        mirrors: Sequence[PrefixMirror],
        contact: StoreContact,
        call_store: Callable[[], Awaitable[bool]],
        read_boot_s: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        """Initialize; `call_store` returns whether the store responded."""
        self._mirrors = mirrors
        self._contact = contact
        self._call_store = call_store
        self._read_boot_s = read_boot_s
        self._metrics = metrics
        self._is_watching: bool | None = None
        self._asked_at = float("-inf")
        self._listing_since = float("-inf")
        self._asked = trio.Event()
        self._changed = trio.Event()
        for mirror in mirrors:
            mirror.subscribe(self._notify_changed)

    def set_watching(self, is_watching: bool) -> None:
        """Set whether this gateway watches the store itself."""
        self._is_watching = is_watching
        self._notify_changed()

    async def run(self) -> None:
        """Prove the contact to the store while there are followers."""
        async with trio.open_nursery() as nursery:
            while True:
                idle_s = trio.current_time() - self._asked_at
                if not self._is_watching or idle_s > const.FOLLOWER_TIMEOUT_S:
                    await self._asked.wait()
                calls = len(nursery.child_tasks)
                if self._is_watching and calls < const.MAX_CONTACT_CALLS:
                    nursery.start_soon(self._prove_contact)
                await trio.sleep(const.CONTACT_INTERVAL_S)

    async def _prove_contact(self) -> None:
        """Call the store; after a time without contact also list anew.

        A watch from before that time may have been cut off silently.
        """
        sent_at = self._read_boot_s()
        if not await self._call_store():
            return
        if not self._contact.is_recent():
            await self._list_anew()
        if self._is_listed():
            self._contact.record(sent_at)
            self._notify_changed()

    async def _list_anew(self) -> None:
        """Restart all watches, unless that is going on, and wait for them."""
        if self._is_listed():
            self._listing_since = trio.current_time()
            for mirror in self._mirrors:
                mirror.restart()
        with trio.move_on_after(const.LISTING_TIMEOUT_S):
            while not self._is_listed():
                await self._changed.wait()

    def _is_listed(self) -> bool:
        """Return whether all was listed since the last gap of contact."""
        since = self._listing_since
        return all(mirror.listed_at >= since for mirror in self._mirrors)

    async def serve(self, call: FollowCall) -> FollowReply | None:
        """Reply to a follower; None when this gateway is no source."""
        self._metrics.count("watch_calls_served")
        self._asked_at = trio.current_time()
        self._asked.set()
        self._asked = trio.Event()
        with trio.move_on_after(const.FIRST_REPLY_WAIT_S):
            while not self._is_ready() and self._is_watching is not False:
                await self._changed.wait()
        age_s = self._contact.compute_age_s()
        wait_s = min(call.wait_s, const.MAX_CONTACT_AGE_S - age_s)
        with trio.move_on_after(max(0.0, wait_s)):
            while self._is_watching and not self._has_changes(call):
                await self._changed.wait()
        return self._make_reply(call)

    def _is_ready(self) -> bool:
        """Return whether all changes are known up to a recent time."""
        listed = all(mirror.history is not None for mirror in self._mirrors)
        return listed and self._contact.is_recent()

    def _has_changes(self, call: FollowCall) -> bool:
        """Return whether a follower lacks changes of any prefix."""
        return any(
            mirror.has_changes(call.positions[mirror.prefix])
            for mirror in self._mirrors
            if mirror.prefix in call.positions
        )

    def _make_reply(self, call: FollowCall) -> FollowReply | None:
        """Return the changes that a follower lacks; None without histories."""
        pages: dict[str, HistoryPage] = {}
        now = trio.current_time()
        age_s = self._contact.compute_age_s()
        for mirror in self._mirrors:
            position = call.positions.get(mirror.prefix)
            if position is None:
                continue
            page = mirror.read_history(position)
            if page is None:
                return None
            pages[mirror.prefix] = page
            if mirror.failures:
                last_at = mirror.last_success_at
                since_s = float("inf") if last_at is None else now - last_at
                age_s = max(age_s, since_s)
        proven_ages_s = {
            mirror.prefix: mirror.compute_proven_age_s()
            for mirror in self._mirrors
            if mirror.read_boot_s is not None
        }
        return FollowReply(pages, age_s, proven_ages_s)

    def _notify_changed(self) -> None:
        """Wake the calls that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()
