"""Cases of open submissions whose route and model move to another pool.

Each guards against one of: items that nobody runs any more (LOST), an item
with two positions or a position that is gone (TWICE, LOST), and items that
run at a service that their route has left (CONFIG).
"""

from collections.abc import Awaitable
from collections.abc import Callable

from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import OTHER_POOL
from pistachiospar_standins.fakes.gateway_fleet import POOL
from pistachiospar_standins.fakes.gateway_plan import GatewayPlan
import trio

from .histories import make_history
from .histories import make_submission_request
from .submission_checks import check_submission
from .submission_checks import SubmissionHistory
from .submission_scenarios import read_page_at

MAX_VIRTUAL_S = 200.0
MODELS = ("m0", "m1")
ITEMS = 60
# Time that a position may be missing after it was read.
SETTLE_S = 1.0
MOVE_DELAY_S = 0.25


def move_route(fleet: GatewayFleet, upstream: str) -> None:
    """Write a configuration with route and models at one pool only."""
    fleet.plan.rollout_upstream = upstream
    fleet.plan.pool_models = {upstream: MODELS}
    fleet.write_configuration()


async def submit_at(fleet: GatewayFleet, name: str) -> SubmissionHistory:
    """Have a gateway accept a submission."""
    history = make_history(name, ITEMS)
    response = await fleet.send_request("g0", make_submission_request(history))
    history.accepted = response is not None and response.status == 202
    return history


async def read_until_done(
    fleet: GatewayFleet, history: SubmissionHistory, limit_s: float
) -> bool:
    """Read at all gateways in turn; return whether all holds.

    All results are listed in time, and no position is missing later than
    SETTLE_S after it was read.
    """
    until = trio.current_time() + limit_s
    read_at: dict[int, float] = {}
    while trio.current_time() < until:
        for name in list(fleet.running):
            asked_at = trio.current_time()
            page = await read_page_at(fleet, name, history)
            if page is None:
                continue
            settled = [
                n for n, at in read_at.items() if asked_at - at > SETTLE_S
            ]
            if len(page.results) <= max(settled, default=-1):
                print(f"{name} lists {len(page.results)}, read: {settled[-1]}")
                return False
            for position in range(len(page.results)):
                read_at.setdefault(position, asked_at)
        if len(read_at) == len(history.submission.items):
            break
        await trio.sleep(0.1)
    violations = check_submission(fleet, history)
    if violations:
        print(violations)
    return history.accepted and not violations


async def check_model_elsewhere(fleet: GatewayFleet) -> bool:
    """Guard: the pool that gets the model had dropped the submission."""
    fleet.plan.pool_models = {POOL: ("m0",), OTHER_POOL: ("m1",)}
    fleet.write_configuration()
    await trio.sleep(2.0)
    history = await submit_at(fleet, "moved")
    await trio.sleep(MOVE_DELAY_S)
    move_route(fleet, OTHER_POOL)
    return await read_until_done(fleet, history, 12.0)


async def check_new_pool(fleet: GatewayFleet) -> bool:
    """Guard: two holders ran a submission, each with a fence of its own."""
    history = await submit_at(fleet, "moved")
    await trio.sleep(MOVE_DELAY_S)
    move_route(fleet, OTHER_POOL)
    is_whole = await read_until_done(fleet, history, 12.0)
    later = await submit_at(fleet, "later")
    is_whole = await read_until_done(fleet, later, 6.0) and is_whole
    for name in list(fleet.running):
        await fleet.running[name].coordinator.hand_over()
        fleet.kill_gateway(name)
        await trio.sleep(0.3)
        fleet.start_gateway(name)
        await trio.sleep(2.0)
    return await read_until_done(fleet, history, 4.0) and is_whole


async def check_route_alone(fleet: GatewayFleet) -> bool:
    """Guard: items ran at the pool that serves the model, not the route's."""
    fleet.plan.pool_models = {POOL: MODELS, OTHER_POOL: MODELS}
    fleet.write_configuration()
    await trio.sleep(2.0)
    before = await submit_at(fleet, "before")
    await trio.sleep(MOVE_DELAY_S)
    fleet.plan.rollout_upstream = OTHER_POOL
    fleet.write_configuration()
    await trio.sleep(1.0)
    after = await submit_at(fleet, "after")
    is_whole = await read_until_done(fleet, after, 9.0)
    names = {item.id for item in after.submission.items}
    places = {
        fleet.upstreams[run.instance]
        for run in fleet.cluster.runs
        if run.call_id in names
    }
    is_whole = await read_until_done(fleet, before, 9.0) and is_whole
    return is_whole and places == {OTHER_POOL}


async def check_return(fleet: GatewayFleet) -> bool:
    """Check a route that moves away and back again, twice."""
    history = await submit_at(fleet, "moved")
    for upstream in (OTHER_POOL, POOL, OTHER_POOL, POOL):
        await trio.sleep(MOVE_DELAY_S)
        move_route(fleet, upstream)
    return await read_until_done(fleet, history, 15.0)


async def check_late_gateway(fleet: GatewayFleet, pool: str) -> bool:
    """Check a move that the holder of a pool learns of 2 s late.

    It also learns late of what the other holder writes.
    """
    await trio.sleep(1.0)
    fleet.plan.pool_models = {POOL: MODELS, OTHER_POOL: ("m2",)}
    fleet.write_configuration()
    await trio.sleep(2.0)
    late = fleet.find_holder(pool)
    assert late is not None
    history = await submit_at(fleet, "moved")
    await trio.sleep(MOVE_DELAY_S)
    faults = fleet.running[late].kv.faults
    faults.silent_poll = True
    fleet.isolated.add(late)
    move_route(fleet, OTHER_POOL)
    await trio.sleep(2.0)
    faults.silent_poll = False
    fleet.isolated.discard(late)
    return await read_until_done(fleet, history, 15.0)


async def check_late_former(fleet: GatewayFleet) -> bool:
    """Check a move that the former owner's holder learns of late."""
    return await check_late_gateway(fleet, POOL)


async def check_late_next(fleet: GatewayFleet) -> bool:
    """Check a move that the next owner's holder learns of late."""
    return await check_late_gateway(fleet, OTHER_POOL)


async def check_killed_holder(fleet: GatewayFleet, pool: str) -> bool:
    """Check a move beside the kill of a pool's holder."""
    history = await submit_at(fleet, "moved")
    await trio.sleep(MOVE_DELAY_S)
    move_route(fleet, OTHER_POOL)
    with trio.move_on_after(3.0):
        while (name := fleet.find_holder(pool)) is None:
            await trio.sleep(0.02)
    assert name is not None
    await trio.sleep(0.1)
    fleet.kill_gateway(name)
    await trio.sleep(1.0)
    fleet.start_gateway(name)
    return await read_until_done(fleet, history, 18.0)


async def check_killed_former(fleet: GatewayFleet) -> bool:
    """Check a move beside the kill of the former owner's holder."""
    return await check_killed_holder(fleet, POOL)


async def check_killed_next(fleet: GatewayFleet) -> bool:
    """Check a move beside the kill of the next owner's holder."""
    return await check_killed_holder(fleet, OTHER_POOL)


async def check_lost_claim(fleet: GatewayFleet) -> bool:
    """Check a move while the store loses every other reply to a write."""
    history = await submit_at(fleet, "moved")
    await trio.sleep(MOVE_DELAY_S)
    for running in fleet.running.values():
        running.kv.faults.lose_reply_every = 2
    move_route(fleet, OTHER_POOL)
    await trio.sleep(5.0)
    for running in fleet.running.values():
        running.kv.faults.lose_reply_every = 0
    return await read_until_done(fleet, history, 15.0)


async def check_no_pool_left(fleet: GatewayFleet) -> bool:
    """Guard: nobody ended items of a pool that is gone, after a restart."""
    fleet.plan.max_age_s = 4.0
    fleet.write_configuration()
    history = await submit_at(fleet, "orphan")
    await trio.sleep(MOVE_DELAY_S)
    fleet.plan.rollout_prefix = "/elsewhere/"
    move_route(fleet, OTHER_POOL)
    for name in list(fleet.running):
        fleet.kill_gateway(name)
        fleet.start_gateway(name)
    await trio.sleep(20.0)
    page = await read_page_at(fleet, "g0", history)
    return page is not None and len(page.results) == ITEMS


CASES: dict[str, Callable[[GatewayFleet], Awaitable[bool]]] = {
    "the model moves to a pool that knew others": check_model_elsewhere,
    "route and model move to a new pool": check_new_pool,
    "the route moves between pools with the same model": check_route_alone,
    "the route moves away and back, twice": check_return,
    "the former owner learns of the move late": check_late_former,
    "the next owner learns of the move late": check_late_next,
    "the former owner's holder is killed": check_killed_former,
    "the next owner's holder is killed": check_killed_next,
    "replies to claims are lost": check_lost_claim,
    "no pool of the model is left": check_no_pool_left,
}


def run_case(name: str, seed: int) -> bool:
    """Run a case on three gateways and two pools in virtual time."""

    async def work() -> bool:
        plan = GatewayPlan(seed=seed, other_samplers=4, models=MODELS)
        fleet = GatewayFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            passed = await CASES[name](fleet)
            nursery.cancel_scope.cancel()
        return passed

    return run_virtual(work, seed, MAX_VIRTUAL_S)
