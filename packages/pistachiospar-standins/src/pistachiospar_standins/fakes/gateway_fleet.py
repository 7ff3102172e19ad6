"""A few gateways over in-memory fakes, in virtual time."""

from random import Random

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.gateway.coordinator import GatewayCoordinator
from pistachiospar.gateway.models import GatewayIdentity
from pistachiospar.kv_access.calls import execute_for_peer
from pistachiospar.kv_access.messages import KvCall
from pistachiospar.kv_access.messages import KvReply
from pistachiospar.limits.const import PERMIT_TIMEOUT_S
from pistachiospar.limits.messages import PermitCall
from pistachiospar.limits.messages import PermitReply
from pistachiospar.platform import const
from pistachiospar.platform.directory import PLATFORM_KEYS
from pistachiospar.pool_holders.clock import Clocks
from pistachiospar.ports.peer_permits import PeerFailure
from pistachiospar.stream_origins.messages import FindOriginCall
from pistachiospar.stream_origins.messages import FindOriginReply
from pistachiospar.stream_origins.messages import StreamOrigin
from pistachiospar.submissions.models import ResultPage
from pistachiospar.usage.messages import CountsMessage
from pistachiospar.usage.messages import CountsReceipt
from pistachiospar.watch_relay.const import REPLY_MARGIN_S
from pistachiospar.watch_relay.messages import FollowCall
from pistachiospar.watch_relay.messages import FollowReply
import trio

from ..kv.store import Store
from .cloud import FakeCloud
from .cloud import FakeCloudClient
from .configurations import make_route
from .gateway_plan import GatewayPlan
from .gateway_plan import RunningGateway
from .kv import KvFaultSet
from .kv import PolledFakeKeyValue
from .recorders import ResponseRecorder
from .samplers import FakeSampler
from .samplers import FakeSamplerClient
from .samplers import SamplerCluster

POOL = "pool"
OTHER_POOL = "other"
APP = "app"
HOST = "host.example"
ROLLOUT_PREFIX = "/rollout/"
SCORE_PREFIX = "/score/"
PLAIN_PREFIX = "/plain/"
STREAM_PREFIX = "/stream/"
LEASE_TTL_S = 3.0
MAX_VALUE_BYTES = 1_048_576
LIST_UPDATE_INTERVAL_S = 0.3


class MemoryGatewayPeer:
    """A client with which one gateway calls the others, in memory."""

    def __init__(self, fleet: "GatewayFleet", name: str) -> None:
        """Call from the gateway `name` of a fleet."""
        self._fleet = fleet
        self._name = name

    async def call_kv(self, address: str, call: KvCall) -> KvReply | None:
        """Execute a call at a peer; None when it can't be reached."""
        await trio.sleep(0.001)
        running = self._fleet.running.get(address)
        if running is None or not self._fleet.can_connect(self._name, address):
            return None
        is_lost = running.coordinator.watch_relay.is_store_lost()
        return await execute_for_peer(
            running.kv, call, is_lost, PLATFORM_KEYS.conceal
        )

    async def follow(
        self, address: str, call: FollowCall
    ) -> FollowReply | None:
        """Follow a peer's watches; None when it doesn't reply in time."""
        await trio.sleep(0.001)
        running = self._fleet.running.get(address)
        if running is None or not self._fleet.can_connect(self._name, address):
            return None
        with trio.move_on_after(call.wait_s + REPLY_MARGIN_S):
            reply = await running.coordinator.watch_server.serve(call)
            if address in self._fleet.suspended:
                await trio.sleep_forever()
            return reply
        return None

    async def acquire_permit(
        self, address: str, call: PermitCall
    ) -> PermitReply | PeerFailure:
        """Ask a peer for a permit."""
        await trio.sleep(0.001)
        running = self._fleet.running.get(address)
        if not self._fleet.can_connect(self._name, address):
            await trio.sleep(PERMIT_TIMEOUT_S)
            return PeerFailure.SILENT
        if running is None:
            return PeerFailure.GONE
        return running.coordinator.limits.keeper.acquire(call)

    async def send_counts(
        self, address: str, message: CountsMessage
    ) -> CountsReceipt | None:
        """Send counts to a peer; None when it can't be reached."""
        await trio.sleep(0.001)
        running = self._fleet.running.get(address)
        if running is None or not self._fleet.can_connect(self._name, address):
            return None
        receipt = running.coordinator.duties.receive_counts(message)
        lost_share = self._fleet.plan.lost_count_share
        if lost_share and self._fleet.rng.random() < lost_share:
            return None
        return receipt

    async def copy_origins(
        self, address: str, origins: list[StreamOrigin]
    ) -> bool:
        """Store origins at a peer; False when it can't be reached."""
        await trio.sleep(0.001)
        running = self._fleet.running.get(address)
        if running is None or not self._fleet.can_connect(self._name, address):
            return False
        running.coordinator.origins.store_copies(origins)
        return True

    async def find_origin(
        self, address: str, call: FindOriginCall
    ) -> FindOriginReply | None:
        """Ask a peer for an origin; None when it can't be reached."""
        await trio.sleep(0.001)
        running = self._fleet.running.get(address)
        if running is None or not self._fleet.can_connect(self._name, address):
            return None
        return running.coordinator.origins.serve_find(call)

    async def fetch_results(
        self,
        address: str,
        submission: str,
        after: int,
        wait_s: float,
        organisation: str | None,
    ) -> ResultPage | None:
        """Return results; None when the peer is unreachable or lacks them."""
        await trio.sleep(0.001)
        running = self._fleet.running.get(address)
        if running is None or not self._fleet.can_connect(self._name, address):
            return None
        reader = running.coordinator.reader
        if not self._fleet.compares_organisations:
            page = await reader.read_local(submission, after, wait_s, None)
            if page is None or self._fleet.names_organisations:
                return page
            return ResultPage(page.total, page.results)
        return await reader.read_local(submission, after, wait_s, organisation)


class GatewayFleet:
    """Gateways over one store and one cluster of instances.

    Those in `isolated` can't connect to others, those in `partition` only to
    each other; those in `suspended` don't reply to their followers. Peers
    compare the organisations of submissions, and name them in pages of
    results, unless that is switched off.
    """

    def __init__(self, plan: GatewayPlan) -> None:
        """Create a fleet without running gateways."""
        self.plan = plan
        self.rng = Random(plan.seed)
        self.store = Store()
        self.cluster = SamplerCluster(self.rng)
        self.cloud = FakeCloud(Random(plan.seed), plan.require_fence)
        self.running: dict[str, RunningGateway] = {}
        self.isolated: set[str] = set()
        self.partition: set[str] = set()
        self.suspended: set[str] = set()
        self.compares_organisations = True
        self.names_organisations = True
        self.addresses: dict[str, str] = {}
        self.upstreams: dict[str, str] = {}
        self.listed_states: dict[str, str] = {}
        self.configuration_version = 0
        self._nursery: trio.Nursery | None = None
        self._incarnations = 0
        self._is_first_start = False

    async def start(self, nursery: trio.Nursery) -> None:
        """Write the configuration; start all instances and gateways."""
        self._nursery = nursery
        self.cloud.nursery = nursery
        self.write_configuration()
        for number in range(self.plan.samplers):
            self.add_sampler(f"s{number}", POOL)
        for number in range(self.plan.other_samplers):
            self.add_sampler(f"o{number}", OTHER_POOL)
        for number in range(self.plan.apps):
            self.add_sampler(f"a{number}", APP)
        nursery.start_soon(self._update_instance_list)
        self._is_first_start = self.plan.is_first_start
        for number in range(self.plan.gateways):
            self.start_gateway(f"g{number}")
        self._is_first_start = False
        await trio.sleep(1.5)

    def start_gateway(self, name: str) -> None:
        """Start a gateway's next incarnation."""
        assert self._nursery is not None
        self._incarnations += 1
        rng = Random(self.plan.seed * 1000 + self._incarnations)
        kv = PolledFakeKeyValue(self.store, KvFaultSet())
        scope = trio.CancelScope()

        def read_boot_s() -> float:
            return trio.current_time() + running.suspended_s

        coordinator = GatewayCoordinator(
            GatewayIdentity(
                name,
                "zone",
                name,
                LEASE_TTL_S,
                MAX_VALUE_BYTES,
                self.plan.result_retention_s,
                is_first_start=self._is_first_start,
                key_rules=self.plan.key_rules,
                duties=self.plan.duties,
            ),
            PLATFORM_KEYS,
            kv,
            FakeSamplerClient(self.cluster, name),
            MemoryGatewayPeer(self, name),
            Clocks(trio.current_time, read_boot_s),
            rng,
            FakeCloudClient(self.cloud, name),
        )
        running = RunningGateway(coordinator, kv, scope)
        self.running[name] = running
        self._nursery.start_soon(self._run, running)

    def kill_gateway(self, name: str) -> None:
        """Kill a gateway; no-op when it is not running."""
        running = self.running.pop(name, None)
        if running is None:
            return
        running.scope.cancel()
        for scope in running.requests:
            scope.cancel()

    def can_connect(self, first: str, second: str) -> bool:
        """Return whether two gateways can reach each other."""
        if (first in self.partition) != (second in self.partition):
            return False
        return first not in self.isolated and second not in self.isolated

    def find_holder(self, pool: str = POOL) -> str | None:
        """Return the gateway that holds a pool, or None."""
        for name, running in self.running.items():
            role = running.coordinator.holders.roles.get(pool)
            if role is not None and not role.lost:
                return name
        return None

    async def send_request(
        self, gateway: str, request: HttpRequest, timeout_s: float = 12.0
    ) -> ResponseRecorder | None:
        """Send a caller's request; None without a complete response."""
        running = self.running.get(gateway)
        recorder = ResponseRecorder()
        if running is None:
            return None
        with trio.move_on_after(timeout_s) as scope:
            running.requests.add(scope)
            try:
                await running.coordinator.handler.handle(request, recorder)
            finally:
                running.requests.discard(scope)
        if self.running.get(gateway) is not running or not recorder.complete:
            return None
        return recorder

    def add_sampler(
        self, name: str, upstream: str, software: str = "v1"
    ) -> None:
        """Add an instance to an upstream and list it.

        Those of pools have version 1 of each model.
        """
        sampler = FakeSampler(name, self.plan.slots, software=software)
        self.upstreams[name] = upstream
        if upstream != APP:
            sampler.versions = dict.fromkeys(self.plan.models, 1)
        else:
            sampler.queue = self.plan.queue
        self.cluster.samplers[name] = sampler
        self.write_instance(name, upstream)

    def remove_sampler(self, name: str) -> None:
        """Stop an instance and remove it from the list."""
        self.cluster.samplers[name].faults.down = True
        self.store.delete(const.PREFIX_INSTANCES + name)

    def write_named_version(self, model: str, version: int) -> None:
        """Write the version that a trainer names for a model."""
        value = msgspec.json.encode({"model": model, "version": version})
        self._write(const.PREFIX_VERSIONS + model, value)

    def write_configuration(self) -> None:
        """Write the next version of the operator's configuration."""
        self.configuration_version += 1
        routes = [
            make_route(HOST, "plain", PLAIN_PREFIX, "safe", APP),
            make_route(HOST, "score", SCORE_PREFIX, "safe", APP),
            {
                **make_route(HOST, "stream", STREAM_PREFIX, "safe", POOL),
                "stream": True,
                "resumable": self.plan.resumable,
            },
            {
                **make_route(
                    HOST,
                    "roll",
                    self.plan.rollout_prefix,
                    "rollout",
                    self.plan.rollout_upstream,
                ),
                "resultDueMs": 7500,
                "maxAgeS": self.plan.max_age_s,
                "maxAttempts": self.plan.max_attempts,
                "singleVersion": self.plan.single_version,
            },
        ]
        for route in routes:
            route["public"] = route["name"] in self.plan.public_routes
        pools = self.plan.pool_models or {POOL: self.plan.models}
        services: list[dict[str, object]] = [
            {
                "name": pool,
                "maxConns": 100,
                "engine": {"models": [{"name": model} for model in models]},
            }
            for pool, models in pools.items()
        ]
        services.append({"name": APP, "maxConns": 100})
        value = msgspec.json.encode(
            {
                "version": self.configuration_version,
                "routes": routes,
                "services": services,
                "limits": {},
                "tenants": self.plan.tenants,
            }
        )
        self._write(const.KEY_CONFIG, value)

    async def _run(self, running: RunningGateway) -> None:
        """Run one incarnation of a gateway until it is killed."""
        with running.scope:
            await running.coordinator.run()

    async def _update_instance_list(self) -> None:
        """Update the listed versions of the pool's instances forever."""
        while True:
            await trio.sleep(LIST_UPDATE_INTERVAL_S)
            for name, sampler in self.cluster.samplers.items():
                sampler.apply_due_orders(trio.current_time())
                key = const.PREFIX_INSTANCES + name
                if key in self.store.items and sampler.versions:
                    self.write_instance(name, self.upstreams[name])

    def write_instance(self, name: str, upstream: str) -> None:
        """Write an instance's entry in the list if it changed."""
        sampler = self.cluster.samplers[name]
        versions = sampler.versions.items()
        value = msgspec.json.encode(
            {
                "service": upstream,
                "address": self.addresses.get(name, "127.0.0.1:1"),
                "zone": "zone",
                "version": sampler.software,
                "slots": sampler.slots,
                "state": self.listed_states.get(name, "ready"),
                "born": sampler.started_ms,
                "models": [{"name": m, "version": v} for m, v in versions],
            }
        )
        key = const.PREFIX_INSTANCES + name
        known = self.store.items.get(key)
        if known is None or known.value != value:
            self._write(key, value)

    def _write(self, key: str, value: bytes) -> None:
        """Write a key as the operator or the platform does."""
        self.store.write(key, value, 0, trio.current_time())
