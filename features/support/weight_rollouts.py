"""Weight rollouts over many samplers under faults, in virtual time."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.link.messages import WeightOrder
from pistachiospar.sidecar.weights import WeightsCoordinator
from pistachiospar.telemetry.metrics import Metrics
from pistachiospar_standins.engine.core import EngineModel
from pistachiospar_standins.engine.core import EngineSettings
from pistachiospar_standins.fakes.entry_fleet import FleetPlan
from pistachiospar_standins.fakes.entry_fleet import MemoryFleet
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.recorders import ResponseRecorder
from pistachiospar_standins.fakes.upstreams import FakeEngine
import trio

from .bundles import make_bundle

MAX_VIRTUAL_S = 600.0
SAMPLER_COUNT = 15
WEIGHTS_URL = "http://127.0.0.1:9/weights/routes/"


@dataclass(slots=True)
class RolloutResult:
    """Measurements of a rollout.

    `max_swapping` is the most engines that swapped at once, `calls` counts
    the completions that callers requested meanwhile.
    """

    took_s: float = 0.0
    store_reads: int = 0
    max_swapping: int = 0
    calls_done: int = 0
    calls: int = 0


Fault = Callable[[MemoryFleet], Awaitable[None]]


async def inject_nothing(fleet: MemoryFleet) -> None:
    """Inject no fault."""


async def restart_sidecars(fleet: MemoryFleet) -> None:
    """Kill five sidecars just after the announcement; start them again."""
    await trio.sleep(0.05)
    names = [n for n in fleet.hosts if n.startswith("engine")][:5]
    for name in names:
        fleet.kill_sidecar(name)
    await trio.sleep(1.0)
    for name in names:
        await fleet.start_sidecar(name)


async def stop_store(fleet: MemoryFleet) -> None:
    """Take the weight store down for 3 s."""
    fleet.weight_store.down = True
    await trio.sleep(3.0)
    fleet.weight_store.down = False


async def limit_store(fleet: MemoryFleet) -> None:
    """Limit the weight store to one read per second."""
    fleet.weight_store.reads_per_s = 1


FAULTS: dict[str, Fault] = {
    "nothing happens": inject_nothing,
    "sidecars are restarted": restart_sidecars,
    "the store is down for 3 s": stop_store,
    "the store serves 1 read per second": limit_store,
}


def run_weight_rollout(fault: str) -> RolloutResult:
    """Announce version 2 while callers send calls; wait until all hold it."""

    async def run_rollout() -> RolloutResult:
        plan = FleetPlan(
            make_bundle(),
            2,
            {"plain": 1, "engine": SAMPLER_COUNT},
            engine=EngineSettings(swap_s=1.0),
        )
        fleet = MemoryFleet(plan)
        result = RolloutResult()
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await announce_weights(fleet, 1)
            while not is_loaded_everywhere(fleet, 1):
                await trio.sleep(0.1)
            await trio.sleep(3.0)
            fleet.weight_store.reads.clear()
            started_at = trio.current_time()
            await announce_weights(fleet, 2)
            nursery.start_soon(FAULTS[fault], fleet)
            async with trio.open_nursery() as calls:
                while not is_loaded_everywhere(fleet, 2):
                    calls.start_soon(request_completion, fleet, result)
                    swapping = sum(
                        engine.model.swapping is not None
                        for engine in fleet.engines.values()
                    )
                    peak = max(result.max_swapping, swapping)
                    result.max_swapping = peak
                    await trio.sleep(0.05)
                result.took_s = trio.current_time() - started_at
            result.store_reads = sum(fleet.weight_store.reads.values())
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(run_rollout, 5, MAX_VIRTUAL_S)


async def announce_weights(fleet: MemoryFleet, version: int) -> None:
    """Announce weights through one entry."""
    body = f'{{"version": {version}, "source": "{WEIGHTS_URL}{version}"}}'
    request = HttpRequest(
        "POST", "/trainers/routes/weights", "", {}, body.encode()
    )
    await fleet.entries["entry-1"].handler.handle(request, ResponseRecorder())


async def request_completion(
    fleet: MemoryFleet, result: RolloutResult
) -> None:
    """Request a short completion through the other entry and count it."""
    headers = {"pistachiospar-caller": "kiosk"}
    body = b'{"prompt": "question", "max_tokens": 16}'
    target = "/upstreams/engine/v1/completions"
    request = HttpRequest("POST", target, "", headers, body)
    recorder = ResponseRecorder()
    result.calls += 1
    await fleet.entries["entry-2"].handler.handle(request, recorder)
    result.calls_done += recorder.outcome == "done"


def is_loaded_everywhere(fleet: MemoryFleet, version: int) -> bool:
    """Return whether all engines hold a version or a newer one."""
    return all(
        engine.model.versions.get("routes", 0) >= version
        for engine in fleet.engines.values()
    )


def offer_weight_orders(restart: bool) -> list[str]:
    """Offer newer and older orders to a sidecar.

    Returns its refusals, empty for an accepted order, and at last the version
    that the engine holds.
    """

    async def offer_all() -> list[str]:
        engine = FakeEngine(EngineModel(EngineSettings(swap_s=0.1)))
        weights = WeightsCoordinator(engine, None, Metrics(), Random(1))
        refusals: list[str] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(weights.run_probe)
            nursery.start_soon(weights.run_swaps)
            now = trio.current_time()
            weights.handle_order(WeightOrder("routes", 5, "s", fence=50), now)
            await trio.sleep(1.0)
            if restart:
                weights = WeightsCoordinator(
                    engine, None, Metrics(), Random(1)
                )
                nursery.start_soon(weights.run_probe)
                nursery.start_soon(weights.run_swaps)
                await trio.sleep(1.5)
            for version, fence in ((4, 40), (6, 40), (6, 60)):
                order = WeightOrder("routes", version, "s", fence)
                refusals.append(
                    weights.handle_order(order, trio.current_time())
                )
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        return [*refusals, str(engine.model.versions["routes"])]

    return run_virtual(offer_all, 1, MAX_VIRTUAL_S)
