"""In-memory fakes of upstream instances that gateways call directly.

They record what each run really did, so that tests can check what callers
received.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from random import Random

from pistachiospar.ports.sampler import InstanceLoad
from pistachiospar.ports.sampler import LimitListener
from pistachiospar.ports.sampler import LoadOrder
from pistachiospar.ports.sampler import LoadOrderOutcome
from pistachiospar.ports.sampler import ProcessState
from pistachiospar.ports.sampler import SamplerCall
from pistachiospar.ports.sampler import SamplerReport
from pistachiospar.ports.sampler import StreamEvent
from pistachiospar.ports.upstream import UpstreamError
from pistachiospar.ports.upstream import UpstreamNotSentError
from pistachiospar.routing.instances import ListedInstance
from result import Err
from result import Ok
from result import Result
import trio
import xxhash

from .sampler_records import ArrivalRecord
from .sampler_records import CrashRecord
from .sampler_records import EVENT_INTERVAL_S
from .sampler_records import FakeResponse
from .sampler_records import make_load
from .sampler_records import make_stamp
from .sampler_records import OrderRecord
from .sampler_records import RunRecord
from .sampler_records import SamplerFaults
from .sampler_records import SamplerSpeed

MAX_ORDER_DELAY_S = 4.0
PLAIN_CALL_DURATION_S = 0.03
CRASH_DELAY_S = 0.05
QUEUE_POLL_S = 0.002
PROMPT_HEADER = "Prompt"
LeavingListener = Callable[[ListedInstance], None]
STREAMED_PREFIXES = ("/rollout/", "/stream/")


@dataclass(slots=True)
class FakeSampler:
    """The state of one instance.

    `loading` is a load in progress with the time of its end; `delayed_orders`
    are orders with a lost reply and the times at which they are applied;
    `software` is the version of its software, `started_ms` its start;
    `kv_used` and `kv_total` are what its reports say of its memory. With a
    `queue` that many calls wait for a slot, and plain responses tell the load.
    """

    name: str
    slots: int = 8
    queue: int = 0
    waiting: int = 0
    versions: dict[str, int] = field(default_factory=dict)
    faults: SamplerFaults = field(default_factory=SamplerFaults)
    speed: SamplerSpeed = SamplerSpeed()
    cached_prompts: set[str] = field(default_factory=set)
    fence: int = 0
    accepted_orders: int = 0
    running: int = 0
    software: str = "v1"
    started_ms: int = 1
    kv_used: int | None = None
    kv_total: int | None = None
    loading: tuple[float, LoadOrder] | None = None
    delayed_orders: list[tuple[float, LoadOrder]] = field(default_factory=list)

    @property
    def load(self) -> InstanceLoad | None:
        """The load that responses tell."""
        return make_load(self.queue, self.running, self.waiting, self.slots)

    def apply_due_orders(self, now: float) -> None:
        """Apply the delayed orders and finish the load that are due."""
        for due_at, order in list(self.delayed_orders):
            if due_at <= now:
                self.delayed_orders.remove((due_at, order))
                self.accept_order(order, due_at)
        if self.loading is not None and self.loading[0] <= now:
            order = self.loading[1]
            self.versions[order.model] = order.version
            self.loading = None

    def accept_order(
        self, order: LoadOrder, now: float, concurrent_loads: int = 0
    ) -> LoadOrderOutcome:
        """Accept a load order if its fencing token and order count allow it.

        `concurrent_loads` is the number of loads that run on all instances.
        """
        if order.fence < self.fence:
            return LoadOrderOutcome.FENCED
        self.fence = order.fence
        if self.versions.get(order.model) == order.version:
            return LoadOrderOutcome.HOLDS
        if self.loading or order.accepted_orders != self.accepted_orders:
            return LoadOrderOutcome.CONFLICT
        self.accepted_orders += 1
        self.loading = (
            now + self.speed.compute_load_duration_s(concurrent_loads + 1),
            order,
        )
        self.cached_prompts.clear()
        return LoadOrderOutcome.ACCEPTED


def make_output(item: str) -> list[str]:
    """Return the events of an item's text, derived from its id."""
    count = 3 + xxhash.xxh64_intdigest(item.encode()) % 20
    return [f"{item}.{number}" for number in range(1, count + 1)]


class SamplerCluster:
    """All instances and the calls and orders that they received.

    `generated_versions` is the weight versions that made each event of a
    call; `ended_at` is the time at which a call's text was complete;
    `generated_software` is the software versions that made each event;
    `told_at` is when a gateway first heard of an instance's limit. A call or
    item with one of `crashing_bodies` crashes each instance that runs it.
    """

    def __init__(self, rng: Random) -> None:
        """Create a cluster without instances."""
        self.rng = rng
        self.samplers: dict[str, FakeSampler] = {}
        self.runs: list[RunRecord] = []
        self.arrivals: list[ArrivalRecord] = []
        self.told_at: dict[tuple[str, str], float] = {}
        self.crashing_bodies: set[bytes] = set()
        self.crashes: list[CrashRecord] = []
        self.crash_delay_s = CRASH_DELAY_S
        self.orders: list[OrderRecord] = []
        self.make_output = make_output
        self.generated_versions: dict[str, dict[int, set[int]]] = {}
        self.generated_software: dict[str, dict[int, str]] = {}
        self.ended_at: dict[str, float] = {}


class FakeSamplerClient:
    """A client with which one gateway reaches the instances."""

    def __init__(self, cluster: SamplerCluster, gateway: str) -> None:
        """Connect a gateway to the cluster."""
        self._cluster = cluster
        self._gateway = gateway
        self._connected: set[str] = set()
        self.report_leaving: LeavingListener = lambda instance: None
        self.report_limit: LimitListener = lambda instance, limit, at: None

    def is_connected(self, instance: ListedInstance) -> bool:
        """Return whether this gateway called the instance before."""
        return instance.name in self._connected

    @asynccontextmanager
    async def call(
        self, instance: ListedInstance, call: SamplerCall
    ) -> AsyncIterator[FakeResponse]:
        """Make a call; leaving the context early cancels it.

        Raises UpstreamNotSentError when the instance is down, UpstreamError
        when the response is interrupted.
        """
        sampler = self._find_sampler(instance)
        if sampler.faults.down:
            await trio.sleep(0.05)
            raise UpstreamNotSentError("down")
        sent_at = trio.current_time()
        await trio.sleep(0.001)
        self._record_arrival(sampler, call.request_id)
        if (
            sampler.running >= sampler.slots
            and sampler.waiting >= sampler.queue
        ):
            self._report_limit(sampler, instance, sent_at)
            yield FakeResponse(503, not_run=True, load=sampler.load)
            return
        self._connected.add(sampler.name)
        await self._wait_for_slot(sampler)
        sampler.running += 1
        try:
            response = await self._start_run(sampler, call)
            self._report_limit(sampler, instance, sent_at)
            yield response
        finally:
            sampler.running -= 1

    async def order_load(
        self, instance: ListedInstance, order: LoadOrder
    ) -> LoadOrderOutcome:
        """Order a load; an order with outcome UNKNOWN is applied later."""
        sampler = self._find_sampler(instance)
        sent_at = trio.current_time()
        await trio.sleep(0.001)
        if sampler.faults.down:
            return LoadOrderOutcome.REFUSED
        now = trio.current_time()
        self._record_arrival(sampler)
        self._report_limit(sampler, instance, sent_at)
        fence_valid = order.fence >= sampler.fence
        self._cluster.orders.append(
            OrderRecord(
                now, sampler.name, self._gateway, order.fence, fence_valid
            )
        )
        if self._cluster.rng.random() < sampler.faults.lost_order_share:
            delay_s = self._cluster.rng.uniform(0.5, MAX_ORDER_DELAY_S)
            sampler.delayed_orders.append((now + delay_s, order))
            await trio.sleep(1.0)
            return LoadOrderOutcome.UNKNOWN
        concurrent_loads = sum(
            other.loading is not None
            for other in self._cluster.samplers.values()
        )
        return sampler.accept_order(order, now, concurrent_loads)

    async def fetch_report(
        self, instance: ListedInstance
    ) -> Result[SamplerReport, str]:
        """Return the instance's report, Err when it is down."""
        sampler = self._find_sampler(instance)
        sent_at = trio.current_time()
        await trio.sleep(0.001)
        if sampler.faults.down:
            return Err("down")
        self._record_arrival(sampler)
        self._report_limit(sampler, instance, sent_at)
        return Ok(
            SamplerReport(
                sampler.loading is not None,
                sampler.accepted_orders,
                sampler.running,
                0,
                dict(sampler.versions),
                sampler.started_ms,
                sampler.kv_used,
                sampler.kv_total,
            )
        )

    async def check_process(self, instance: ListedInstance) -> ProcessState:
        """Return whether the instance is down."""
        await trio.sleep(0.001)
        down = self._cluster.samplers[instance.name].faults.down
        return ProcessState.GONE if down else ProcessState.RUNNING

    def retain_only(self, names: set[str]) -> None:
        """Do nothing: there are no connections to close."""

    def _find_sampler(self, instance: ListedInstance) -> FakeSampler:
        """Return the instance after what is due by now, and its word."""
        sampler = self._cluster.samplers[instance.name]
        sampler.apply_due_orders(trio.current_time())
        if sampler.faults.leaving and not sampler.faults.down:
            self.report_leaving(instance)
        return sampler

    async def _wait_for_slot(self, sampler: FakeSampler) -> None:
        """Wait in the instance's queue until a slot is free."""
        sampler.waiting += 1
        try:
            while sampler.running >= sampler.slots:
                await trio.sleep(QUEUE_POLL_S)
        finally:
            sampler.waiting -= 1

    def _record_arrival(self, sampler: FakeSampler, call_id: str = "") -> None:
        """Record that a call, order or report of this gateway arrived."""
        self._cluster.arrivals.append(
            ArrivalRecord(
                trio.current_time(), sampler.name, self._gateway, call_id
            )
        )

    def _report_limit(
        self, sampler: FakeSampler, instance: ListedInstance, sent_at: float
    ) -> None:
        """Report the limit that a response names."""
        limit_per_s = sampler.faults.limit_per_s
        if limit_per_s is not None:
            key = (self._gateway, sampler.name)
            self._cluster.told_at.setdefault(key, trio.current_time())
        self.report_limit(instance, limit_per_s, sent_at)

    async def _start_run(
        self, sampler: FakeSampler, call: SamplerCall
    ) -> FakeResponse:
        """Start a run; return its response or the start of its stream."""
        now = trio.current_time()
        record = RunRecord(
            now,
            call.request_id,
            sampler.name,
            self._gateway,
            call.after_event,
            sampler.software,
            call.organisation,
            call.urgency,
        )
        self._cluster.runs.append(record)
        if call.body in self._cluster.crashing_bodies:
            await self._crash(sampler, call)
        if self._cluster.rng.random() < sampler.faults.error_share:
            return FakeResponse(500)
        if not call.target.startswith(STREAMED_PREFIXES):
            await trio.sleep(
                PLAIN_CALL_DURATION_S * sampler.faults.slow_factor
            )
            while sampler.faults.silent:
                await trio.sleep(EVENT_INTERVAL_S)
            self._maybe_interrupt(sampler)
            body = b"answer to " + call.body
            stamp = make_stamp(call.request_id)
            return FakeResponse(200, body, stamp=stamp, load=sampler.load)
        model = call.target.split("/")[2]
        loading = sampler.loading
        if loading is not None and loading[1].model == model:
            return FakeResponse(503, not_run=True)
        version = sampler.versions.get(model, 1)
        events = self._generate(sampler, model, call, version)
        stamp = make_stamp(call.request_id)
        return FakeResponse(200, stamp=stamp, version=version, events=events)

    async def _crash(self, sampler: FakeSampler, call: SamplerCall) -> None:
        """Crash the instance; its other calls are interrupted too."""
        await trio.sleep(self._cluster.crash_delay_s)
        if not sampler.faults.down:
            sampler.faults.down = True
            self._cluster.crashes.append(
                CrashRecord(
                    trio.current_time(), sampler.name, self._gateway, call.body
                )
            )
        raise UpstreamError("the instance crashed")

    async def _generate(
        self,
        sampler: FakeSampler,
        model: str,
        call: SamplerCall,
        reported_version: int,
    ) -> AsyncIterator[StreamEvent]:
        """Yield the events of an item.

        An event names its weight version when it differs from the last one
        reported.
        """
        output = self._cluster.make_output(call.request_id)
        await self._read_prompt(sampler, call)
        generated_versions = self._cluster.generated_versions.setdefault(
            call.request_id, {}
        )
        for number in range((call.after_event or 0) + 1, len(output) + 1):
            event_interval_s = sampler.speed.compute_event_interval_s(
                sampler.running
            )
            await trio.sleep(event_interval_s * sampler.faults.slow_factor)
            sampler.apply_due_orders(trio.current_time())
            self._maybe_interrupt(sampler)
            version = sampler.versions.get(model, 1)
            generated_versions.setdefault(number, set()).add(version)
            self._cluster.generated_software.setdefault(call.request_id, {})[
                number
            ] = sampler.software
            new_version = version if version != reported_version else None
            reported_version = version
            data = output[number - 1]
            raw = f"id: {number}\ndata: {data}\n\n".encode()
            yield StreamEvent(number, data, new_version, raw)
        self._cluster.ended_at[call.request_id] = trio.current_time()

    async def _read_prompt(
        self, sampler: FakeSampler, call: SamplerCall
    ) -> None:
        """Wait for the reading of a prompt that is not cached."""
        prompt = dict(call.headers).get(PROMPT_HEADER, "")
        if prompt and prompt not in sampler.cached_prompts:
            sampler.cached_prompts.add(prompt)
            await trio.sleep(
                sampler.speed.prompt_read_s * sampler.faults.slow_factor
            )

    def _maybe_interrupt(self, sampler: FakeSampler) -> None:
        """Raise UpstreamError when down or drawn by `truncated_share`."""
        probability = sampler.faults.truncated_share
        if sampler.faults.down or self._cluster.rng.random() < probability:
            raise UpstreamError("response interrupted")
