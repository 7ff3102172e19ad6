"""Support upstream instances in memory that serve gateways directly.

They tell the truth of each run, so that tests can judge what callers got.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from random import Random

from pistachiospar.adapters.http.models import Headers
from pistachiospar.ports.sampler import InstanceLoad
from pistachiospar.ports.sampler import LoadOrder
from pistachiospar.ports.sampler import LoadOrderOutcome
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

EVENT_S = 0.03
LOAD_S = 0.9
LATE_S = 4.0
PLAIN_S = 0.03
PROMPT_HEADER = "Prompt"
STREAMED = ("/rollout/", "/stream/")


@dataclass(slots=True)
class SamplerFaults:
    """Set the faults of one instance."""

    down: bool = False
    slow: float = 1.0
    cut_share: float = 0.0
    lose_orders: float = 0.0
    error_share: float = 0.0


@dataclass(frozen=True, slots=True)
class SamplerPace:
    """Say how fast an instance is; times are in seconds.

    An event takes `event_s`, and `event_place_s` more for each place taken.
    A prompt is read once, in `prompt_s`. Loads take longer when more than
    `loads_at_once` run.
    """

    event_s: float = EVENT_S
    event_place_s: float = 0.0
    prompt_s: float = 0.0
    load_s: float = LOAD_S
    loads_at_once: int = 1_000_000

    def find_event_s(self, taken: int) -> float:
        """Return the time between two events of a text."""
        return self.event_s + self.event_place_s * taken

    def find_load_s(self, loading: int) -> float:
        """Return how long a load takes beside others."""
        return self.load_s * max(1.0, loading / self.loads_at_once)


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """Hold an order as it arrived; the time is in seconds."""

    at: float
    instance: str
    gateway: str
    fence: int
    taken: bool


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Hold the start of a run."""

    at: float
    call_id: str
    instance: str
    gateway: str


@dataclass(slots=True)
class FakeSampler:
    """Hold one instance's state."""

    name: str
    slots: int = 8
    versions: dict[str, int] = field(default_factory=dict)
    faults: SamplerFaults = field(default_factory=SamplerFaults)
    pace: SamplerPace = SamplerPace()
    prompts: set[str] = field(default_factory=set)
    fence: int = 0
    accepted: int = 0
    running: int = 0
    loading: tuple[float, LoadOrder] | None = None
    late: list[tuple[float, LoadOrder]] = field(default_factory=list)

    def settle(self, now: float) -> None:
        """Carry out what is due."""
        for at, order in list(self.late):
            if at <= now:
                self.late.remove((at, order))
                self.take(order, at)
        if self.loading is not None and self.loading[0] <= now:
            order = self.loading[1]
            self.versions[order.model] = order.version
            self.loading = None

    def take(
        self, order: LoadOrder, now: float, beside: int = 0
    ) -> LoadOrderOutcome:
        """Take an order, `beside` others, if its fence and count allow it."""
        if order.fence < self.fence:
            return LoadOrderOutcome.FENCED
        self.fence = order.fence
        if self.versions.get(order.model) == order.version:
            return LoadOrderOutcome.HOLDS
        if self.loading or order.accepted_orders != self.accepted:
            return LoadOrderOutcome.CONFLICT
        self.accepted += 1
        self.loading = (now + self.pace.find_load_s(beside + 1), order)
        self.prompts.clear()
        return LoadOrderOutcome.ACCEPTED


def make_output(item: str) -> list[str]:
    """Return the events that an item's text consists of."""
    count = 3 + xxhash.xxh64_intdigest(item.encode()) % 20
    return [f"{item}.{number}" for number in range(1, count + 1)]


def make_stamp(call_id: str) -> str:
    """Return the signature of an instance's answer."""
    return f"signed-{call_id}"


class SamplerWorld:
    """Hold all instances and what they saw."""

    def __init__(self, rng: Random) -> None:
        """Begin with none."""
        self.rng = rng
        self.samplers: dict[str, FakeSampler] = {}
        self.runs: list[RunRecord] = []
        self.orders: list[OrderRecord] = []
        self.make_output = make_output
        self.made: dict[str, dict[int, set[int]]] = {}
        self.ended_at: dict[str, float] = {}


class FakeAnswer:
    """Answer one call."""

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        not_run: bool = False,
        stamp: str = "",
        version: int | None = None,
        events: AsyncIterator[StreamEvent] | None = None,
    ) -> None:
        """Take what is answered."""
        self.status = status
        self.headers: Headers = []
        self.not_run = not_run
        self.stamp = stamp
        self.version = version
        self.load: InstanceLoad | None = None
        self._body = body
        self._events = events

    async def read_body(self) -> bytes:
        """Return the whole body."""
        return self._body

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        yield self._body

    async def iter_events(self) -> AsyncIterator[StreamEvent]:
        """Yield the events."""
        assert self._events is not None
        async for event in self._events:
            yield event


class FakeSamplers:
    """Reach the instances from one gateway."""

    def __init__(self, world: SamplerWorld, gateway: str) -> None:
        """Take the world."""
        self._world = world
        self._gateway = gateway

    @asynccontextmanager
    async def call(
        self, instance: ListedInstance, call: SamplerCall
    ) -> AsyncIterator[FakeAnswer]:
        """Make a call; leaving the context early cancels it."""
        sampler = self._find(instance)
        if sampler.faults.down:
            await trio.sleep(0.05)
            raise UpstreamNotSentError("down")
        await trio.sleep(0.001)
        if sampler.running >= sampler.slots:
            yield FakeAnswer(503, not_run=True)
            return
        sampler.running += 1
        try:
            yield await self._answer(sampler, call)
        finally:
            sampler.running -= 1

    async def order_load(
        self, instance: ListedInstance, order: LoadOrder
    ) -> LoadOrderOutcome:
        """Give an order; UNKNOWN may be carried out later."""
        sampler = self._find(instance)
        await trio.sleep(0.001)
        if sampler.faults.down:
            return LoadOrderOutcome.REFUSED
        now = trio.current_time()
        taken = order.fence >= sampler.fence
        self._world.orders.append(
            OrderRecord(now, sampler.name, self._gateway, order.fence, taken)
        )
        if self._world.rng.random() < sampler.faults.lose_orders:
            delay_s = self._world.rng.uniform(0.5, LATE_S)
            sampler.late.append((now + delay_s, order))
            await trio.sleep(1.0)
            return LoadOrderOutcome.UNKNOWN
        beside = sum(
            other.loading is not None
            for other in self._world.samplers.values()
        )
        return sampler.take(order, now, beside)

    async def fetch_report(
        self, instance: ListedInstance
    ) -> Result[SamplerReport, str]:
        """Return what the instance says of itself."""
        sampler = self._find(instance)
        await trio.sleep(0.001)
        if sampler.faults.down:
            return Err("down")
        return Ok(
            SamplerReport(
                sampler.loading is not None,
                sampler.accepted,
                sampler.running,
                0,
                dict(sampler.versions),
            )
        )

    def retain_only(self, names: set[str]) -> None:
        """Hold no connection, so that there is nothing to close."""

    def _find(self, instance: ListedInstance) -> FakeSampler:
        """Return the instance as it is now."""
        sampler = self._world.samplers[instance.name]
        sampler.settle(trio.current_time())
        return sampler

    async def _answer(
        self, sampler: FakeSampler, call: SamplerCall
    ) -> FakeAnswer:
        """Begin to run a call."""
        now = trio.current_time()
        record = RunRecord(now, call.request_id, sampler.name, self._gateway)
        self._world.runs.append(record)
        if self._world.rng.random() < sampler.faults.error_share:
            return FakeAnswer(500)
        if not call.target.startswith(STREAMED):
            await trio.sleep(PLAIN_S * sampler.faults.slow)
            self._maybe_cut(sampler)
            body = b"answer to " + call.body
            stamp = make_stamp(call.request_id)
            return FakeAnswer(200, body, stamp=stamp)
        model = call.target.split("/")[2]
        loading = sampler.loading
        if loading is not None and loading[1].model == model:
            return FakeAnswer(503, not_run=True)
        version = sampler.versions.get(model, 1)
        events = self._generate(sampler, model, call, version)
        stamp = make_stamp(call.request_id)
        return FakeAnswer(200, stamp=stamp, version=version, events=events)

    async def _generate(
        self, sampler: FakeSampler, model: str, call: SamplerCall, told: int
    ) -> AsyncIterator[StreamEvent]:
        """Make the events of an item."""
        output = self._world.make_output(call.request_id)
        await self._read_prompt(sampler, call)
        made = self._world.made.setdefault(call.request_id, {})
        for number in range((call.after_event or 0) + 1, len(output) + 1):
            event_s = sampler.pace.find_event_s(sampler.running)
            await trio.sleep(event_s * sampler.faults.slow)
            sampler.settle(trio.current_time())
            self._maybe_cut(sampler)
            version = sampler.versions.get(model, 1)
            made.setdefault(number, set()).add(version)
            changed = version if version != told else None
            told = version
            data = output[number - 1]
            raw = f"id: {number}\ndata: {data}\n\n".encode()
            yield StreamEvent(number, data, changed, raw)
        self._world.ended_at[call.request_id] = trio.current_time()

    async def _read_prompt(
        self, sampler: FakeSampler, call: SamplerCall
    ) -> None:
        """Read a prompt that the instance has not read yet."""
        prompt = dict(call.headers).get(PROMPT_HEADER, "")
        if prompt and prompt not in sampler.prompts:
            sampler.prompts.add(prompt)
            await trio.sleep(sampler.pace.prompt_s * sampler.faults.slow)

    def _maybe_cut(self, sampler: FakeSampler) -> None:
        """Break an answer off if the faults say so."""
        share = sampler.faults.cut_share
        if sampler.faults.down or self._world.rng.random() < share:
            raise UpstreamError("broken off")
