"""Cases of a trainer's step under faults, in virtual time."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.trainers.models import Group
from pistachiospar.trainers.models import PullResponse
from pistachiospar.trainers.models import StepBody
from pistachiospar_standins.engine.core import EngineSettings
from pistachiospar_standins.fakes.entry_fleet import FleetPlan
from pistachiospar_standins.fakes.entry_fleet import MemoryFleet
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.recorders import ResponseRecorder
from pistachiospar_standins.trainer.client import StepRecord
import trio

from .bundles import make_bundle

MAX_VIRTUAL_S = 3600.0
GROUP_COUNT = 12
SAMPLES_PER_GROUP = 4
MAX_TOKENS = 48
WEIGHTS_URL = "http://127.0.0.1:1/weights/"


@dataclass(slots=True)
class StepCase:
    """Fleet with one trainer, and what the trainer received."""

    fleet: MemoryFleet
    rng: Random
    record: StepRecord = field(default_factory=StepRecord)
    newest_version: int = 1
    accepted: dict[int, float] = field(default_factory=dict)
    complete: bool = False
    too_old: int = 0
    took_s: float = 0.0


Fault = Callable[[StepCase], Awaitable[None]]


async def call_entry_as_trainer(
    case: StepCase, entry: str, method: str, target: str, body: bytes
) -> ResponseRecorder | None:
    """Call an entry as the trainer; None if it is down or times out."""
    coordinator = case.fleet.entries.get(entry)
    if coordinator is None:
        return None
    path, _, query = target.partition("?")
    recorder = ResponseRecorder()
    request = HttpRequest(method, path, query, {}, body)
    try:
        with trio.move_on_after(10.0):
            await coordinator.handler.handle(request, recorder)
    except RuntimeError:
        if case.fleet.entries.get(entry) is coordinator:
            raise
    if case.fleet.entries.get(entry) is not coordinator:
        return None
    return recorder if recorder.complete else None


async def announce_weights(case: StepCase, version: int) -> None:
    """Announce weights through both entries in turn until accepted."""
    body = msgspec.json.encode(
        {"version": version, "source": f"{WEIGHTS_URL}{version}"}
    )
    entry_turn = 0
    while True:
        entry = f"entry-{entry_turn % 2 + 1}"
        entry_turn += 1
        target = "/trainers/routes/weights"
        response = await call_entry_as_trainer(
            case, entry, "POST", target, body
        )
        if response is not None and response.status == 202:
            case.newest_version = max(case.newest_version, version)
            return
        if response is not None and response.status == 409:
            return
        await trio.sleep(0.3)


async def run_trainer(
    case: StepCase, body: StepBody, loss_share: float = 0.0
) -> None:
    """Put a step and pull it through both entries in turn until complete.

    A share of the responses to pulls is lost on the way to the trainer.
    """
    cursor = ""
    entry_turn = 0
    data = msgspec.json.encode(body)
    target = "/trainers/routes/steps/s1"
    is_put = False
    while not case.complete:
        entry = f"entry-{entry_turn % 2 + 1}"
        if not is_put:
            response = await call_entry_as_trainer(
                case, entry, "PUT", target, data
            )
            is_put = response is not None and response.status in (200, 201)
            if not is_put:
                entry_turn += 1
                await trio.sleep(0.2)
                continue
        query = f"{target}/samples?cursor={cursor}&wait_ms=500&max=8"
        response = await call_entry_as_trainer(case, entry, "GET", query, b"")
        if response is None or response.status != 200:
            is_put = False
            entry_turn += 1
            await trio.sleep(0.2)
            continue
        if case.rng.random() < loss_share:
            entry_turn += 1
            continue
        pulled = msgspec.json.decode(response.body, type=PullResponse)
        cursor = pulled.cursor
        record_samples(case, pulled)
        case.complete = pulled.complete
        if case.rng.random() < 0.3:
            entry_turn += 1


def record_samples(case: StepCase, pulled: PullResponse) -> None:
    """Record the samples and their version lag at delivery."""
    for sample in pulled.samples:
        case.record.samples.append(sample)
        lag = case.newest_version - sample.find_oldest_version()
        case.record.lags.append(lag)


async def kill_owner(case: StepCase) -> None:
    """Kill the entry that owns the step."""
    case.fleet.kill_entry("entry-1")


async def restart_owner(case: StepCase) -> None:
    """Kill the owner and start it again."""
    case.fleet.kill_entry("entry-1")
    await trio.sleep(0.3)
    case.fleet.start_entry("entry-1")


async def kill_executor(case: StepCase) -> None:
    """Kill the other entry."""
    case.fleet.kill_entry("entry-2")


async def kill_sidecar(case: StepCase) -> None:
    """Kill a sidecar and start it again."""
    case.fleet.kill_sidecar("engine-1")
    await trio.sleep(0.5)
    await case.fleet.start_sidecar("engine-1")


async def crash_engine(case: StepCase) -> None:
    """Crash an engine; it restarts with no weights loaded."""
    case.fleet.engines["engine-2"].model.crash()
    await trio.sleep(0.7)
    case.fleet.engines["engine-2"].model.restart()


async def crash_to_old_version(case: StepCase) -> None:
    """Crash an engine; it restarts at once with an old version."""
    model = case.fleet.engines["engine-1"].model
    model.crash()
    model.restart()
    model.versions["routes"] = 1


async def interrupt_streams(case: StepCase) -> None:
    """Interrupt the next three streams of each engine."""
    for engine in case.fleet.engines.values():
        engine.model.settings.faults.cut_streams += 3


async def stop_key_value(case: StepCase) -> None:
    """Take the key-value service down for good."""
    case.fleet.kv_faults.down = True


async def change_weights(case: StepCase) -> None:
    """Announce the next version."""
    await announce_weights(case, case.newest_version + 1)


async def fail_swaps(case: StepCase) -> None:
    """Let some swaps fail before and some after the switch of versions."""
    for number, engine in enumerate(case.fleet.engines.values()):
        faults = engine.model.settings.faults
        faults.fail_swaps += 1 + number % 2
        faults.half_swaps += number % 2


async def slow_engine(case: StepCase) -> None:
    """Make an engine twenty times slower."""
    engine = case.fleet.engines["engine-3"]
    engine.model.settings.faults.slow_factor = 20.0


async def silence_links(case: StepCase) -> None:
    """Silence a sidecar's control channel for 3 s."""
    host = case.fleet.hosts["engine-1"]
    host.control_silent = True
    await trio.sleep(3.0)
    host.control_silent = False


FAULTS: dict[str, list[Fault]] = {
    "nothing": [],
    "the owner is killed": [kill_owner],
    "the owner is restarted": [restart_owner],
    "an executor is killed": [kill_executor],
    "a sidecar is killed": [kill_sidecar],
    "an engine crashes": [crash_engine],
    "an engine restarts with an old version": [
        change_weights,
        crash_to_old_version,
    ],
    "streams are interrupted": [interrupt_streams],
    "the key-value service is down": [stop_key_value],
    "weights change": [change_weights],
    "weights change twice": [change_weights, change_weights],
    "weights change and swaps fail": [fail_swaps, change_weights],
    "weights change and an engine crashes": [change_weights, crash_engine],
    "weights change and the owner is killed": [change_weights, kill_owner],
    "an engine is 20 times slower": [slow_engine],
    "a link goes silent": [silence_links],
    "the key-value service is down and the owner is killed": [
        stop_key_value,
        kill_owner,
    ],
    "key-value service, owner, sidecar and engine fail": [
        stop_key_value,
        kill_owner,
        kill_sidecar,
        crash_engine,
    ],
}


def make_step_body(
    groups: int = GROUP_COUNT, samples: int = SAMPLES_PER_GROUP
) -> StepBody:
    """Return the definition of a step."""
    return StepBody(
        upstream="engine",
        weight_version=1,
        max_tokens=MAX_TOKENS,
        groups=[Group(f"g{n}", f"prompt {n}", samples) for n in range(groups)],
    )


def run_step_case(
    fault: str, seed: int, loss_share: float = 0.0, fault_after_s: float = 0.3
) -> StepCase:
    """Run one step and inject a fault `fault_after_s` after its start."""

    async def run_case() -> StepCase:
        plan = FleetPlan(
            make_bundle(),
            2,
            {"plain": 1, "engine": 3},
            slots=4,
            engine=EngineSettings(token_s=0.01, swap_s=0.2),
            seed=seed,
        )
        case = StepCase(MemoryFleet(plan), Random(seed))
        async with trio.open_nursery() as nursery:
            await case.fleet.start(nursery)
            await announce_weights(case, 1)
            await wait_until_loaded(case, 1)
            started_at = trio.current_time()
            async with trio.open_nursery() as tasks:
                tasks.start_soon(
                    run_trainer, case, make_step_body(), loss_share
                )
                await trio.sleep(fault_after_s)
                for inject_fault in FAULTS[fault]:
                    await inject_fault(case)
            case.took_s = trio.current_time() - started_at
            nursery.cancel_scope.cancel()
        return case

    return run_virtual(run_case, seed, MAX_VIRTUAL_S)


async def wait_until_loaded(case: StepCase, version: int) -> None:
    """Wait until all engines hold a version."""
    while any(
        engine.model.versions.get("routes", 0) < version
        for engine in case.fleet.engines.values()
    ):
        await trio.sleep(0.1)
    await trio.sleep(1.5)
