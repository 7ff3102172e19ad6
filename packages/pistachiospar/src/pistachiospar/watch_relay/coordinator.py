"""Watches of the key-value service, by this gateway or through another."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from random import Random

import trio

from . import const
from ..directory.mirror import PrefixMirror
from ..helpers.backoff import Backoff
from ..pool_holders.models import HolderRecord
from ..ports.peer_watch import PeerWatch
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .contact import StoreContact
from .messages import FollowCall
from .messages import FollowReply
from .server import WatchServer
from .sources import SourceList


class WatchRelay:
    """Keep mirrors up to date, by few gateways that inform the others.

    The sources watch the key-value service. All other gateways, and sources
    that the service refuses, follow one of them each. They watch the service
    themselves when they find none that had contact to it recently.
    """

    def __init__(
        self,
        own_name: str,
        mirrors: Sequence[PrefixMirror],
        member_mirror: PrefixMirror,
        list_members: Callable[[], Mapping[str, HolderRecord]],
        peer: PeerWatch,
        server: WatchServer,
        contact: StoreContact,
        read_boot_s: Callable[[], float],
        is_first_start: bool,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Initialize; `member_mirror`, one of `mirrors`, has the gateways.

        `is_first_start` says that all gateways start together now.
        """
        self._mirrors = mirrors
        self._member_mirror = member_mirror
        self._list_members = list_members
        self._peer = peer
        self._server = server
        self._contact = contact
        self._read_boot_s = read_boot_s
        self._is_first_start = is_first_start
        self._metrics = metrics
        self._rng = rng
        self._sources = SourceList(own_name, rng)
        self._retry_backoff = Backoff(
            const.STORE_RETRY_INITIAL_S, const.STORE_RETRY_MAX_S
        )
        self._refused_until = float("-inf")
        self.source_name = ""

    async def run(self) -> None:
        """Keep the mirrors up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._server.run)
            if self._is_first_start:
                await trio.sleep(const.FIRST_START_DELAY_S)
            await self._member_mirror.list_once()
            while True:
                await self._follow_sources()
                await self._watch_until_rejoined()

    def is_store_lost(self) -> bool:
        """Return whether neither this gateway nor a source has contact."""
        return all(mirror.failures for mirror in self._mirrors)

    def _has_to_watch(self) -> bool:
        """Return whether this gateway is a source that the store serves."""
        now = trio.current_time()
        return now >= self._refused_until and self._sources.is_source(
            self._list_members(), now
        )

    async def _follow_sources(self) -> None:
        """Follow one source after another, until none is recent."""
        while not self._has_to_watch():
            source = await self._find_recent_source()
            if source is None:
                return
            self._server.set_watching(False)
            self._set_source(source.gateway)
            while await self._ask(source, const.FOLLOW_WAIT_S):
                if self._has_to_watch():
                    break

    async def _find_recent_source(self) -> HolderRecord | None:
        """Ask some sources at once; return the first that is recent."""
        usable = self._sources.list_usable(
            self._list_members(), trio.current_time()
        )
        found: list[HolderRecord] = []
        async with trio.open_nursery() as nursery:

            async def ask(source: HolderRecord) -> None:
                if await self._ask(source, 0.0):
                    found.append(source)
                    nursery.cancel_scope.cancel()

            for source in usable[: const.MAX_SOURCES_ASKED]:
                nursery.start_soon(ask, source)
        return found[0] if found else None

    async def _watch_until_rejoined(self) -> None:
        """Watch the store until another gateway can be followed instead.

        A store that doesn't respond gets one call at a time. A source that
        it refuses looks for another source at once.
        """
        self._set_source("")
        retries = 0
        while not await self._rejoin():
            sent_at = trio.current_time()
            if await self._mirrors[0].list_once():
                retries = 0
                self._refused_until = float("-inf")
                if await self._run_mirrors():
                    return
            self._refused_until = trio.current_time() + const.REFUSED_PAUSE_S
            for mirror in self._mirrors[1:]:
                mirror.record_failure("the store did not respond", sent_at)
            delay_s = self._retry_backoff.draw_delay_s(retries, self._rng)
            retries += 1
            with trio.move_on_after(delay_s):
                while not await self._rejoin():
                    await trio.sleep(const.REJOIN_INTERVAL_S)
                return

    async def _run_mirrors(self) -> bool:
        """Watch the store; return whether a source is followed instead.

        False when the store stopped responding.
        """
        has_rejoined = False
        async with trio.open_nursery() as nursery:
            for mirror in self._mirrors:
                nursery.start_soon(mirror.run)
            self._server.set_watching(True)
            while not has_rejoined:
                await trio.sleep(const.REJOIN_INTERVAL_S)
                if any(mirror.failures for mirror in self._mirrors):
                    pause_s = const.REFUSED_PAUSE_S
                    self._refused_until = trio.current_time() + pause_s
                has_rejoined = await self._rejoin()
                if self.is_store_lost():
                    break
            nursery.cancel_scope.cancel()
        self._server.set_watching(False)
        return has_rejoined

    async def _rejoin(self) -> bool:
        """Return whether this gateway may follow a source, and found one."""
        if self._has_to_watch():
            return False
        return await self._find_recent_source() is not None

    async def _ask(self, source: HolderRecord, wait_s: float) -> bool:
        """Apply the changes that a source knows; return whether it is recent.

        A reply that took longer than the wait allows is ignored: this
        process or the source was suspended.
        """
        call = FollowCall(
            {mirror.prefix: mirror.get_position() for mirror in self._mirrors},
            wait_s,
        )
        self._metrics.count("watch_calls_made")
        sent_at = self._read_boot_s()
        reply = await self._peer.follow(source.peer, call)
        took_s = self._read_boot_s() - sent_at
        limit_s = wait_s + const.FIRST_REPLY_WAIT_S + const.REPLY_MARGIN_S
        if reply is None or took_s > limit_s:
            self._record_failure(source, "no reply")
            return False
        self._apply_reply(reply, sent_at)
        if reply.contact_age_s >= const.MAX_CONTACT_AGE_S:
            self._record_failure(source, "no contact", reply.contact_age_s)
            return False
        self._sources.record_success(source)
        return True

    def _apply_reply(self, reply: FollowReply, sent_at: float) -> None:
        """Apply changes, and what a source knows of the store's state.

        The call was sent at `sent_at`, in seconds since boot.
        """
        now = trio.current_time()
        is_recent = reply.contact_age_s < const.MAX_CONTACT_AGE_S
        if is_recent:
            self._contact.record(self._read_boot_s() - reply.contact_age_s)
        for mirror in self._mirrors:
            if is_recent:
                mirror.record_contact(now - reply.contact_age_s)
            page = reply.pages.get(mirror.prefix)
            if page is not None:
                mirror.apply_page(page)
                proven_age_s = reply.proven_ages_s.get(mirror.prefix)
                if proven_age_s is not None:
                    mirror.record_proof(sent_at - proven_age_s)

    def _record_failure(
        self, source: HolderRecord, reason: str, age_s: float | None = None
    ) -> None:
        """Avoid a source for a while, and log why."""
        is_silent = age_s is None
        self._sources.record_failure(source, is_silent, trio.current_time())
        self._metrics.count("watch_sources_failed")
        log_event(
            "watch_source_failed",
            source=source.gateway,
            reason=reason,
            contact_age_s=age_s,
        )

    def _set_source(self, name: str) -> None:
        """Log and store the gateway that is followed, empty for none."""
        if name != self.source_name:
            log_event("watch_source_changed", source=name)
        self.source_name = name
