"""Guards that no random scenario reaches, each against a scripted peer."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from random import Random
from typing import Any
import zlib

import msgspec
from pistachiospar.adapters.http.address import Address
from pistachiospar.forwarding.health import InstanceHealth
from pistachiospar.pool_holders.models import Role
from pistachiospar.ports.kv import KvEvent
from pistachiospar.ports.kv import KvTransaction
from pistachiospar.ports.kv import KvWriteResult
from pistachiospar.ports.sampler import SamplerCall
from pistachiospar.ports.sampler import SamplerReport
from pistachiospar.ports.sampler import StreamEvent
from pistachiospar.routing.instances import ListedInstance
from pistachiospar.routing.models import CallKind
from pistachiospar.routing.models import Route
from pistachiospar.submissions.archive import Archive
from pistachiospar.submissions.checkpoints import CheckpointStore
from pistachiospar.submissions.checkpoints import Progress
from pistachiospar.submissions.checkpoints import restore_progress
from pistachiospar.submissions.commits import choose_batch
from pistachiospar.submissions.commits import ResultCommitter
from pistachiospar.submissions.const import PREFIX_SUBMISSIONS
from pistachiospar.submissions.keys import make_owner_key
from pistachiospar.submissions.keys import make_results_key
from pistachiospar.submissions.models import Item
from pistachiospar.submissions.models import OwnerRecord
from pistachiospar.submissions.models import SampleResult
from pistachiospar.submissions.models import Submission
from pistachiospar.submissions.ownership import OwnerStep
from pistachiospar.submissions.registry import ItemState
from pistachiospar.submissions.registry import make_submission_state
from pistachiospar.submissions.registry import SubmissionRegistry
from pistachiospar.submissions.registry import SubmissionState
from pistachiospar.submissions.runner import ItemRunner
from pistachiospar.telemetry.metrics import Metrics
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import POOL
from pistachiospar_standins.fakes.kv import FakeKeyValue
from pistachiospar_standins.fakes.kv import KvFaultSet
from pistachiospar_standins.fakes.samplers import FakeResponse
from pistachiospar_standins.kv.store import Store
from result import Ok
from result import Result
import trio

MIN_VERSION = 3
PART_BYTES = 20_000
ROUTE = Route("r", "h", "/", CallKind.ROLLOUT, (), 9.0, 1.0, 1, 3)
INSTANCE = ListedInstance("i-1", "u", Address("127.0.0.1", 1), "z", 4, False)
ITEM = Item("item", "/p", [], b"", "g", 9.0)
SUBMISSION = Submission("sub", "h", "/", "m", 1, MIN_VERSION, 1, [ITEM], 0.0)


class ScriptedSamplers:
    """Samplers that stream scripted events and record the calls."""

    def __init__(self, version: int, numbers: list[int]) -> None:
        """Initialize with the version and the event numbers to stream."""
        self._version = version
        self._numbers = numbers
        self.calls: list[SamplerCall] = []

    @asynccontextmanager
    async def call(
        self, instance: ListedInstance, call: SamplerCall
    ) -> AsyncIterator[FakeResponse]:
        """Respond to a call with the scripted stream."""
        self.calls.append(call)
        yield FakeResponse(
            200, stamp="s", version=self._version, events=self._iter_events()
        )

    async def fetch_report(
        self, instance: ListedInstance
    ) -> Result[SamplerReport, str]:
        """Return the report of an instance that has not restarted."""
        return Ok(SamplerReport(False, 0, 0, 0))

    async def _iter_events(self) -> AsyncIterator[StreamEvent]:
        for number in self._numbers:
            yield StreamEvent(number, f"e{number}")


class RecordingKv:
    """A key-value service that records transactions and lets them win."""

    def __init__(self) -> None:
        self.transactions: list[KvTransaction] = []

    async def commit(self, transaction: KvTransaction) -> Ok[KvWriteResult]:
        """Record a transaction and report that it won."""
        self.transactions.append(transaction)
        return Ok(KvWriteResult(True, 9))


async def run_item(
    version: int, numbers: list[int], state: ItemState
) -> tuple[SampleResult | None, ScriptedSamplers]:
    """Run an item once at an instance with scripted events."""
    samplers: Any = ScriptedSamplers(version, numbers)
    unused: Any = None
    runner = ItemRunner(
        samplers,
        unused,
        InstanceHealth(Random(1)),
        lambda host, path: ROUTE,
        lambda instance, model, version: None,
        Metrics(),
    )
    submission = make_submission_state(SUBMISSION, 0.0, 0.0, 9.0, 99.0)
    result = await runner.run(submission, state, INSTANCE, ROUTE, lambda: None)
    return result, samplers


async def check_ordered_stream() -> bool:
    """A stream in order becomes a result, labelled with its version."""
    result, _ = await run_item(4, [1, 2], ItemState(ITEM))
    return result is not None and result.versions == [4]


async def check_skipped_event() -> bool:
    """A stream that skips an event loses all its events."""
    state = ItemState(ITEM)
    result, _ = await run_item(4, [1, 3], state)
    return result is None and not state.events and state.last_event == 0


async def check_old_weights() -> bool:
    """Weights older than the minimum give no result and no event."""
    state = ItemState(ITEM)
    result, _ = await run_item(MIN_VERSION - 1, [1, 2], state)
    return result is None and not state.events


async def check_resumed_stream() -> bool:
    """A resumed item requests the events after its last one."""
    state = ItemState(ITEM, events=["e1"], last_event=1, versions=[3])
    result, samplers = await run_item(4, [2], state)
    after_event = samplers.calls[0].after_event
    return after_event == 1 and result is not None and result.text == "e1\ne2"


async def check_old_checkpoint() -> bool:
    """An item does not resume from events of too old weights."""
    old = Progress("item", ["e1"], [MIN_VERSION - 1])
    new = Progress("item", ["e1"], [MIN_VERSION])
    return not restore_progress(ItemState(ITEM), old, MIN_VERSION) and (
        restore_progress(ItemState(ITEM), new, MIN_VERSION)
    )


async def check_fenced_commit() -> bool:
    """A commit checks the holder's key, the owner and the position."""
    kv: Any = RecordingKv()
    registry = SubmissionRegistry()
    state = make_submission_state(SUBMISSION, 0.0, 0.0, 9.0, 99.0)
    registry.submissions["sub"] = state
    state.owner_revision = 23
    state.finish_item(SampleResult("item", True, "t", [3], "s"), 0.0)
    committer = ResultCommitter(
        kv,
        Archive(kv, 1000, Metrics()),
        registry,
        lambda submission: None,
        trio.current_time,
        Metrics(),
        Random(1),
    )
    await committer.flush(Role("p", "holder-key", 17, 1, 99.0))
    checks = {(c.key, c.revision) for c in kv.transactions[0].checks}
    expected = {
        ("holder-key", 17),
        (make_results_key("sub", 0), 0),
        (make_owner_key("sub"), 23),
    }
    return checks == expected and not choose_batch([state])


def make_progress(count: int, events: int) -> SubmissionState:
    """Return a submission whose items have events that don't compress."""
    rng = Random(count)
    items = [
        msgspec.structs.replace(ITEM, id=f"i{number}")
        for number in range(count)
    ]
    submission = msgspec.structs.replace(SUBMISSION, items=items)
    state = make_submission_state(submission, 0.0, 0.0, 9.0, 99.0)
    for item in state.items.values():
        item.events = [rng.randbytes(50).hex() for _ in range(events)]
        item.versions = [MIN_VERSION]
    return state


async def store_checkpoints(
    sizes: list[tuple[int, int]], lose_reply: bool = False
) -> tuple[dict[str, Progress] | None, SubmissionState, Store]:
    """Write checkpoints one after the other; return what is read then.

    `sizes` has the number of items and their events of each checkpoint; the
    reply to the first one is lost if `lose_reply`.
    """
    store = Store()
    store.write("holder-key", b"", 0, 0.0)
    role = Role("p", "holder-key", store.revision, 0, 1e9)
    kv = FakeKeyValue(store, KvFaultSet(lose_replies=int(lose_reply)))
    registry = SubmissionRegistry()
    checkpoints = CheckpointStore("p", kv, registry, PART_BYTES, Metrics())
    for count, events in sizes:
        state = make_progress(count, events)
        registry.submissions["sub"] = state
        await checkpoints.write_checkpoint(role)
    reader = CheckpointStore("p", kv, registry, PART_BYTES, Metrics())
    return await reader.load_checkpoint(), state, store


async def check_large_checkpoint() -> bool:
    """A checkpoint that is larger than one value is stored whole."""
    loaded, state, store = await store_checkpoints([(40, 30)])
    keys = [key for key in store.items if key.startswith("ps/p/p")]
    fits = all(len(store.items[key].value) <= PART_BYTES for key in keys)
    return (
        loaded is not None
        and len(keys) > 1
        and fits
        and {name: p.events for name, p in loaded.items()}
        == {name: item.events for name, item in state.items.items()}
    )


async def check_smaller_checkpoint() -> bool:
    """A smaller checkpoint leaves nothing of a larger one."""
    kept, state, _ = await store_checkpoints([(40, 30), (2, 3)])
    lost, _, _ = await store_checkpoints([(40, 30), (2, 3)], lose_reply=True)
    names = set(state.items)
    return set(kept or {}) == names and set(lost or {}) == names


async def check_overlapping_checkpoints() -> bool:
    """A late checkpoint doesn't replace the one of a stopping holder."""
    store = Store()
    store.write("holder-key", b"", 0, 0.0)
    role = Role("p", "holder-key", store.revision, 0, 1e9)
    delays_s = iter([1.5])
    faults = KvFaultSet(draw_delay_s=lambda: next(delays_s, 0.0))
    kv = FakeKeyValue(store, faults)
    registry = SubmissionRegistry()
    checkpoints = CheckpointStore("p", kv, registry, PART_BYTES, Metrics())
    registry.submissions["sub"] = make_progress(1, 2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(checkpoints.write_checkpoint, role)
        await trio.sleep(0.5)
        registry.submissions["sub"] = make_progress(1, 9)
        await checkpoints.write_checkpoint(role)
    loaded = await checkpoints.load_checkpoint()
    return loaded is not None and len(loaded["i0"].events) == 9


async def check_earlier_checkpoint() -> bool:
    """A checkpoint of an earlier build, a single value, is read."""
    store = Store()
    progress = Progress("i0", ["e1"], [MIN_VERSION])
    value = zlib.compress(msgspec.msgpack.encode([progress]), 1)
    store.write("ps/p/p", value, 0, 0.0)
    kv = FakeKeyValue(store, KvFaultSet())
    reader = CheckpointStore(
        "p", kv, SubmissionRegistry(), PART_BYTES, Metrics()
    )
    return await reader.load_checkpoint() == {"i0": progress}


async def load_with(valid_until: float) -> tuple[bool, list[str]]:
    """Load a submission under a role; return success and loaded ids."""
    fleet = GatewayFleet(GatewayPlan(gateways=1))
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        gateway = fleet.running["g0"].coordinator
        await gateway.hand_over()
        submission = msgspec.structs.replace(SUBMISSION, model="m0")
        stored = await gateway.archive.store_submission(
            submission, OwnerRecord(POOL, 1)
        )
        assert isinstance(stored, Ok), stored
        items = (await gateway.kv.list_items(PREFIX_SUBMISSIONS)).unwrap()[0]
        event = KvEvent(items[0].key, items[0].value, items[0].revision)
        pool = gateway.pools[POOL]
        role = Role(POOL, "holder-key", 1, 1, valid_until)
        pool.loader.apply_event(event)
        loaded = await pool.loader.take_step(
            SUBMISSION.id, OwnerStep.RUN, role
        )
        names = list(pool.registry.submissions)
        nursery.cancel_scope.cancel()
    return loaded, names


async def check_load_without_lease() -> bool:
    """Without a valid lease, new work is left to the next holder."""
    expired = await load_with(0.0)
    held = await load_with(1e9)
    return expired == (False, []) and held == (True, [SUBMISSION.id])


CASES: dict[str, Callable[[], Awaitable[bool]]] = {
    "a stream in order becomes a result": check_ordered_stream,
    "a stream that skips an event is discarded": check_skipped_event,
    "too old weights give no events": check_old_weights,
    "a stream resumes after its last event": check_resumed_stream,
    "a checkpoint of too old weights is ignored": check_old_checkpoint,
    "results are committed under the fence": check_fenced_commit,
    "new work needs a valid lease": check_load_without_lease,
    "a checkpoint larger than one value is stored whole": (
        check_large_checkpoint
    ),
    "a smaller checkpoint leaves nothing of a larger one": (
        check_smaller_checkpoint
    ),
    "a late checkpoint replaces no newer one": check_overlapping_checkpoints,
    "a checkpoint of an earlier build is read": check_earlier_checkpoint,
}


def run_case(name: str) -> bool:
    """Run a case in virtual time."""
    return run_virtual(CASES[name], 1, 60.0)
