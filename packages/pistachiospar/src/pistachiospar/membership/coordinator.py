"""Support membership: the instance list, the subset and the links."""

from collections.abc import Callable
from collections import deque
from random import Random

from result import Err
from result import Ok
import trio

from ..bundle.coordinator import BundleKeeper
from . import const
from ..live.coordinator import LiveCoordinator
from ..live.models import EntryRecord
from ..ports.instances import Instance
from ..ports.instances import InstanceList
from ..ports.link import SidecarLink
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .attempts import find_quiet
from .departures import Departure
from .departures import DepartureRegistry
from .lives import LifeRegistry
from .models import InstanceView
from .outliers import decide_ejection
from .peer import SidecarPeer
from .subset import choose_subset

LinkFactory = Callable[[Instance], SidecarLink]


class MembershipCoordinator:
    """Poll the instance list once for all and keep the links."""

    def __init__(
        self,
        entry: EntryRecord,
        instance_list: InstanceList,
        make_link: LinkFactory,
        keeper: BundleKeeper,
        live: LiveCoordinator,
        lives: LifeRegistry,
        departures: DepartureRegistry,
        read_wall_s: Callable[[], float],
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Begin with no link."""
        self._lives = lives
        self._departures = departures
        self._unwritten: list[Departure] = []
        self.knows_departures = False
        self._read_wall_s = read_wall_s
        self._entry = entry
        self._instance_list = instance_list
        self._make_link = make_link
        self._keeper = keeper
        self._live = live
        self._metrics = metrics
        self._rng = rng
        self._tag = ""
        self._changed = True
        self.instances: dict[str, Instance] = {}
        self.peers: dict[str, SidecarPeer] = {}
        self.gone: dict[str, float] = {}
        self._gone_upstream: dict[str, str] = {}
        live.subscribe(self._note_change)

    def list_views(self, upstream: str) -> list[InstanceView]:
        """Return what is known of the linked instances of an upstream."""
        return [
            peer.view
            for peer in self.peers.values()
            if peer.view.instance.upstream == upstream
        ]

    def list_gone(self, upstream: str, now: float, ttl_s: float) -> list[str]:
        """Return the instances that went away within a time."""
        return [
            name
            for name, gone_at in self.gone.items()
            if self._gone_upstream[name] == upstream and now - gone_at < ttl_s
        ]

    async def run(self) -> None:
        """Poll the list and run a task for each linked sidecar."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._learn_departures)
            nursery.start_soon(self._write_departures)
            while True:
                await self.poll_once(nursery)
                self._ask_after_quiet(trio.current_time())
                spread = 1.0 + const.POLL_JITTER * (self._rng.random() - 0.5)
                await trio.sleep(const.POLL_S * spread)

    async def _learn_departures(self) -> None:
        """Read which instances left before this entry started."""
        while True:
            read = await self._departures.read()
            if isinstance(read, Ok):
                break
            await trio.sleep(const.DEPARTURE_RETRY_S)
        now, wall_s = trio.current_time(), self._read_wall_s()
        for departure in read.ok_value:
            if departure.instance in self.instances:
                continue
            age_s = max(0.0, wall_s - departure.at_s)
            self.gone.setdefault(departure.instance, now - age_s)
            self._gone_upstream[departure.instance] = departure.upstream
        self.knows_departures = True

    async def _write_departures(self) -> None:
        """Write the departures that this entry saw; one task."""
        while True:
            await trio.sleep(const.DEPARTURE_JITTER_S * self._rng.random())
            while self._unwritten:
                if not await self._departures.write(self._unwritten[0]):
                    break
                self._unwritten.pop(0)
            await trio.sleep(const.DEPARTURE_RETRY_S)

    async def poll_once(self, nursery: trio.Nursery) -> None:
        """Fetch the list; act when it or the entries changed."""
        answer = await self._instance_list.fetch_list(self._tag)
        if isinstance(answer, Err):
            self._metrics.count("instance_list_faults")
            return
        page = answer.ok_value
        if page is not None:
            self._tag = page.tag
            self._take_list(page.instances)
            self._changed = True
        if self._changed:
            self._changed = False
            await self._resubset(nursery)

    def _ask_after_quiet(self, now: float) -> None:
        """Send heartbeats where attempts are quiet, a few at a time.

        Links without such attempts are asked seldom, to save control work.
        """
        quiet = [
            peer
            for peer in self.peers.values()
            if peer.attempts and find_quiet(peer.attempts.values(), now)
        ]
        quiet.sort(key=lambda peer: peer.view.status_at)
        for peer in quiet[: const.QUIET_BEATS]:
            peer.nudge()

    def _take_list(self, instances: list[Instance]) -> None:
        """Take over the list."""
        now = trio.current_time()
        found = {instance.name: instance for instance in instances}
        for name, instance in self.instances.items():
            if name not in found:
                self.gone[name] = now
                self._gone_upstream[name] = instance.upstream
                wall_s = self._read_wall_s()
                self._unwritten.append(
                    Departure(name, instance.upstream, wall_s)
                )
        for name in list(self.gone):
            expired = now - self.gone[name] > const.GONE_MEMORY_S
            if name in found or expired:
                del self.gone[name]
                del self._gone_upstream[name]
        self.instances = found
        for name, peer in self.peers.items():
            if name in found:
                peer.view.leaving = found[name].leaving

    async def _resubset(self, nursery: trio.Nursery) -> None:
        """Open and close links, at a bounded rate."""
        chosen = {
            instance.name: instance
            for instance in choose_subset(
                self._entry,
                self._live.entries.values(),
                self.instances.values(),
            )
        }
        for name in list(self.peers):
            peer = self.peers[name]
            moved = name in chosen and not _same_place(
                peer.view.instance, chosen[name]
            )
            if name not in chosen or moved:
                self._close(name)
        opened: deque[SidecarPeer] = deque()
        for name, instance in chosen.items():
            if name not in self.peers:
                opened.append(self._open(instance))
        self._share_members()
        for peer in opened:
            nursery.start_soon(peer.run)
            if len(opened) > const.RESUBSET_PER_S:
                await trio.sleep(1.0 / const.RESUBSET_PER_S)

    def _open(self, instance: Instance) -> SidecarPeer:
        """Make the link to a sidecar."""
        peer = SidecarPeer(
            instance,
            self._make_link(instance),
            self._entry.name,
            self._keeper,
            self._live,
            self._lives,
            self._read_wall_s,
            self._metrics,
            self._rng,
        )
        peer.view.leaving = instance.leaving
        peer.on_status = self._judge
        self.peers[instance.name] = peer
        log_event("link_opened", instance=instance.name)
        return peer

    def _judge(self, view: InstanceView, now: float) -> None:
        """Eject an instance whose streams became far too slow."""
        if view.status is None or not view.status.ms_per_token:
            return
        views = self.list_views(view.instance.upstream)
        reason = decide_ejection(view, views, now, self._rng)
        if reason:
            self._metrics.count("ejections")
            log_event("ejected", instance=view.name, reason=reason)

    def _close(self, name: str) -> None:
        """Close the link to a sidecar."""
        peer = self.peers.pop(name)
        peer.view.leaving = True
        if not peer.attempts:
            peer.scope.cancel()
        log_event("link_closed", instance=name)

    def _share_members(self) -> None:
        """Tell each link the members of its upstream and its pace."""
        by_upstream: dict[str, list[Instance]] = {}
        for instance in self.instances.values():
            by_upstream.setdefault(instance.upstream, []).append(instance)
        pace = len(self.peers) / const.BEATS_PER_S
        interval_s = min(max(const.BEAT_S, pace), const.BEAT_MOST_S)
        for peer in self.peers.values():
            upstream = peer.view.instance.upstream
            peer.members = by_upstream.get(upstream, peer.members)
            peer.interval_s = interval_s

    def _note_change(self) -> None:
        """Send heartbeats at once and look at the subset again."""
        self._changed = True
        for peer in self.peers.values():
            peer.nudge()


def _same_place(one: Instance, other: Instance) -> bool:
    """Return whether two descriptions name the same sidecar."""
    return (one.data, one.control) == (other.data, other.control)
