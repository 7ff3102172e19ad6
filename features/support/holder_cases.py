"""Cases of a holder that is cut off from the store, or stops meanwhile."""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.gateway.diagnostics import dump_gateway
from pistachiospar.gateway.process import compute_handover_limit_s
from pistachiospar.submissions.archive import encode_results
from pistachiospar.submissions.const import MAX_CONCURRENT_LOADS
from pistachiospar.submissions.keys import make_results_key
from pistachiospar.submissions.keys import make_results_prefix
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import LEASE_TTL_S
from pistachiospar_standins.fakes.gateway_fleet import POOL
import trio

from .histories import make_history
from .histories import make_submission_request
from .submission_scenarios import read_page_at
from .submission_scenarios import submit


async def check_cut_holder(fleet: GatewayFleet) -> bool:
    """Check that a holder that is cut off from the store notices it soon.

    Its calls get no response and its watch stays silent, while its peers
    reach the store: a submission is loaded within 1.5 s, not only when the
    watch has timed out. It is repeated at five phases of the watch.
    """
    name = fleet.find_holder()
    assert name is not None
    other = next(n for n in fleet.running if n != name)
    faults = fleet.running[name].kv.faults
    registry = fleet.running[name].coordinator.pools[POOL].registry
    for phase in range(5):
        faults.latency_s, faults.silent_poll = 0.002, False
        await trio.sleep(6.0 + 0.5 * phase)
        faults.latency_s, faults.silent_poll = 3.0, True
        await trio.sleep(0.1)
        history = make_history(f"heard{phase}", 3)
        request = make_submission_request(history)
        await fleet.send_request(other, request)
        await trio.sleep(1.5)
        if f"heard{phase}" not in registry.submissions:
            return False
    return fleet.find_holder() == name


async def check_long_cut(fleet: GatewayFleet) -> bool:
    """Check that a holder that stays cut off commits without long pauses.

    Each call that tries the store itself again takes until its timeout.
    """
    name = fleet.find_holder()
    assert name is not None
    faults = fleet.running[name].kv.faults
    faults.latency_s, faults.silent_poll = 3.0, True
    await trio.sleep(4.0)
    other = next(n for n in fleet.running if n != name)
    for number in range(8):
        history = make_history(f"long{number}", 3)
        request = make_submission_request(history)
        await fleet.send_request(other, request)
        with trio.move_on_after(2.0):
            while True:
                page = await read_page_at(fleet, other, history)
                if page is not None and len(page.results) == 3:
                    break
                await trio.sleep(0.05)
        if page is None or len(page.results) < 3:
            return False
    return fleet.find_holder() == name


async def check_stop_in_outage(fleet: GatewayFleet) -> bool:
    """Check that a holder that stops in a store outage loses no work.

    It is terminated while its results can't be committed; the store is back
    before it has to exit.
    """
    name = fleet.find_holder()
    assert name is not None
    history = make_history("stopped", 12)
    await submit(fleet, history, Random(1))
    await trio.sleep(0.05)
    for running in fleet.running.values():
        running.kv.faults.down = True
    await trio.sleep(1.0)
    stopped = False

    async def stop() -> None:
        nonlocal stopped
        with trio.move_on_after(compute_handover_limit_s(8.0)):
            await fleet.running[name].coordinator.hand_over()
        fleet.kill_gateway(name)
        stopped = True

    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop)
        await trio.sleep(4.0)
        for running in fleet.running.values():
            running.kv.faults.down = False
    await trio.sleep(4.0)
    other = next(iter(fleet.running))
    page = await read_page_at(fleet, other, history)
    names = [item.id for item in history.submission.items]
    runs = [run for run in fleet.cluster.runs if run.call_id in names]
    done = page is not None and len(page.results) == 12
    return stopped and done and len(runs) == 12


async def check_holder_in_between(fleet: GatewayFleet) -> bool:
    """Guard: a role resumed with memory from before another holder.

    The holder hangs; another one takes the pool, lists results and gives the
    pool back. Then the first is back, before it could read of any of this:
    it has to load the submission anew.
    """
    name = fleet.find_holder()
    assert name is not None
    other, third = (n for n in fleet.running if n != name)
    fleet.kill_gateway(third)
    history = make_history("between", 12)
    await fleet.send_request(other, make_submission_request(history))
    await trio.sleep(0.05)
    submissions = fleet.running[name].coordinator.pools[POOL].registry
    state_before = submissions.submissions["between"]
    _hang(fleet, name, True)
    await _wait_until_holder(fleet, other)
    while not fleet.store.read(make_results_prefix("between"), "ps/s"):
        await trio.sleep(0.05)
    await fleet.running[other].coordinator.hand_over()
    fleet.kill_gateway(other)
    _hang(fleet, name, False)
    await trio.sleep(8.0)
    state_after = submissions.submissions["between"]
    page = await read_page_at(fleet, name, history)
    names = sorted(item.id for item in history.submission.items)
    return (
        fleet.find_holder() == name
        and state_after is not state_before
        and page is not None
        and sorted(result.id for result in page.results) == names
    )


async def check_lapsed_lease(fleet: GatewayFleet) -> bool:
    """Check that a holder keeps its work if its lease ended for nobody.

    The store is away from all until the lease has ended.
    """
    name = fleet.find_holder()
    assert name is not None
    history = make_history("lapsed", 12)
    await fleet.send_request(name, make_submission_request(history))
    await trio.sleep(0.05)
    submissions = fleet.running[name].coordinator.pools[POOL].registry
    state_before = submissions.submissions["lapsed"]
    fence_before = fleet.running[name].coordinator.holders.roles[POOL].fence
    for running in fleet.running.values():
        running.kv.faults.down = True
    await trio.sleep(LEASE_TTL_S + 1.0)
    for running in fleet.running.values():
        running.kv.faults.down = False
    await trio.sleep(2.0)
    return (
        fleet.find_holder() == name
        and fleet.running[name].coordinator.holders.roles[POOL].fence
        > fence_before
        and submissions.submissions["lapsed"] is state_before
    )


def _hang(fleet: GatewayFleet, name: str, hangs: bool) -> None:
    """Let a gateway learn nothing of the others and of the store, or again."""
    faults = fleet.running[name].kv.faults
    faults.latency_s = 3.0 if hangs else 0.002
    faults.silent_poll = hangs
    if hangs:
        fleet.isolated.add(name)
    else:
        fleet.isolated.discard(name)


async def _wait_until_holder(fleet: GatewayFleet, name: str) -> None:
    """Wait until a gateway has taken the pool."""
    while POOL not in fleet.running[name].coordinator.holders.roles:
        await trio.sleep(0.05)


async def check_damaged_submissions(fleet: GatewayFleet) -> bool:
    """Check that submissions with a hole are reported and block no other.

    There are more of them than a new holder loads at the same time.
    """
    names = [f"damaged{number}" for number in range(MAX_CONCURRENT_LOADS + 2)]
    for name in names:
        await submit(fleet, make_history(name, 3), Random(1))
        hole = make_results_key(name, 99)
        fleet.store.write(hole, encode_results([]), 0, trio.current_time())
    for name in list(fleet.running):
        fleet.kill_gateway(name)
        fleet.start_gateway(name)
    await trio.sleep(5.0)
    sound = make_history("sound", 3)
    await submit(fleet, sound, Random(1))
    await trio.sleep(5.0)
    page = await read_page_at(fleet, "g0", sound)
    request = HttpRequest("GET", f"/lots/{names[0]}", "", {"host": HOST})
    response = await fleet.send_request("g0", request)
    gateway = fleet.running["g0"].coordinator
    dump = dump_gateway(gateway, trio.current_time(), trio.current_time())
    return (
        page is not None
        and len(page.results) == 3
        and response is not None
        and response.status == 500
        and gateway.metrics.counts["submissions_damaged"] > 0
        and names[0] in dump.damaged_submissions
    )


async def check_long_ids(fleet: GatewayFleet) -> bool:
    """Guard: the keys of results are longer than those that were checked."""
    found: list[int] = []
    for length in (188, 189, 190, 191, 192):
        history = make_history("x" * length, 3)
        request = make_submission_request(history)
        response = await fleet.send_request("g0", request)
        found.append(response.status if response is not None else 0)
    return found == [202, 400, 400, 400, 400]


CASES: dict[str, Callable[[GatewayFleet], Awaitable[bool]]] = {
    "a holder that is cut off from the store notices it": check_cut_holder,
    "a holder that stays cut off commits without pauses": check_long_cut,
    "a holder that hung while another held the pool loads it anew": (
        check_holder_in_between
    ),
    "a holder whose lease ended for nobody keeps its work": check_lapsed_lease,
    "an id too long for the keys of results is refused": check_long_ids,
    "submissions with a hole block no others": check_damaged_submissions,
    "a holder that stops in a store outage loses no work": (
        check_stop_in_outage
    ),
}
