"""Crowds of several organisations and priorities at full instances."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import replace

from pistachiospar.forwarding.models import CallResponse
from pistachiospar.forwarding.models import ForwardCall
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import PLAIN_PREFIX
import trio

DURATION_S = 8.0
# Three instances run four calls of 0.12 s each.
SLOW_FACTOR = 4.0
CAPACITY_PER_S = 100.0
DEADLINE_S = 2.0
MAX_VIRTUAL_S = 60.0


@dataclass(frozen=True, slots=True)
class CallSource:
    """An organisation's calls, to one gateway if it is named.

    They come from `from_s` on; what is served counts one second later, once
    a share of another that was lent has returned.
    """

    organisation: str
    per_s: float
    min_served_per_s: float
    priority: int = 1
    from_s: float = 0.0
    max_served_per_s: float = CAPACITY_PER_S


async def run_sources(sources: tuple[CallSource, ...]) -> list[str]:
    """Send the calls of all sources; return which weren't served enough."""
    fleet = GatewayFleet(GatewayPlan(seed=7, samplers=1, apps=3, queue=4))
    served: Counter[CallSource] = Counter()

    async def send(source: CallSource, number: int, counts: bool) -> None:
        gateway = fleet.running[f"g{number % 3}"].coordinator
        route = gateway.directory.table.find_route(HOST, PLAIN_PREFIX + "x")
        assert route is not None
        call = ForwardCall(
            f"{source.organisation}{number}",
            replace(route, priority=source.priority),
            "POST",
            PLAIN_PREFIX + "x",
            [],
            b"body",
            trio.current_time() + DEADLINE_S,
            route.max_attempts,
            organisation=source.organisation,
        )
        outcome = await gateway.forwarder.forward(call)
        served[source] += counts and isinstance(outcome, CallResponse)

    async def run_source(source: CallSource, nursery: trio.Nursery) -> None:
        await trio.sleep(source.from_s)
        for number in range(int((DURATION_S - source.from_s) * source.per_s)):
            counts = number >= source.per_s
            nursery.start_soon(send, source, number, counts)
            await trio.sleep(1.0 / source.per_s)

    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        for name in ("a0", "a1", "a2"):
            fleet.cluster.samplers[name].faults.slow_factor = SLOW_FACTOR
        async with trio.open_nursery() as calls:
            for source in sources:
                calls.start_soon(run_source, source, calls)
        nursery.cancel_scope.cancel()
    found = []
    for source in sources:
        per_s = served[source] / (DURATION_S - source.from_s - 1.0)
        if not source.min_served_per_s <= per_s <= source.max_served_per_s:
            found.append(f"{source}: {per_s:.1f} served a second")
    return found


CASES: dict[str, tuple[CallSource, ...]] = {
    "two organisations get equal shares": (
        CallSource("a", 250.0, 40.0, max_served_per_s=60.0),
        CallSource("b", 150.0, 40.0, max_served_per_s=60.0),
    ),
    "an organisation within its share is served": (
        CallSource("a", 250.0, 65.0),
        CallSource("b", 20.0, 18.5),
    ),
    "lent room returns within a second": (
        CallSource("a", 250.0, 40.0),
        CallSource("b", 45.0, 38.0, from_s=4.0),
    ),
    "urgent calls go first, the others keep a floor": (
        CallSource("a", 250.0, 75.0, priority=0),
        CallSource("b", 150.0, 4.0, priority=2, max_served_per_s=20.0),
    ),
    "urgent calls within the room are all served": (
        CallSource("a", 60.0, 57.0, priority=0),
        CallSource("b", 150.0, 25.0, priority=2),
    ),
}


def run_case(name: str) -> list[str]:
    """Run a case in virtual time."""
    return run_virtual(lambda: run_sources(CASES[name]), 5, MAX_VIRTUAL_S)
