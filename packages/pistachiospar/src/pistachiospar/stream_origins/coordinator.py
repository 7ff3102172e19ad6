"""Records of where streams began, and copies of them at other gateways.

While an upstream runs several software versions, the origin of each of its
streams is copied before the stream's first event reaches the caller, so that
any gateway can resume it when this one is gone.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

import trio

from . import const
from ..pool_holders.models import HolderRecord
from ..ports.peer_origins import PeerOrigins
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .copies import choose_keepers
from .copies import GatewayRing
from .decisions import OriginFindings
from .messages import FindOriginCall
from .messages import FindOriginReply
from .messages import StreamOrigin
from .software_archive import SoftwareArchive
from .table import OriginTable


@dataclass(slots=True)
class PendingCopy:
    """An origin to copy; `stored` is set once a gateway has one."""

    origin: StreamOrigin
    tries: int = 0
    stored: trio.Event = field(default_factory=trio.Event)


class StreamOrigins:
    """Record, copy and find the origins of streams."""

    def __init__(
        self,
        own_name: str,
        own_zone: str,
        list_members: Callable[[], Mapping[str, HolderRecord]],
        peer: PeerOrigins,
        list_software: Callable[[str, float], frozenset[str]],
        is_current: Callable[[float], bool],
        software: SoftwareArchive,
        metrics: Metrics,
    ) -> None:
        """Initialize; `list_members` returns the gateways by name.

        `list_software` returns the versions that may have begun an
        upstream's streams as far as this process saw them, `is_current`
        whether they are up to date; `software` has the recorded ones.
        """
        self._own_name = own_name
        self._own_zone = own_zone
        self._list_members = list_members
        self._peer = peer
        self._list_software = list_software
        self._is_current = is_current
        self.software = software
        self._metrics = metrics
        self.table = OriginTable()
        self._pending: dict[str, PendingCopy] = {}
        self._wake_up = trio.Event()
        self._instances_changed = trio.Event()
        self._ring = GatewayRing(own_name)
        self._avoided_until: dict[str, float] = {}
        self._mixed: set[str] = set()

    async def run(self) -> None:
        """Copy origins until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy_earlier_streams)
            nursery.start_soon(self.software.run)
            while True:
                await self._wake_up.wait()
                self._wake_up = trio.Event()
                for name, copies in self._assign_copies().items():
                    nursery.start_soon(self._send_copies, name, copies)

    def handle_instances_change(self) -> None:
        """Copy earlier origins too, once a second version serves."""
        self._instances_changed.set()

    async def record(self, origin: StreamOrigin) -> None:
        """Record a stream's origin, before its first event is passed on.

        While several versions serve it returns once another gateway has a
        copy, after COPY_WAIT_S at the latest.
        """
        now = trio.current_time()
        self.table.record(origin, now)
        if not self._needs_copies(origin.upstream, now):
            return
        copy = PendingCopy(origin)
        self._pending[origin.stream] = copy
        self._wake_up.set()
        with trio.move_on_after(const.COPY_WAIT_S):
            await copy.stored.wait()
            return
        self._metrics.count("stream_origins_not_copied")
        log_event("stream_origin_not_copied", request=origin.stream)

    async def find(
        self, stream: str, upstreams: Iterable[str]
    ) -> OriginFindings:
        """Return what this gateway and others know of a stream."""
        now = trio.current_time()
        software = {
            upstream: self._list_versions(upstream, now)
            for upstream in upstreams
        }
        known = self.table.find(stream, now)
        if known is not None:
            return OriginFindings(known, software, 0, 0, True, True)
        call = FindOriginCall(stream, list(software))
        names = self._ring.list_near(stream, self._list_members())
        replies = await self._ask(names, call)
        for reply in replies:
            for upstream, versions in reply.software.items():
                software.setdefault(upstream, set()).update(versions)
        found = [r.origin for r in replies if r.origin is not None]
        is_confirmed = not found and await self.software.confirm(software)
        for upstream, known_versions in software.items():
            known_versions.update(self.software.list_versions(upstream))
        return OriginFindings(
            found[0] if found else None,
            software,
            len(names),
            sum(reply.is_informed for reply in replies),
            is_confirmed,
            self.software.is_complete(software),
        )

    def store_copies(self, origins: list[StreamOrigin]) -> None:
        """Store the origins of other gateways' streams."""
        now = trio.current_time()
        for origin in origins:
            self.table.record(origin, now)

    def serve_find(self, call: FindOriginCall) -> FindOriginReply:
        """Return what this gateway knows of a stream."""
        now = trio.current_time()
        return FindOriginReply(
            self.table.find(call.stream, now),
            {
                upstream: sorted(self._list_versions(upstream, now))
                for upstream in call.upstreams
            },
            self._is_current(now),
            self.software.is_synced(),
        )

    def _list_versions(self, upstream: str, now: float) -> set[str]:
        """Return the versions that may have begun an upstream's streams."""
        return {
            *self._list_software(upstream, now),
            *self.software.list_versions(upstream),
        }

    def _needs_copies(self, upstream: str, now: float) -> bool:
        """Return whether a stream's version isn't plain without a record."""
        return len(self._list_versions(upstream, now)) > 1 and any(
            name != self._own_name for name in self._list_members()
        )

    async def _copy_earlier_streams(self) -> None:
        """Copy the origins of earlier streams after changes of instances."""
        while True:
            await self._instances_changed.wait()
            self._instances_changed = trio.Event()
            self._enqueue_earlier_streams(trio.current_time())
            await trio.sleep(const.INSTANCES_CHECK_INTERVAL_S)

    def _enqueue_earlier_streams(self, now: float) -> None:
        """Enqueue the origins of upstreams that got a second version."""
        mixed = {
            upstream
            for upstream in self.table.list_upstreams()
            if self._needs_copies(upstream, now)
        }
        for upstream in mixed - self._mixed:
            for origin in self.table.list_origins(upstream, now):
                self._pending.setdefault(origin.stream, PendingCopy(origin))
        if mixed - self._mixed:
            self._wake_up.set()
        self._mixed = mixed

    def _assign_copies(self) -> dict[str, list[PendingCopy]]:
        """Return the pending copies by the gateway that gets them."""
        now = trio.current_time()
        members = self._list_members()
        zones = {name: member.zone for name, member in members.items()}
        avoided = {n for n, at in self._avoided_until.items() if now < at}
        assigned: dict[str, list[PendingCopy]] = {}
        for copy in self._pending.values():
            near = self._ring.list_near(copy.origin.stream, members)
            for name in choose_keepers(near, zones, self._own_zone, avoided):
                assigned.setdefault(name, []).append(copy)
        self._pending.clear()
        return assigned

    async def _send_copies(self, name: str, copies: list[PendingCopy]) -> None:
        """Send copies to a gateway; those that it fails to store go on."""
        for first in range(0, len(copies), const.MAX_ORIGINS_PER_CALL):
            batch = copies[first : first + const.MAX_ORIGINS_PER_CALL]
            member = self._list_members().get(name)
            if member is not None and await self._peer.copy_origins(
                member.peer, [copy.origin for copy in batch]
            ):
                self._metrics.count("stream_origins_copied", len(batch))
                for copy in batch:
                    copy.stored.set()
                continue
            now = trio.current_time()
            self._avoided_until[name] = now + const.PEER_AVOID_S
            self._metrics.count("stream_origin_copies_failed", len(batch))
            for copy in batch:
                copy.tries += 1
                if not copy.stored.is_set() and copy.tries <= const.COPIES:
                    self._pending[copy.origin.stream] = copy
            self._wake_up.set()

    async def _ask(
        self, names: list[str], call: FindOriginCall
    ) -> list[FindOriginReply]:
        """Return the replies of gateways, up to the first with a record."""
        members = self._list_members()
        replies: list[FindOriginReply] = []
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = (
                trio.current_time() + const.PEER_TIMEOUT_S
            )

            async def ask(address: str) -> None:
                reply = await self._peer.find_origin(address, call)
                if reply is None:
                    return
                replies.append(reply)
                if reply.origin is not None:
                    nursery.cancel_scope.cancel()

            for name in names:
                nursery.start_soon(ask, members[name].peer)
        return replies
