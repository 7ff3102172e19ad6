"""A few entries and sidecars over in-memory fakes, in virtual time."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Any
from typing import TypeVar

import msgspec
from pistachiospar.adapters.http.address import Address
from pistachiospar.bundle.coordinator import BundleKeeper
from pistachiospar.bundle.models import Bundle
from pistachiospar.bundle.models import UpstreamKind
from pistachiospar.bundle.rolling import BundleRoller
from pistachiospar.bundle.signing import derive_public_key
from pistachiospar.entry.coordinator import EntryCoordinator
from pistachiospar.ports.instances import Instance
from pistachiospar.ports.instances import InstanceListSnapshot
from pistachiospar.settings.models import EntrySettings
from pistachiospar.settings.models import ProcessSettings
from pistachiospar.sidecar.coordinator import SidecarCoordinator
from pistachiospar.sidecar.scheduler import SlotScheduler
from result import Err
from result import Ok
from result import Result
import trio
import trio.testing

from ..engine.core import EngineModel
from ..engine.core import EngineSettings
from ..kv.store import Store
from .kv import FakeKeyValue
from .kv import KvFaultSet
from .links import MemoryLink
from .links import SidecarHost
from .peers import FakeEntryPeer
from .upstreams import FakeEngine
from .upstreams import FakeService
from .weights import FakeWeightStore

Value = TypeVar("Value")
UNUSED_ADDRESS = Address("127.0.0.1", 1)


def run_virtual(
    work: Callable[[], Awaitable[Value]], seed: int = 0, limit_s: float = 1e6
) -> Value:
    """Run a task on a virtual clock, with scheduling drawn from `seed`.

    Raises trio.TooSlowError after `limit_s` virtual seconds.
    """
    core: Any = trio._core._run  # type: ignore[attr-defined]
    core._ALLOW_DETERMINISTIC_SCHEDULING = True
    core._r.seed(seed)

    async def bounded() -> Value:
        with trio.fail_after(limit_s):
            return await work()

    clock = trio.testing.MockClock(autojump_threshold=0.0)
    return trio.run(bounded, clock=clock)


class FakeInstanceList:
    """An instance list that shows changes after a lag.

    `lag_s` is in seconds; the first list shows at once.
    """

    def __init__(self, lag_s: float = 0.5) -> None:
        """Create an empty list; `fetch_list` needs `set_instances` first."""
        self.lag_s = lag_s
        self.down = False
        self._listings: list[tuple[float, list[Instance]]] = []

    def set_instances(self, instances: list[Instance], now: float) -> None:
        """Replace the list; it shows after the lag."""
        self._listings.append((now, list(instances)))

    async def fetch_list(
        self, known_tag: str
    ) -> Result[InstanceListSnapshot | None, str]:
        """Return the visible list, None when `known_tag` is still its tag."""
        await trio.sleep(0.001)
        if self.down:
            return Err("down")
        now = trio.current_time()
        visible = [
            (str(number), instances)
            for number, (at, instances) in enumerate(self._listings)
            if now - at >= self.lag_s or number == 0
        ]
        tag, instances = visible[-1]
        return Ok(
            None if tag == known_tag else InstanceListSnapshot(tag, instances)
        )


@dataclass(slots=True)
class FleetPlan:
    """The size and settings of a small fleet of entries and sidecars.

    `instances` is the number of instances per upstream, 2 by default;
    `service_duration_s` is the time that a plain call takes, in seconds.
    """

    bundle: Bundle
    entries: int = 2
    instances: dict[str, int] = field(default_factory=dict)
    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    slots: int = 8
    queue_limit: int = 512
    service_duration_s: float = 0.1
    engine: EngineSettings = field(default_factory=EngineSettings)
    seed: int = 0


def make_private_keys(names: list[str]) -> dict[str, bytes]:
    """Return a fixed private key for each partner, for tests only."""
    return {
        name: bytes([number + 1]) * 32 for number, name in enumerate(names)
    }


def list_public_keys(names: list[str]) -> dict[str, str]:
    """Return the public keys of the fixed private ones, by partner."""
    return {
        n: derive_public_key(k) for n, k in make_private_keys(names).items()
    }


class MemoryFleet:
    """Entries and sidecars over the fakes."""

    def __init__(self, plan: FleetPlan) -> None:
        """Create a fleet with nothing running."""
        self.plan = plan
        self.store = Store()
        self.kv_faults = KvFaultSet()
        self.instance_list = FakeInstanceList()
        self.weight_store = FakeWeightStore()
        self.instances: dict[str, Instance] = {}
        self.hosts: dict[str, SidecarHost] = {}
        self.services: dict[str, FakeService] = {}
        self.engines: dict[str, FakeEngine] = {}
        self.entries: dict[str, EntryCoordinator] = {}
        self.kvs: dict[str, FakeKeyValue] = {}
        self.links: dict[tuple[str, str], MemoryLink] = {}
        self._entry_scopes: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self._starts = 0
        self._partners = [p.name for p in plan.bundle.partners]

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all processes, roll the first bundle and wait until ready."""
        self._nursery = nursery
        for upstream in self.plan.bundle.upstreams:
            count = self.plan.instances.get(upstream.name, 2)
            for number in range(count):
                name = f"{upstream.name}-{number + 1}"
                zone = self.plan.zones[number % len(self.plan.zones)]
                self._add_instance(name, upstream.name, upstream.kind, zone)
        self.publish_instances()
        for name in self.hosts:
            await self.start_sidecar(name)
        await self.roll_bundle(self.plan.bundle)
        for number in range(self.plan.entries):
            self.start_entry(f"entry-{number + 1}")
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until every entry has a usable link to every live sidecar."""
        while not all(self._is_linked(e) for e in self.entries.values()):
            await trio.sleep(0.1)

    def publish_instances(self) -> None:
        """Publish the instances in the instance list."""
        now = trio.current_time()
        self.instance_list.set_instances(list(self.instances.values()), now)

    async def roll_bundle(self, bundle: Bundle) -> int:
        """Propose, sign and roll a bundle; return its version."""
        kv = FakeKeyValue(self.store, KvFaultSet())
        roller = BundleRoller(kv, Random(1))
        release = (await roller.propose(bundle)).unwrap()
        for partner, key in make_private_keys(self._partners).items():
            await roller.sign(release.compute_digest(), partner, key)
        deadline = trio.current_time() + 60.0
        await roller.roll(release.compute_digest(), 0.0, deadline)
        return release.version

    def start_entry(self, name: str) -> None:
        """Start or restart an entry."""
        if self._nursery is None:
            raise RuntimeError("the fleet is not started")
        kv = self.kvs[name] = FakeKeyValue(self.store, self.kv_faults)
        self._starts += 1
        entry = EntryCoordinator(
            self._make_settings(name),
            kv,
            self.instance_list,
            lambda instance: self._make_link(name, instance),
            lambda peer: FakeEntryPeer(self.entries, peer),
            Random(self.plan.seed * 1000 + self._starts),
            trio.current_time,
        )
        self.entries[name] = entry
        scope = self._entry_scopes[name] = trio.CancelScope()
        self._nursery.start_soon(self._run_entry, entry, scope)

    def kill_entry(self, name: str) -> None:
        """Kill a running entry."""
        self._entry_scopes[name].cancel()
        del self.entries[name]

    async def start_sidecar(self, name: str) -> None:
        """Start a sidecar, or restart it with a new incarnation."""
        if self._nursery is None:
            raise RuntimeError("the fleet is not started")
        host = self.hosts[name]
        instance = self.instances[name]
        self._starts += 1
        engine = self.engines.get(name)
        host.scope = trio.CancelScope()
        host.coordinator = SidecarCoordinator(
            name=name,
            upstream_name=instance.upstream,
            upstream=engine or self.services[name],
            engine=engine,
            keeper=BundleKeeper(list_public_keys(self._partners)),
            scheduler=SlotScheduler(self.plan.slots, self.plan.queue_limit),
            rng=Random(self.plan.seed * 1000 + self._starts),
            now=trio.current_time(),
            fetcher=self.weight_store.make_fetcher(self.hosts),
            own_address=instance.data,
        )
        await self._nursery.start(_run_sidecar, host)

    def kill_sidecar(self, name: str) -> None:
        """Kill a sidecar; its upstream keeps running."""
        self.hosts[name].coordinator = None
        self.hosts[name].scope.cancel()

    def find_link(self, entry: str, instance: str) -> MemoryLink:
        """Return an entry's newest link to an instance."""
        return self.links[(entry, instance)]

    def add_instance(self, upstream: str, name: str, zone: str) -> None:
        """Add an instance of an upstream, without starting its sidecar."""
        definition = self.plan.bundle.find_upstream(upstream)
        if definition is not None:
            self._add_instance(name, upstream, definition.kind, zone)

    def _add_instance(
        self, name: str, upstream: str, kind: UpstreamKind, zone: str
    ) -> None:
        """Add an instance's host, its list entry and its engine or service."""
        self.hosts[name] = SidecarHost(name)
        self.instances[name] = Instance(
            name,
            upstream,
            zone,
            f"{name}:1",
            f"{name}:2",
            since_s=trio.current_time(),
        )
        if kind is UpstreamKind.ENGINE:
            settings = msgspec.convert(
                msgspec.to_builtins(self.plan.engine), EngineSettings
            )
            settings.seed = self.plan.seed * 1000 + len(self.engines)
            self.engines[name] = FakeEngine(EngineModel(settings))
        else:
            self.services[name] = FakeService(
                name, self.plan.service_duration_s
            )

    def _make_link(self, entry: str, instance: Instance) -> MemoryLink:
        """Create and register an entry's link to an instance."""
        link = MemoryLink(self.hosts[instance.name])
        self.links[(entry, instance.name)] = link
        return link

    def _make_settings(self, name: str) -> EntrySettings:
        """Return an entry's settings; its zone follows from its number."""
        number = int(name.rpartition("-")[2]) - 1
        process = ProcessSettings(
            name=name,
            zone=self.plan.zones[number % len(self.plan.zones)],
            admin=UNUSED_ADDRESS,
            log="-",
            data_folder="",
            drain_s=10.0,
            first_partners=list_public_keys(self._partners),
        )
        address = Address(name, 1)
        return EntrySettings(
            process, "test", address, address, UNUSED_ADDRESS, UNUSED_ADDRESS
        )

    async def _run_entry(
        self, entry: EntryCoordinator, scope: trio.CancelScope
    ) -> None:
        """Run an entry until `scope` is cancelled."""
        with scope:
            await entry.run()

    def _is_linked(self, entry: EntryCoordinator) -> bool:
        """Return whether an entry has a bundle and a link to each sidecar."""
        live = [n for n, h in self.hosts.items() if h.coordinator]
        peers = entry.membership.peers
        return entry.keeper.version > 0 and all(
            name in peers and peers[name].view.is_usable() for name in live
        )


async def _run_sidecar(
    host: SidecarHost,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a sidecar until it is killed."""
    if host.coordinator is None:
        return
    with host.scope:
        async with trio.open_nursery() as nursery:
            host.nursery = nursery
            await nursery.start(host.coordinator.run_tasks)
            task_status.started()
            await trio.sleep_forever()
