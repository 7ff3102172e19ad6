"""Support the guards that no tale reaches: each alone, by a scripted peer."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import msgspec
from pistachiospar.adapters.http.client import Address
from pistachiospar.forwarding.health import InstanceHealth
from pistachiospar.holding.models import Role
from pistachiospar.ports.kv import KvEvent
from pistachiospar.ports.kv import KvTransaction
from pistachiospar.ports.kv import KvWriteResult
from pistachiospar.ports.sampler import SamplerCall
from pistachiospar.ports.sampler import StreamEvent
from pistachiospar.routing.instances import ListedInstance
from pistachiospar.routing.models import CallKind
from pistachiospar.routing.models import Route
from pistachiospar.submissions.archive import Archive
from pistachiospar.submissions.board import Board
from pistachiospar.submissions.board import ItemState
from pistachiospar.submissions.board import make_state
from pistachiospar.submissions.checkpoints import adopt_progress
from pistachiospar.submissions.checkpoints import Progress
from pistachiospar.submissions.commits import choose_batch
from pistachiospar.submissions.commits import ResultCommitter
from pistachiospar.submissions.const import PREFIX_SUBMISSIONS
from pistachiospar.submissions.models import Item
from pistachiospar.submissions.models import SampleResult
from pistachiospar.submissions.models import Submission
from pistachiospar.submissions.runner import ItemRunner
from pistachiospar.telemetry.metrics import Metrics
from pistachiospar_standins.fakes.fleet import run_virtual
from pistachiospar_standins.fakes.gateways import GatewayFleet
from pistachiospar_standins.fakes.gateways import GatewayPlan
from pistachiospar_standins.fakes.gateways import POOL
from pistachiospar_standins.fakes.gateways import VALUE_BYTES
from pistachiospar_standins.fakes.samplers import FakeAnswer
from result import Ok
import trio

MIN_VERSION = 3
ROUTE = Route("r", "h", "/", CallKind.ROLLOUT, (), 9.0, 1.0, 1, 3)
INSTANCE = ListedInstance("i-1", "u", Address("127.0.0.1", 1), "z", 4, False)
ITEM = Item("item", "/p", [], b"", "g", 9.0)
SUBMISSION = Submission("sub", "h", "/", "m", 1, MIN_VERSION, 1, [ITEM], 0.0)


class ScriptedSamplers:
    """Answer with a script and keep the calls."""

    def __init__(self, version: int, numbers: list[int]) -> None:
        """Take the version and the numbers of the events."""
        self._version = version
        self._numbers = numbers
        self.calls: list[SamplerCall] = []

    @asynccontextmanager
    async def call(
        self, instance: ListedInstance, call: SamplerCall
    ) -> AsyncIterator[FakeAnswer]:
        """Answer a call."""
        self.calls.append(call)
        yield FakeAnswer(
            200, stamp="s", version=self._version, events=self._play()
        )

    async def _play(self) -> AsyncIterator[StreamEvent]:
        """Yield the events."""
        for number in self._numbers:
            yield StreamEvent(number, f"e{number}")


class KeepingKv:
    """Keep the transactions that are asked for."""

    def __init__(self) -> None:
        """Begin with none."""
        self.asked: list[KvTransaction] = []

    async def commit(self, transaction: KvTransaction) -> Ok[KvWriteResult]:
        """Keep a transaction and say that it won."""
        self.asked.append(transaction)
        return Ok(KvWriteResult(True, 9))


async def run_item(
    version: int, numbers: list[int], state: ItemState
) -> tuple[SampleResult | None, ScriptedSamplers]:
    """Run an item once at an instance that follows a script."""
    samplers: Any = ScriptedSamplers(version, numbers)
    nothing: Any = None
    runner = ItemRunner(
        samplers,
        nothing,
        InstanceHealth(Random(1)),
        lambda host, path: ROUTE,
        lambda instance, model, version: None,
        Metrics(),
    )
    board = make_state(SUBMISSION, 0.0, 0.0, 9.0, 99.0)
    result = await runner.run(board, state, INSTANCE, ROUTE, lambda: None)
    return result, samplers


async def whole_stream() -> bool:
    """A stream in order is a result, labelled with its version."""
    result, _ = await run_item(4, [1, 2], ItemState(ITEM))
    return result is not None and result.versions == [4]


async def gap_in_stream() -> bool:
    """A stream that skips an event voids what it gave."""
    state = ItemState(ITEM)
    result, _ = await run_item(4, [1, 3], state)
    return result is None and not state.events and state.last_event == 0


async def old_weights() -> bool:
    """Weights under the bound give no result and no event."""
    state = ItemState(ITEM)
    result, _ = await run_item(MIN_VERSION - 1, [1, 2], state)
    return result is None and not state.events


async def resumed() -> bool:
    """What is there is asked on from its last event."""
    state = ItemState(ITEM, events=["e1"], last_event=1, versions=[3])
    result, samplers = await run_item(4, [2], state)
    asked = samplers.calls[0].after_event
    return asked == 1 and result is not None and result.text == "e1\ne2"


async def old_checkpoint() -> bool:
    """What older weights made is not gone on from."""
    old = Progress("item", ["e1"], [MIN_VERSION - 1])
    new = Progress("item", ["e1"], [MIN_VERSION])
    return not adopt_progress(ItemState(ITEM), old, MIN_VERSION) and (
        adopt_progress(ItemState(ITEM), new, MIN_VERSION)
    )


async def fenced_commit() -> bool:
    """Results are written under the holder's key and an absent position."""
    kv: Any = KeepingKv()
    board = Board()
    state = make_state(SUBMISSION, 0.0, 0.0, 9.0, 99.0)
    board.submissions["sub"] = state
    state.finish(SampleResult("item", True, "t", [3], "s"), 0.0)
    committer = ResultCommitter(
        kv, Archive(kv, 1000), board, trio.current_time, Metrics(), Random(1)
    )
    await committer.flush(Role("p", "holder-key", 17, 1, 99.0))
    checks = {(c.key, c.revision) for c in kv.asked[0].checks}
    positions = [revision for key, revision in checks if key != "holder-key"]
    return (
        ("holder-key", 17) in checks
        and positions == [0]
        and not choose_batch([state])
    )


async def load_with(valid_until: float) -> tuple[bool, list[str]]:
    """Have a gateway load a submission under a role; return what came."""
    fleet = GatewayFleet(GatewayPlan(gateways=1))
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        gateway = fleet.running["g0"].coordinator
        await gateway.hand_over()
        submission = msgspec.structs.replace(SUBMISSION, model="m0")
        kept = await Archive(gateway.kv, VALUE_BYTES).accept(submission)
        assert isinstance(kept, Ok), kept
        items = (await gateway.kv.list_items(PREFIX_SUBMISSIONS)).unwrap()[0]
        event = KvEvent(items[0].key, items[0].value, items[0].revision)
        pool = gateway.pools[POOL]
        role = Role(POOL, "holder-key", 1, 1, valid_until)
        loaded = await pool.load(SUBMISSION.id, event, role)
        names = list(pool.board.submissions)
        nursery.cancel_scope.cancel()
    return loaded, names


async def load_without_lease() -> bool:
    """New work is left to whoever holds the pool by now."""
    lapsed = await load_with(0.0)
    held = await load_with(1e9)
    return lapsed == (False, []) and held == (True, [SUBMISSION.id])


CASES: dict[str, Callable[[], Awaitable[bool]]] = {
    "a stream in order is a result": whole_stream,
    "a stream that skips an event is void": gap_in_stream,
    "weights under the bound give nothing": old_weights,
    "a stream goes on after its last event": resumed,
    "a checkpoint of older weights is left": old_checkpoint,
    "results are written under the fence": fenced_commit,
    "new work needs a lease that holds": load_without_lease,
}


def run_case(name: str) -> bool:
    """Run a case in virtual time."""
    return run_virtual(CASES[name], 1, 60.0)
