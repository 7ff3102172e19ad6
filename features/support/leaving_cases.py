"""Instances that announce in their responses that they are leaving.

Pattern: an instance is emptied, whatever the list says and whether or not
the gateway has contact to the store. After its first announcement nothing
new may be sent to it for the rest of its lifetime; its other calls go on.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from functools import partial

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import APP
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import PLAIN_PREFIX
from pistachiospar_standins.fakes.gateway_fleet import POOL
from pistachiospar_standins.fakes.gateway_fleet import STREAM_PREFIX
import trio

from .histories import make_history
from .histories import make_submission_request
from .submission_scenarios import read_page_at

GATEWAY = "g0"
CALL_COUNT = 12
LEAVING = ("s0", "a0")
MAX_VIRTUAL_S = 120.0
ITEMS = "items and scoring calls"
CUT_OFF_S = 1.5


async def send_call(fleet: GatewayFleet, prefix: str, call_id: str) -> int:
    """Send a caller's request; return the status, 0 for none."""
    path = f"{prefix}m0/{call_id}"
    request = HttpRequest(
        "POST",
        path,
        "",
        {"host": HOST, "request-id": call_id, "deadline-ms": "2000"},
        b"body",
        target=path,
    )
    response = await fleet.send_request(GATEWAY, request)
    return response.status if response is not None else 0


async def send_calls(fleet: GatewayFleet, prefix: str, name: str) -> list[int]:
    """Send calls at the same time; return their statuses."""
    statuses: list[int] = []

    async def send(number: int) -> None:
        statuses.append(await send_call(fleet, prefix, f"{name}{number}"))

    async with trio.open_nursery() as nursery:
        for number in range(CALL_COUNT):
            nursery.start_soon(send, number)
    return statuses


async def call_plain(fleet: GatewayFleet, name: str) -> bool:
    """Make plain calls, some of which are hedged."""
    statuses = await send_calls(fleet, PLAIN_PREFIX, name)
    return statuses == [200] * CALL_COUNT


async def call_stream(fleet: GatewayFleet, name: str) -> bool:
    """Make calls with streamed responses, some of which are resumed."""
    statuses = await send_calls(fleet, STREAM_PREFIX, name)
    return statuses == [200] * CALL_COUNT


async def submit_items(
    fleet: GatewayFleet,
    name: str,
    handle_cut: Callable[[], None] | None = None,
) -> bool:
    """Submit items with scoring calls; return whether all are listed.

    With `handle_cut` the gateway is out of touch once they are accepted and
    loaded, and goes on to start items within its lease; `handle_cut` is
    called then.
    """
    history = make_history(name, 24)
    await fleet.send_request(GATEWAY, make_submission_request(history))
    await trio.sleep(0.1)
    if handle_cut is not None:
        fleet.running[GATEWAY].kv.faults.down = True
        handle_cut()
        await trio.sleep(CUT_OFF_S)
        fleet.running[GATEWAY].kv.faults.down = False
    with trio.move_on_after(20.0):
        while len(history.results) < 24:
            await read_page_at(fleet, GATEWAY, history)
            await trio.sleep(0.1)
    return len(history.results) == 24


PATHS: dict[str, Callable[[GatewayFleet, str], Awaitable[bool]]] = {
    "plain calls": call_plain,
    "streams": call_stream,
    ITEMS: submit_items,
}


async def announce_leaving(fleet: GatewayFleet, path: str) -> None:
    """Use a path until each leaving instance has announced it there."""
    for name in LEAVING:
        fleet.cluster.samplers[name].faults.leaving = True
    await PATHS[path](fleet, "first")
    # Calls that were under way when the first announcement came.
    await trio.sleep(1.0)


def change_list(fleet: GatewayFleet, listed: str) -> None:
    """Let the list call the leaving instances ready, draining or gone."""
    for name, upstream in zip(LEAVING, (POOL, APP), strict=True):
        if listed == "gone":
            fleet.store.delete(f"servers/{name}")
        elif listed != "ready":
            fleet.listed_states[name] = listed
            fleet.write_instance(name, upstream)


def count_runs(fleet: GatewayFleet) -> int:
    """Return how many calls reached the leaving instances."""
    return sum(run.instance in LEAVING for run in fleet.cluster.runs)


async def check_path(
    fleet: GatewayFleet, path: str, contact: str, listed: str
) -> bool:
    """Return whether nothing new reaches an instance that is leaving."""
    await announce_leaving(fleet, path)
    before = count_runs(fleet)
    call = PATHS[path]
    change = partial(change_list, fleet, listed)
    if contact == "none" and path == ITEMS:
        # Submissions are accepted only in touch.
        call = partial(submit_items, handle_cut=change)
    else:
        fleet.running[GATEWAY].kv.faults.down = contact == "none"
        change()
    served = await call(fleet, "second")
    await trio.sleep(5.0)
    served = served and await call(fleet, "third")
    return before > 0 and served and count_runs(fleet) == before


async def check_next_lifetime(fleet: GatewayFleet, path: str) -> bool:
    """Return whether a new lifetime under the same name is used again."""
    await announce_leaving(fleet, path)
    for name, upstream in zip(LEAVING, (POOL, APP), strict=True):
        fleet.store.delete(f"servers/{name}")
        fleet.cluster.samplers[name].faults.leaving = False
        fleet.cluster.samplers[name].started_ms = 2
        fleet.write_instance(name, upstream)
    await trio.sleep(0.5)
    before = count_runs(fleet)
    await PATHS[path](fleet, "second")
    return count_runs(fleet) > before


async def check_returned_entry(fleet: GatewayFleet, path: str) -> bool:
    """Return whether the same lifetime stays out when its entry returns."""
    await announce_leaving(fleet, path)
    before = count_runs(fleet)
    for name, upstream in zip(LEAVING, (POOL, APP), strict=True):
        fleet.store.delete(f"servers/{name}")
        await trio.sleep(0.5)
        fleet.write_instance(name, upstream)
    await trio.sleep(0.5)
    await PATHS[path](fleet, "second")
    return count_runs(fleet) == before


async def check_all_leaving(fleet: GatewayFleet) -> bool:
    """Return whether calls are refused at once when all are leaving."""
    for name in ("a0", "a1"):
        fleet.cluster.samplers[name].faults.leaving = True
    await call_plain(fleet, "first")
    started_at = trio.current_time()
    statuses = [await send_call(fleet, PLAIN_PREFIX, f"r{n}") for n in "123"]
    return statuses == [503] * 3 and trio.current_time() - started_at < 0.1


async def check_running_items(fleet: GatewayFleet) -> bool:
    """Return whether items at an instance that leaves run to their end."""
    history = make_history("running", 6)
    await fleet.send_request(GATEWAY, make_submission_request(history))
    await trio.sleep(0.1)
    fleet.cluster.samplers["s0"].faults.leaving = True
    fleet.cluster.samplers["s1"].faults.leaving = True
    await submit_items(fleet, "running")
    names = {item.id for item in history.submission.items}
    runs = [run for run in fleet.cluster.runs if run.call_id in names]
    return len(runs) == 6


async def check_load_orders(fleet: GatewayFleet) -> bool:
    """Return whether an instance gets no order after it said so."""
    fleet.cluster.samplers["s0"].faults.leaving = True
    fleet.write_named_version("m0", 2)
    await submit_items(fleet, "first")
    before = sum(o.instance == "s0" for o in fleet.cluster.orders)
    fleet.write_named_version("m0", 3)
    await trio.sleep(5.0)
    after = sum(o.instance == "s0" for o in fleet.cluster.orders)
    is_current = fleet.cluster.samplers["s1"].versions["m0"] == 3
    return is_current and after == before


def run_fleet(check: Callable[[GatewayFleet], Awaitable[bool]]) -> bool:
    """Run a check with one gateway and two instances an upstream."""

    async def run() -> bool:
        fleet = GatewayFleet(
            GatewayPlan(gateways=1, samplers=2, models=("m0",), seed=3)
        )
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            passed = await check(fleet)
            nursery.cancel_scope.cancel()
        return passed

    return run_virtual(run, 1, MAX_VIRTUAL_S)


def run_path_case(path: str, contact: str, listed: str) -> bool:
    """Run one row of the table of paths."""
    return run_fleet(lambda fleet: check_path(fleet, path, contact, listed))


def run_lifetime_case(path: str, lifetime: str) -> bool:
    """Run one row of the table of lifetimes."""
    check = LIFETIMES[lifetime]
    return run_fleet(lambda fleet: check(fleet, path))


LIFETIMES: dict[str, Callable[[GatewayFleet, str], Awaitable[bool]]] = {
    "the next lifetime is used": check_next_lifetime,
    "the same one stays out": check_returned_entry,
}
CASES: dict[str, Callable[[GatewayFleet], Awaitable[bool]]] = {
    "all instances of an upstream leave": check_all_leaving,
    "items that run there go on": check_running_items,
    "no weights are loaded there": check_load_orders,
}
