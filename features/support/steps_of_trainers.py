"""Support cases of trainers' steps, in virtual time."""

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
from pistachiospar_standins.fakes.fleet import FleetPlan
from pistachiospar_standins.fakes.fleet import MemoryFleet
from pistachiospar_standins.fakes.fleet import run_virtual
from pistachiospar_standins.fakes.sinks import AnswerExchange
from pistachiospar_standins.trainer.client import StepRecord
import trio

from .bundles import make_bundle

LIMIT_S = 3600.0
GROUPS = 12
SAMPLES = 4
TOKENS = 48
SOURCE = "http://127.0.0.1:1/weights/"


@dataclass(slots=True)
class StepCase:
    """Hold a fleet with one trainer and what it took."""

    fleet: MemoryFleet
    rng: Random
    record: StepRecord = field(default_factory=StepRecord)
    newest: int = 1
    accepted: dict[int, float] = field(default_factory=dict)
    complete: bool = False
    too_old: int = 0
    took_s: float = 0.0


Blow = Callable[[StepCase], Awaitable[None]]


async def call_trainer(
    case: StepCase, entry: str, method: str, target: str, body: bytes
) -> AnswerExchange | None:
    """Call an entry as the trainer; None when it is dead."""
    coordinator = case.fleet.entries.get(entry)
    if coordinator is None:
        return None
    path, _, query = target.partition("?")
    exchange = AnswerExchange()
    request = HttpRequest(method, path, query, {}, body)
    try:
        with trio.move_on_after(10.0):
            await coordinator.handler.handle(request, exchange)
    except RuntimeError:
        if case.fleet.entries.get(entry) is coordinator:
            raise
    if case.fleet.entries.get(entry) is not coordinator:
        return None
    return exchange if exchange.whole else None


async def announce(case: StepCase, version: int) -> None:
    """Announce weights until they are taken."""
    body = msgspec.json.encode(
        {"version": version, "source": f"{SOURCE}{version}"}
    )
    turn = 0
    while True:
        entry = f"entry-{turn % 2 + 1}"
        turn += 1
        target = "/trainers/routes/weights"
        answer = await call_trainer(case, entry, "POST", target, body)
        if answer is not None and answer.status == 202:
            case.newest = max(case.newest, version)
            return
        if answer is not None and answer.status == 409:
            return
        await trio.sleep(0.3)


async def run_step(
    case: StepCase, body: StepBody, lose_pulls: float = 0.0
) -> None:
    """Put a step and pull it through the entries in turn.

    A share of the answers to pulls is lost on the way to the trainer.
    """
    cursor = ""
    turn = 0
    data = msgspec.json.encode(body)
    target = "/trainers/routes/steps/s1"
    put = False
    while not case.complete:
        entry = f"entry-{turn % 2 + 1}"
        if not put:
            answer = await call_trainer(case, entry, "PUT", target, data)
            put = answer is not None and answer.status in (200, 201)
            if not put:
                turn += 1
                await trio.sleep(0.2)
                continue
        query = f"{target}/samples?cursor={cursor}&wait_ms=500&max=8"
        answer = await call_trainer(case, entry, "GET", query, b"")
        if answer is None or answer.status != 200:
            put = False
            turn += 1
            await trio.sleep(0.2)
            continue
        if case.rng.random() < lose_pulls:
            turn += 1
            continue
        pulled = msgspec.json.decode(answer.body, type=PullResponse)
        cursor = pulled.cursor
        take_samples(case, pulled)
        case.complete = pulled.complete
        if case.rng.random() < 0.3:
            turn += 1


def take_samples(case: StepCase, pulled: PullResponse) -> None:
    """Take the samples; judge their staleness at delivery."""
    for sample in pulled.samples:
        case.record.samples.append(sample)
        lag = case.newest - sample.find_oldest_version()
        case.record.lags.append(lag)


async def kill_owner(case: StepCase) -> None:
    """Kill the entry that owns the step."""
    case.fleet.kill_entry("entry-1")


async def restart_owner(case: StepCase) -> None:
    """Kill the owner and start it anew."""
    case.fleet.kill_entry("entry-1")
    await trio.sleep(0.3)
    case.fleet.start_entry("entry-1")


async def kill_executor(case: StepCase) -> None:
    """Kill the other entry."""
    case.fleet.kill_entry("entry-2")


async def kill_sidecar(case: StepCase) -> None:
    """Kill a sidecar and start it anew."""
    case.fleet.kill_sidecar("engine-1")
    await trio.sleep(0.5)
    await case.fleet.start_sidecar("engine-1")


async def crash_engine(case: StepCase) -> None:
    """Crash an engine; it comes back with nothing loaded."""
    case.fleet.engines["engine-2"].model.crash()
    await trio.sleep(0.7)
    case.fleet.engines["engine-2"].model.restart()


async def crash_to_old_version(case: StepCase) -> None:
    """Crash an engine; it is back at once, on an old version."""
    model = case.fleet.engines["engine-1"].model
    model.crash()
    model.restart()
    model.versions["routes"] = 1


async def cut_streams(case: StepCase) -> None:
    """Cut some streams of each engine."""
    for engine in case.fleet.engines.values():
        engine.model.settings.faults.cut_streams += 3


async def stop_key_value(case: StepCase) -> None:
    """Take the key-value service down for good."""
    case.fleet.kv_faults.down = True


async def change_weights(case: StepCase) -> None:
    """Announce the next version."""
    await announce(case, case.newest + 1)


async def fail_swaps(case: StepCase) -> None:
    """Let some swaps fail before, some after the switch."""
    for number, engine in enumerate(case.fleet.engines.values()):
        faults = engine.model.settings.faults
        faults.fail_swaps += 1 + number % 2
        faults.half_swaps += number % 2


async def slow_engine(case: StepCase) -> None:
    """Let an engine become twenty times slower."""
    engine = case.fleet.engines["engine-3"]
    engine.model.settings.faults.slow_factor = 20.0


async def silence_links(case: StepCase) -> None:
    """Let a sidecar's control channel fall silent for a while."""
    host = case.fleet.hosts["engine-1"]
    host.control_silent = True
    await trio.sleep(3.0)
    host.control_silent = False


BLOWS: dict[str, list[Blow]] = {
    "nothing": [],
    "the owner is killed": [kill_owner],
    "the owner is restarted": [restart_owner],
    "an executor is killed": [kill_executor],
    "a sidecar is killed": [kill_sidecar],
    "an engine crashes": [crash_engine],
    "an engine is back on an old version": [
        change_weights,
        crash_to_old_version,
    ],
    "streams are cut": [cut_streams],
    "the service is down": [stop_key_value],
    "weights change": [change_weights],
    "weights change twice": [change_weights, change_weights],
    "weights change and swaps fail": [fail_swaps, change_weights],
    "weights change and an engine crashes": [change_weights, crash_engine],
    "weights change and the owner is killed": [change_weights, kill_owner],
    "an engine is 20 times slower": [slow_engine],
    "a link falls silent": [silence_links],
    "the service is down and the owner is killed": [
        stop_key_value,
        kill_owner,
    ],
    "service, owner, sidecar and engine fail": [
        stop_key_value,
        kill_owner,
        kill_sidecar,
        crash_engine,
    ],
}


def make_step(groups: int = GROUPS, samples: int = SAMPLES) -> StepBody:
    """Return a step."""
    return StepBody(
        upstream="engine",
        weight_version=1,
        max_tokens=TOKENS,
        groups=[Group(f"g{n}", f"prompt {n}", samples) for n in range(groups)],
    )


def run_step_case(
    blow: str, seed: int, lose_pulls: float = 0.0, strike_after_s: float = 0.3
) -> StepCase:
    """Run one step that is struck in the middle."""

    async def work() -> StepCase:
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
            await announce(case, 1)
            await wait_loaded(case, 1)
            started = trio.current_time()
            async with trio.open_nursery() as both:
                both.start_soon(run_step, case, make_step(), lose_pulls)
                await trio.sleep(strike_after_s)
                for strike in BLOWS[blow]:
                    await strike(case)
            case.took_s = trio.current_time() - started
            nursery.cancel_scope.cancel()
        return case

    return run_virtual(work, seed, LIMIT_S)


async def wait_loaded(case: StepCase, version: int) -> None:
    """Wait until all engines hold a version."""
    while any(
        engine.model.versions.get("routes", 0) < version
        for engine in case.fleet.engines.values()
    ):
        await trio.sleep(0.1)
    await trio.sleep(1.5)
