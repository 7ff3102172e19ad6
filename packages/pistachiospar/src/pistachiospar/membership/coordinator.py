"""Membership: the instance list, the entry's subset of it and the links."""

from collections.abc import Callable
from collections import deque
from random import Random

from result import Err
from result import Ok
import trio

from ..bundle.coordinator import BundleKeeper
from . import const
from ..live_state.coordinator import LiveCoordinator
from ..live_state.models import EntryRecord
from ..ports.instances import Instance
from ..ports.instances import InstanceList
from ..ports.link import SidecarLink
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .attempts import find_idle_attempts
from .departures import Departure
from .departures import DepartureRegistry
from .incarnations import IncarnationRegistry
from .models import InstanceView
from .outliers import eject_if_outlier
from .sidecar_peer import SidecarPeer
from .subset import choose_subset

LinkFactory = Callable[[Instance], SidecarLink]


class MembershipCoordinator:
    """Poll the instance list and keep the links to the entry's subset."""

    def __init__(
        self,
        entry: EntryRecord,
        instance_list: InstanceList,
        make_link: LinkFactory,
        keeper: BundleKeeper,
        live: LiveCoordinator,
        incarnations: IncarnationRegistry,
        departures: DepartureRegistry,
        read_wall_s: Callable[[], float],
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Start without links; `read_wall_s` returns wall-clock seconds."""
        self._incarnations = incarnations
        self._departures = departures
        self._unwritten_departures: list[Departure] = []
        self.departures_loaded = False
        self._read_wall_s = read_wall_s
        self._entry = entry
        self._instance_list = instance_list
        self._make_link = make_link
        self._keeper = keeper
        self._live = live
        self._metrics = metrics
        self._rng = rng
        self._tag = ""
        self._links_outdated = True
        self.instances: dict[str, Instance] = {}
        self.peers: dict[str, SidecarPeer] = {}
        self.departed_at: dict[str, float] = {}
        self._departed_upstreams: dict[str, str] = {}
        live.subscribe(self._handle_change)

    def list_views(self, upstream: str) -> list[InstanceView]:
        """Return the views of the linked instances of an upstream."""
        return [
            peer.view
            for peer in self.peers.values()
            if peer.view.instance.upstream == upstream
        ]

    def list_departed(
        self, upstream: str, now: float, ttl_s: float
    ) -> list[str]:
        """Return the instances that left within the last `ttl_s`."""
        return [
            name
            for name, departed_at in self.departed_at.items()
            if self._departed_upstreams[name] == upstream
            and now - departed_at < ttl_s
        ]

    async def run(self) -> None:
        """Poll the list and run a task for each linked sidecar."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._load_departures)
            nursery.start_soon(self._write_departures)
            while True:
                await self.poll_list(nursery)
                self._query_idle_attempts(trio.current_time())
                jitter = 1.0 + const.POLL_JITTER_SHARE * (
                    self._rng.random() - 0.5
                )
                await trio.sleep(const.POLL_INTERVAL_S * jitter)

    async def _load_departures(self) -> None:
        """Read the instances that left before this entry started."""
        while True:
            loaded = await self._departures.list_departures()
            if isinstance(loaded, Ok):
                break
            await trio.sleep(const.DEPARTURE_RETRY_DELAY_S)
        now, wall_s = trio.current_time(), self._read_wall_s()
        for departure in loaded.ok_value:
            if departure.instance in self.instances:
                continue
            age_s = max(0.0, wall_s - departure.at_s)
            self.departed_at.setdefault(departure.instance, now - age_s)
            self._departed_upstreams[departure.instance] = departure.upstream
        self.departures_loaded = True

    async def _write_departures(self) -> None:
        """Write the departures that this entry saw, until cancelled."""
        while True:
            await trio.sleep(
                const.MAX_DEPARTURE_WRITE_DELAY_S * self._rng.random()
            )
            while self._unwritten_departures:
                if not await self._departures.write_departure(
                    self._unwritten_departures[0]
                ):
                    break
                self._unwritten_departures.pop(0)
            await trio.sleep(const.DEPARTURE_RETRY_DELAY_S)

    async def poll_list(self, nursery: trio.Nursery) -> None:
        """Fetch the list; update the links if it or the entries changed."""
        response = await self._instance_list.fetch_list(self._tag)
        if isinstance(response, Err):
            self._metrics.count("instance_list_faults")
            return
        snapshot = response.ok_value
        if snapshot is not None:
            self._tag = snapshot.tag
            self._apply_list(snapshot.instances)
            self._links_outdated = True
        if self._links_outdated:
            self._links_outdated = False
            await self._update_links(nursery)

    def _query_idle_attempts(self, now: float) -> None:
        """Request heartbeats for idle attempts, oldest status first.

        Links without idle attempts keep their long interval, which saves
        control messages.
        """
        idle = [
            peer
            for peer in self.peers.values()
            if peer.attempts
            and find_idle_attempts(peer.attempts.values(), now)
        ]
        idle.sort(key=lambda peer: peer.view.status_at)
        for peer in idle[: const.MAX_IDLE_QUERIES_PER_POLL]:
            peer.request_heartbeat()

    def _apply_list(self, instances: list[Instance]) -> None:
        """Replace the list and record the instances that left it."""
        now = trio.current_time()
        found = {instance.name: instance for instance in instances}
        for name, instance in self.instances.items():
            if name not in found:
                self.departed_at[name] = now
                self._departed_upstreams[name] = instance.upstream
                wall_s = self._read_wall_s()
                self._unwritten_departures.append(
                    Departure(name, instance.upstream, wall_s)
                )
        for name in list(self.departed_at):
            expired = now - self.departed_at[name] > const.DEPARTURE_TTL_S
            if name in found or expired:
                del self.departed_at[name]
                del self._departed_upstreams[name]
        self.instances = found
        for name, peer in self.peers.items():
            if name in found:
                peer.view.leaving = found[name].leaving

    async def _update_links(self, nursery: trio.Nursery) -> None:
        """Close and open links to match the subset, at a bounded rate."""
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
            address_changed = name in chosen and not _has_same_addresses(
                peer.view.instance, chosen[name]
            )
            if name not in chosen or address_changed:
                self._close_link(name)
        opened: deque[SidecarPeer] = deque()
        for name, instance in chosen.items():
            if name not in self.peers:
                opened.append(self._open_link(instance))
        self._update_peers()
        for peer in opened:
            nursery.start_soon(peer.run)
            if len(opened) > const.MAX_LINKS_OPENED_PER_S:
                await trio.sleep(1.0 / const.MAX_LINKS_OPENED_PER_S)

    def _open_link(self, instance: Instance) -> SidecarPeer:
        """Create the peer of a sidecar."""
        peer = SidecarPeer(
            instance,
            self._make_link(instance),
            self._entry.name,
            self._keeper,
            self._live,
            self._incarnations,
            self._read_wall_s,
            self._metrics,
            self._rng,
        )
        peer.view.leaving = instance.leaving
        peer.on_status = self._check_ejection
        self.peers[instance.name] = peer
        log_event("link_opened", instance=instance.name)
        return peer

    def _check_ejection(self, view: InstanceView, now: float) -> None:
        """Eject an instance if its reported streams are far too slow."""
        if view.status is None or not view.status.ms_per_token:
            return
        views = self.list_views(view.instance.upstream)
        reason = eject_if_outlier(view, views, now, self._rng)
        if reason:
            self._metrics.count("ejections")
            log_event("ejected", instance=view.name, reason=reason)

    def _close_link(self, name: str) -> None:
        """Drop a peer; its link is closed if it has no attempts."""
        peer = self.peers.pop(name)
        peer.view.leaving = True
        if not peer.attempts:
            peer.scope.cancel()
        log_event("link_closed", instance=name)

    def _update_peers(self) -> None:
        """Set the upstream's members and the interval of each peer.

        The heartbeat interval grows with the number of links, to bound the
        entry's heartbeats per second.
        """
        by_upstream: dict[str, list[Instance]] = {}
        for instance in self.instances.values():
            by_upstream.setdefault(instance.upstream, []).append(instance)
        min_interval_s = len(self.peers) / const.MAX_HEARTBEATS_PER_S
        interval_s = min(
            max(const.HEARTBEAT_INTERVAL_S, min_interval_s),
            const.HEARTBEAT_MAX_INTERVAL_S,
        )
        for peer in self.peers.values():
            upstream = peer.view.instance.upstream
            peer.members = by_upstream.get(upstream, peer.members)
            peer.heartbeat_interval_s = interval_s

    def _handle_change(self) -> None:
        """Request heartbeats and have the next poll update the links."""
        self._links_outdated = True
        for peer in self.peers.values():
            peer.request_heartbeat()


def _has_same_addresses(one: Instance, other: Instance) -> bool:
    """Return whether two descriptions have the same sidecar addresses."""
    return (one.data, one.control) == (other.data, other.control)
