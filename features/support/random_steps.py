"""Support steps of trainers under random blows, by seed."""

from random import Random

from pistachiospar_standins.engine.core import EngineSettings
from pistachiospar_standins.fakes.fleet import FleetPlan
from pistachiospar_standins.fakes.fleet import MemoryFleet
from pistachiospar_standins.fakes.fleet import run_virtual
import trio

from .bundles import make_bundle
from .steps_of_trainers import announce
from .steps_of_trainers import Blow
from .steps_of_trainers import change_weights
from .steps_of_trainers import cut_streams
from .steps_of_trainers import LIMIT_S
from .steps_of_trainers import make_step
from .steps_of_trainers import run_step
from .steps_of_trainers import silence_links
from .steps_of_trainers import StepCase
from .steps_of_trainers import wait_loaded


async def bounce_entry(case: StepCase) -> None:
    """Kill an entry and start it anew."""
    name = case.rng.choice(["entry-1", "entry-2"])
    if name not in case.fleet.entries:
        return
    case.fleet.kill_entry(name)
    await trio.sleep(case.rng.uniform(0.0, 2.0))
    case.fleet.start_entry(name)


async def bounce_sidecar(case: StepCase) -> None:
    """Kill a sidecar and start it anew."""
    name = case.rng.choice(["engine-1", "engine-2", "engine-3"])
    if case.fleet.hosts[name].coordinator is None:
        return
    case.fleet.kill_sidecar(name)
    await trio.sleep(case.rng.uniform(0.0, 2.0))
    await case.fleet.start_sidecar(name)


async def bounce_engine(case: StepCase) -> None:
    """Crash an engine; it is back, maybe on an old version."""
    engine = case.rng.choice(list(case.fleet.engines.values()))
    engine.model.crash()
    await trio.sleep(case.rng.choice([0.0, case.rng.uniform(0.0, 2.0)]))
    engine.model.restart()
    if case.rng.random() < 0.5:
        old = case.rng.randint(1, case.newest)
        engine.model.versions["routes"] = old


async def bounce_service(case: StepCase) -> None:
    """Take the key-value service down for a while."""
    case.fleet.kv_faults.down = True
    await trio.sleep(case.rng.uniform(0.0, 4.0))
    case.fleet.kv_faults.down = False


async def spoil_swaps(case: StepCase) -> None:
    """Let swaps of an engine fail before or after the switch."""
    engine = case.rng.choice(list(case.fleet.engines.values()))
    faults = engine.model.settings.faults
    faults.fail_swaps += case.rng.randint(0, 2)
    faults.half_swaps += case.rng.randint(0, 2)


async def change_pace(case: StepCase) -> None:
    """Change the pace of an engine."""
    engine = case.rng.choice(list(case.fleet.engines.values()))
    factor = case.rng.choice([1.0, 3.0, 20.0])
    engine.model.settings.faults.slow_factor = factor


RANDOM_BLOWS: list[Blow] = [
    bounce_entry,
    bounce_sidecar,
    bounce_engine,
    bounce_service,
    spoil_swaps,
    change_pace,
    cut_streams,
    change_weights,
    change_weights,
    silence_links,
]


def run_random_step(seed: int) -> StepCase:
    """Run a step with random blows at random moments."""

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
            async with trio.open_nursery() as both:
                lose = case.rng.choice([0.0, 0.3])
                both.start_soon(run_step, case, make_step(8, 4), lose)
                for _ in range(case.rng.randint(1, 6)):
                    await trio.sleep(case.rng.uniform(0.0, 1.0))
                    both.start_soon(case.rng.choice(RANDOM_BLOWS), case)
            nursery.cancel_scope.cancel()
        return case

    return run_virtual(work, seed, LIMIT_S)


def find_broken(case: StepCase, samples: int) -> list[str]:
    """Return the promises that a step saw broken."""
    broken: list[str] = []
    names = {(s.group, s.index) for s in case.record.samples}
    if len(names) != samples or not case.complete:
        broken.append(f"{len(names)} samples of {samples}")
    if case.record.count_doubled():
        broken.append(f"{case.record.count_doubled()} doubled")
    if case.record.count_mislabelled():
        broken.append(f"{case.record.count_mislabelled()} mislabelled")
    if max(case.record.lags, default=0) > 1:
        broken.append(f"a lag of {max(case.record.lags)}")
    return broken
