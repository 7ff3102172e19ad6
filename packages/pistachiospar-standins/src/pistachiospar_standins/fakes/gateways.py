"""Support a few gateways over the fakes, in virtual time."""

from dataclasses import dataclass
from dataclasses import field
from random import Random

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.gateway.coordinator import GatewayCoordinator
from pistachiospar.gateway.models import GatewayIdentity
from pistachiospar.holding.clock import Clocks
from pistachiospar.platform import const
from pistachiospar.platform.directory import PLATFORM_KEYS
from pistachiospar.storing.calls import execute_call
from pistachiospar.storing.messages import KvCall
from pistachiospar.storing.messages import KvReply
from pistachiospar.submissions.models import ResultPage
import trio

from ..kv.store import Store
from .kv import FakeKeyValue
from .kv import KvFaultSet
from .samplers import FakeSampler
from .samplers import FakeSamplers
from .samplers import SamplerWorld
from .sinks import AnswerExchange

POOL = "pool"
APP = "app"
HOST = "host.example"
ROLLOUT_PREFIX = "/rollout/"
SCORE_PREFIX = "/score/"
PLAIN_PREFIX = "/plain/"
STREAM_PREFIX = "/stream/"
LEASE_S = 3.0
VALUE_BYTES = 1_048_576
LIST_S = 0.3


@dataclass(slots=True)
class RunningGateway:
    """Hold one life of a gateway; `boot_skip_s` is time it stood still."""

    coordinator: GatewayCoordinator
    kv: FakeKeyValue
    scope: trio.CancelScope
    boot_skip_s: float = 0.0


@dataclass(slots=True)
class GatewayPlan:
    """Plan a small fleet."""

    gateways: int = 3
    samplers: int = 4
    apps: int = 2
    models: tuple[str, ...] = ("m0", "m1")
    slots: int = 4
    seed: int = 0
    max_attempts: int = 3
    single_version: bool = False
    give_up_s: float = 40.0
    keep_s: float = 120.0
    resumable: bool = True
    faults: KvFaultSet = field(default_factory=KvFaultSet)


class MemoryPeer:
    """Carry what gateways ask of each other."""

    def __init__(self, fleet: "GatewayFleet", name: str) -> None:
        """Take the fleet."""
        self._fleet = fleet
        self._name = name

    async def call_kv(self, address: str, call: KvCall) -> KvReply | None:
        """Have a peer make a call; None when it can't be reached."""
        await trio.sleep(0.001)
        running = self._fleet.running.get(address)
        if running is None or not self._fleet.connects(self._name, address):
            return None
        return await execute_call(running.kv, call)

    async def fetch_results(
        self, address: str, submission: str, after: int, wait_s: float
    ) -> ResultPage | None:
        """Return results; None when unreachable or not known there."""
        await trio.sleep(0.001)
        running = self._fleet.running.get(address)
        if running is None or not self._fleet.connects(self._name, address):
            return None
        reader = running.coordinator.reader
        return await reader.read_local(submission, after, wait_s)


class GatewayFleet:
    """Run gateways over one store and one world of instances."""

    def __init__(self, plan: GatewayPlan) -> None:
        """Begin with nothing running."""
        self.plan = plan
        self.rng = Random(plan.seed)
        self.store = Store()
        self.world = SamplerWorld(self.rng)
        self.running: dict[str, RunningGateway] = {}
        self.apart: set[str] = set()
        self.places: dict[str, str] = {}
        self.version = 0
        self._nursery: trio.Nursery | None = None
        self._lives = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the world and all gateways."""
        self._nursery = nursery
        self.write_configuration()
        for number in range(self.plan.samplers):
            self.add_sampler(f"s{number}", POOL)
        for number in range(self.plan.apps):
            self.add_sampler(f"a{number}", APP)
        nursery.start_soon(self._list_samplers)
        for number in range(self.plan.gateways):
            self.start_gateway(f"g{number}")
        await trio.sleep(1.5)

    def start_gateway(self, name: str) -> None:
        """Start a gateway's next life."""
        assert self._nursery is not None
        self._lives += 1
        rng = Random(self.plan.seed * 1000 + self._lives)
        kv = FakeKeyValue(self.store, KvFaultSet())
        scope = trio.CancelScope()

        def read_boot_s() -> float:
            return trio.current_time() + running.boot_skip_s

        coordinator = GatewayCoordinator(
            GatewayIdentity(
                name, "zone", name, LEASE_S, VALUE_BYTES, self.plan.keep_s
            ),
            PLATFORM_KEYS,
            kv,
            FakeSamplers(self.world, name),
            MemoryPeer(self, name),
            Clocks(trio.current_time, read_boot_s),
            rng,
        )
        running = RunningGateway(coordinator, kv, scope)
        self.running[name] = running
        self._nursery.start_soon(self._run, running)

    def kill_gateway(self, name: str) -> None:
        """End a gateway at once."""
        running = self.running.pop(name, None)
        if running is not None:
            running.scope.cancel()

    def connects(self, one: str, other: str) -> bool:
        """Return whether two gateways reach each other."""
        return one not in self.apart and other not in self.apart

    def find_holder(self) -> str | None:
        """Return the gateway that holds the pool."""
        for name, running in self.running.items():
            role = running.coordinator.holders.roles.get(POOL)
            if role is not None and not role.lost:
                return name
        return None

    async def ask(
        self, gateway: str, request: HttpRequest, timeout_s: float = 12.0
    ) -> AnswerExchange | None:
        """Ask a gateway as a caller does; None when no answer came."""
        running = self.running.get(gateway)
        exchange = AnswerExchange()
        if running is None:
            return None
        with trio.move_on_after(timeout_s):
            await running.coordinator.handler.handle(request, exchange)
        if self.running.get(gateway) is not running or not exchange.whole:
            return None
        return exchange

    def add_sampler(self, name: str, upstream: str) -> None:
        """Add an instance with the newest versions."""
        sampler = FakeSampler(name, self.plan.slots)
        if upstream == POOL:
            sampler.versions = dict.fromkeys(self.plan.models, 1)
        self.world.samplers[name] = sampler
        self._write_instance(name, upstream)

    def remove_sampler(self, name: str) -> None:
        """Take an instance off the list; it is down from now on."""
        self.world.samplers[name].faults.down = True
        self.store.delete(const.PREFIX_INSTANCES + name)

    def name_version(self, model: str, version: int) -> None:
        """Write the version that a trainer names."""
        value = msgspec.json.encode({"model": model, "version": version})
        self._write(const.PREFIX_VERSIONS + model, value)

    def write_configuration(self) -> None:
        """Write the next version of the operator's configuration."""
        self.version += 1
        routes = [
            _make_route("plain", PLAIN_PREFIX, "safe", APP),
            _make_route("score", SCORE_PREFIX, "safe", APP),
            {
                **_make_route("stream", STREAM_PREFIX, "safe", POOL),
                "stream": True,
                "resumable": self.plan.resumable,
            },
            {
                **_make_route("roll", ROLLOUT_PREFIX, "rollout", POOL),
                "resultDueMs": 7500,
                "maxAgeS": self.plan.give_up_s,
                "maxAttempts": self.plan.max_attempts,
                "singleVersion": self.plan.single_version,
            },
        ]
        models = [{"name": model} for model in self.plan.models]
        services = [
            {"name": POOL, "maxConns": 100, "engine": {"models": models}},
            {"name": APP, "maxConns": 100},
        ]
        value = msgspec.json.encode(
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": {},
            }
        )
        self._write(const.KEY_CONFIG, value)

    async def _run(self, running: RunningGateway) -> None:
        """Run one life of a gateway."""
        with running.scope:
            await running.coordinator.run()

    async def _list_samplers(self) -> None:
        """Keep the list of instances up to date; one task."""
        while True:
            await trio.sleep(LIST_S)
            for name, sampler in self.world.samplers.items():
                sampler.settle(trio.current_time())
                key = const.PREFIX_INSTANCES + name
                if key in self.store.items and sampler.versions:
                    self._write_instance(name, POOL)

    def _write_instance(self, name: str, upstream: str) -> None:
        """Write an instance's entry if it changed."""
        sampler = self.world.samplers[name]
        versions = sampler.versions.items()
        value = msgspec.json.encode(
            {
                "service": upstream,
                "address": self.places.get(name, "127.0.0.1:1"),
                "zone": "zone",
                "slots": sampler.slots,
                "state": "ready",
                "models": [{"name": m, "version": v} for m, v in versions],
            }
        )
        key = const.PREFIX_INSTANCES + name
        known = self.store.items.get(key)
        if known is None or known.value != value:
            self._write(key, value)

    def _write(self, key: str, value: bytes) -> None:
        """Write a key as the operator or an instance does."""
        self.store.write(key, value, 0, trio.current_time())


def _make_route(
    name: str, prefix: str, kind: str, upstream: str
) -> dict[str, object]:
    """Make one route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 3,
        "service": upstream,
    }
