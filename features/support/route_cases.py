"""Cases of submissions whose route an operator removes."""

from collections.abc import Awaitable
from collections.abc import Callable

from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import POOL
from pistachiospar_standins.fakes.gateway_fleet import ROLLOUT_PREFIX
import trio

from .histories import make_history
from .histories import make_submission_request
from .submission_checks import SubmissionHistory
from .submission_scenarios import read_page_at


async def _submit_pair(
    fleet: GatewayFleet,
) -> tuple[SubmissionHistory, SubmissionHistory]:
    """Submit two steps, then remove the route of the one due sooner."""
    dropped = make_history("dropped", 60, "m0")
    kept = make_history("kept", 24, "m1")
    for history in (dropped, kept):
        await fleet.send_request("g0", make_submission_request(history))
        await trio.sleep(0.1)
    fleet.plan.rollout_prefix = f"{ROLLOUT_PREFIX}m1/"
    fleet.write_configuration()
    return dropped, kept


async def _count_results(
    fleet: GatewayFleet, history: SubmissionHistory
) -> int:
    """Return how many results a gateway lists."""
    page = await read_page_at(fleet, "g0", history)
    return len(page.results) if page is not None else 0


async def check_kept_step(fleet: GatewayFleet) -> bool:
    """Guard: items of a removed route take all slots and never run."""
    dropped, kept = await _submit_pair(fleet)
    await trio.sleep(6.0)
    listed = await _count_results(fleet, kept)
    return listed == 24 and await _count_results(fleet, dropped) < 60


async def check_returning_route(fleet: GatewayFleet) -> bool:
    """Check that the items run once a route is there again."""
    dropped, _ = await _submit_pair(fleet)
    await trio.sleep(6.0)
    fleet.plan.rollout_prefix = ROLLOUT_PREFIX
    fleet.write_configuration()
    await trio.sleep(6.0)
    page = await read_page_at(fleet, "g0", dropped)
    return page is not None and [r.state for r in page.results] == (
        ["completed"] * 60
    )


async def check_idle_holder(fleet: GatewayFleet) -> bool:
    """Guard: a holder busy with starting what can't run."""
    dropped, _ = await _submit_pair(fleet)
    await trio.sleep(6.0)
    holder = fleet.running[fleet.find_holder() or "g0"].coordinator
    registry = holder.pools[POOL].registry
    passes = 0
    with trio.move_on_after(1.0):
        while True:
            await registry.changed.wait()
            passes += 1
    return await _count_results(fleet, dropped) < 60 and passes < 20


CASES: dict[str, Callable[[GatewayFleet], Awaitable[bool]]] = {
    "a step runs beside one whose route was removed": check_kept_step,
    "a step goes on when its route returns": check_returning_route,
    "a step without a route keeps no holder busy": check_idle_holder,
}
