"""Trainers' steps under random faults, by seed."""

from random import Random

from pistachiospar_standins.engine.core import EngineSettings
from pistachiospar_standins.fakes.entry_fleet import FleetPlan
from pistachiospar_standins.fakes.entry_fleet import MemoryFleet
from pistachiospar_standins.fakes.entry_fleet import run_virtual
import trio

from .bundles import make_bundle
from .step_cases import announce_weights
from .step_cases import change_weights
from .step_cases import Fault
from .step_cases import interrupt_streams
from .step_cases import make_step_body
from .step_cases import MAX_VIRTUAL_S
from .step_cases import run_trainer
from .step_cases import silence_links
from .step_cases import StepCase
from .step_cases import wait_until_loaded


async def restart_entry(case: StepCase) -> None:
    """Kill an entry and start it again."""
    name = case.rng.choice(["entry-1", "entry-2"])
    if name not in case.fleet.entries:
        return
    case.fleet.kill_entry(name)
    await trio.sleep(case.rng.uniform(0.0, 2.0))
    case.fleet.start_entry(name)


async def restart_sidecar(case: StepCase) -> None:
    """Kill a sidecar and start it again."""
    name = case.rng.choice(["engine-1", "engine-2", "engine-3"])
    if case.fleet.hosts[name].coordinator is None:
        return
    case.fleet.kill_sidecar(name)
    await trio.sleep(case.rng.uniform(0.0, 2.0))
    await case.fleet.start_sidecar(name)


async def restart_engine(case: StepCase) -> None:
    """Crash an engine; it restarts, possibly with an old version."""
    engine = case.rng.choice(list(case.fleet.engines.values()))
    engine.model.crash()
    await trio.sleep(case.rng.choice([0.0, case.rng.uniform(0.0, 2.0)]))
    engine.model.restart()
    if case.rng.random() < 0.5:
        old = case.rng.randint(1, case.newest_version)
        engine.model.versions["routes"] = old


async def interrupt_key_value(case: StepCase) -> None:
    """Take the key-value service down for a while."""
    case.fleet.kv_faults.down = True
    await trio.sleep(case.rng.uniform(0.0, 4.0))
    case.fleet.kv_faults.down = False


async def fail_some_swaps(case: StepCase) -> None:
    """Let swaps of an engine fail before or after the switch of versions."""
    engine = case.rng.choice(list(case.fleet.engines.values()))
    faults = engine.model.settings.faults
    faults.fail_swaps += case.rng.randint(0, 2)
    faults.half_swaps += case.rng.randint(0, 2)


async def change_engine_speed(case: StepCase) -> None:
    """Change the speed of an engine."""
    engine = case.rng.choice(list(case.fleet.engines.values()))
    factor = case.rng.choice([1.0, 3.0, 20.0])
    engine.model.settings.faults.slow_factor = factor


RANDOM_FAULTS: list[Fault] = [
    restart_entry,
    restart_sidecar,
    restart_engine,
    interrupt_key_value,
    fail_some_swaps,
    change_engine_speed,
    interrupt_streams,
    change_weights,
    change_weights,
    silence_links,
]


def run_random_step(seed: int) -> StepCase:
    """Run a step with random faults at random times."""

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
            async with trio.open_nursery() as tasks:
                loss_share = case.rng.choice([0.0, 0.3])
                tasks.start_soon(
                    run_trainer, case, make_step_body(8, 4), loss_share
                )
                for _ in range(case.rng.randint(1, 6)):
                    await trio.sleep(case.rng.uniform(0.0, 1.0))
                    tasks.start_soon(case.rng.choice(RANDOM_FAULTS), case)
            nursery.cancel_scope.cancel()
        return case

    return run_virtual(run_case, seed, MAX_VIRTUAL_S)


def find_violations(case: StepCase, samples: int) -> list[str]:
    """Return the guarantees that a step violated."""
    violations: list[str] = []
    names = {(s.group, s.index) for s in case.record.samples}
    if len(names) != samples or not case.complete:
        violations.append(f"{len(names)} samples of {samples}")
    if case.record.count_duplicates():
        violations.append(f"{case.record.count_duplicates()} duplicated")
    if case.record.count_mislabelled():
        violations.append(f"{case.record.count_mislabelled()} mislabelled")
    if max(case.record.lags, default=0) > 1:
        violations.append(f"a lag of {max(case.record.lags)}")
    return violations
