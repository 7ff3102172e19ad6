"""Support weight rollouts over many samplers, in virtual time."""

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
from pistachiospar_standins.fakes.fleet import FleetPlan
from pistachiospar_standins.fakes.fleet import MemoryFleet
from pistachiospar_standins.fakes.fleet import run_virtual
from pistachiospar_standins.fakes.sinks import AnswerExchange
from pistachiospar_standins.fakes.upstreams import FakeEngine
import trio

from .bundles import make_bundle

LIMIT_S = 600.0
SAMPLERS = 15
URL = "http://127.0.0.1:9/weights/routes/"


@dataclass(slots=True)
class WeightsResult:
    """Hold what a rollout showed; times are in seconds."""

    took_s: float = 0.0
    store_reads: int = 0
    most_swapping: int = 0
    calls_done: int = 0
    calls: int = 0


Blow = Callable[[MemoryFleet], Awaitable[None]]


async def nothing(fleet: MemoryFleet) -> None:
    """Disturb nothing."""


async def kill_some(fleet: MemoryFleet) -> None:
    """Kill some sidecars just after the announcement; start them anew."""
    await trio.sleep(0.05)
    names = [n for n in fleet.hosts if n.startswith("engine")][:5]
    for name in names:
        fleet.kill_sidecar(name)
    await trio.sleep(1.0)
    for name in names:
        await fleet.start_sidecar(name)


async def stop_store(fleet: MemoryFleet) -> None:
    """Take the weight store down for a while."""
    fleet.weight_store.down = True
    await trio.sleep(3.0)
    fleet.weight_store.down = False


async def slow_store(fleet: MemoryFleet) -> None:
    """Let the store give one reading a second."""
    fleet.weight_store.reads_per_s = 1


BLOWS: dict[str, Blow] = {
    "nothing happens": nothing,
    "sidecars are restarted": kill_some,
    "the store is down for 3 s": stop_store,
    "the store gives 1 reading a second": slow_store,
}


def run_weights(blow: str) -> WeightsResult:
    """Announce version 2 while callers call; wait until all hold it."""

    async def work() -> WeightsResult:
        plan = FleetPlan(
            make_bundle(),
            2,
            {"plain": 1, "engine": SAMPLERS},
            engine=EngineSettings(swap_s=1.0),
        )
        fleet = MemoryFleet(plan)
        result = WeightsResult()
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await announce(fleet, 1)
            while not is_loaded(fleet, 1):
                await trio.sleep(0.1)
            await trio.sleep(3.0)
            fleet.weight_store.reads.clear()
            started = trio.current_time()
            await announce(fleet, 2)
            nursery.start_soon(BLOWS[blow], fleet)
            async with trio.open_nursery() as calls:
                while not is_loaded(fleet, 2):
                    calls.start_soon(complete, fleet, result)
                    swapping = sum(
                        engine.model.swapping is not None
                        for engine in fleet.engines.values()
                    )
                    most = max(result.most_swapping, swapping)
                    result.most_swapping = most
                    await trio.sleep(0.05)
                result.took_s = trio.current_time() - started
            result.store_reads = sum(fleet.weight_store.reads.values())
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(work, 5, LIMIT_S)


async def announce(fleet: MemoryFleet, version: int) -> None:
    """Announce weights."""
    body = f'{{"version": {version}, "source": "{URL}{version}"}}'
    request = HttpRequest(
        "POST", "/trainers/routes/weights", "", {}, body.encode()
    )
    await fleet.entries["entry-1"].handler.handle(request, AnswerExchange())


async def complete(fleet: MemoryFleet, result: WeightsResult) -> None:
    """Ask for a short completion."""
    headers = {"pistachiospar-caller": "kiosk"}
    body = b'{"prompt": "question", "max_tokens": 16}'
    target = "/upstreams/engine/v1/completions"
    request = HttpRequest("POST", target, "", headers, body)
    exchange = AnswerExchange()
    result.calls += 1
    await fleet.entries["entry-2"].handler.handle(request, exchange)
    result.calls_done += exchange.outcome == "done"


def is_loaded(fleet: MemoryFleet, version: int) -> bool:
    """Return whether all engines hold a version."""
    return all(
        engine.model.versions.get("routes", 0) >= version
        for engine in fleet.engines.values()
    )


def offer_orders(restart: bool) -> list[str]:
    """Offer newer and older orders to a sidecar; return its refusals."""

    async def work() -> list[str]:
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

    return run_virtual(work, 1, LIMIT_S)
