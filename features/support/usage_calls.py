"""Which calls of callers are counted, and in which case nothing runs."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.models import HttpResponse
from pistachiospar.platform import const
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import PLAIN_PREFIX
from pistachiospar_standins.fakes.gateway_fleet import SCORE_PREFIX
from pistachiospar_standins.fakes.gateway_fleet import STREAM_PREFIX
import trio

from .caller_streams import make_stream_name
from .histories import make_history
from .histories import make_submission_request
from .usage_scenarios import SETTINGS
from .usage_scenarios import UsageRun
from .usage_scenarios import WINDOW_S

ORGANISATION = "org-a"
KEY = "key-a"
AUTHORIZATION = ("Authorization", f"Bearer {KEY}")
MAX_VIRTUAL_S = 120.0
UNTIL_REPORTED_S = 17.0
LONG_CALL_FACTOR = 400.0

Case = Callable[[GatewayFleet], Awaitable[object]]


def make_request(
    prefix: str, name: str, key: tuple[str, str], **headers: str
) -> HttpRequest:
    """Return a request with a key."""
    raw = [key, *((n.replace("_", "-"), v) for n, v in headers.items())]
    raw += [("Host", HOST), ("Request-Id", name), ("Deadline-Ms", "14000")]
    target = f"{prefix}m0/x"
    lower = {n.lower(): v for n, v in raw}
    return HttpRequest("POST", target, "", lower, b"x", raw, target)


async def call_plain(
    fleet: GatewayFleet, prefix: str = PLAIN_PREFIX, key: str = KEY
) -> HttpResponse | None:
    """Make a plain call."""
    authorization = ("Authorization", f"Bearer {key}")
    request = make_request(prefix, "call", authorization)
    got = await fleet.send_request("g0", request, 14.0)
    return None if got is None else HttpResponse(got.status, {}, got.body)


async def call_refused(fleet: GatewayFleet) -> None:
    """Call while all instances refuse calls."""
    for sampler in fleet.cluster.samplers.values():
        sampler.running = sampler.slots
    await call_plain(fleet)


async def call_refused_once(fleet: GatewayFleet) -> None:
    """Call while all instances refuse calls, but not for long."""
    samplers = list(fleet.cluster.samplers.values())
    for sampler in samplers:
        sampler.running = sampler.slots
    async with trio.open_nursery() as nursery:
        nursery.start_soon(call_plain, fleet)
        await trio.sleep(0.1)
        assert fleet.cluster.arrivals, "not refused"
        for sampler in samplers:
            sampler.running = 0


async def call_interrupted(fleet: GatewayFleet) -> None:
    """Call while all instances interrupt their responses."""
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.truncated_share = 1.0
    await call_plain(fleet)
    assert len(fleet.cluster.runs) > 1, "tried once"


async def call_and_leave(fleet: GatewayFleet) -> None:
    """Call, and disconnect while the call runs."""
    with trio.move_on_after(0.02):
        await call_plain(fleet)


async def call_long(fleet: GatewayFleet) -> None:
    """Make a call that runs until after its window's report."""
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.slow_factor = LONG_CALL_FACTOR
    await call_plain(fleet)


async def call_stream(fleet: GatewayFleet, truncated_share: float) -> None:
    """Make a stream, maybe interrupted at its instances."""
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.truncated_share = truncated_share
    name = make_stream_name(1)
    request = make_request(STREAM_PREFIX, name, AUTHORIZATION)
    await fleet.send_request("g0", request)


async def resume_stream(fleet: GatewayFleet) -> None:
    """Leave a stream, and resume it at another gateway."""
    name = make_stream_name(1)
    request = make_request(STREAM_PREFIX, name, AUTHORIZATION)
    await fleet.send_request("g0", request, 0.2)
    position = {"Resumes": name, "Last_Event_Id": "2"}
    request = make_request(STREAM_PREFIX, name, AUTHORIZATION, **position)
    await fleet.send_request("g1", request)
    assert fleet.cluster.runs[-1].after_event == 2, "not resumed"


async def submit_items(fleet: GatewayFleet) -> None:
    """Submit items, which have scoring calls, and wait for their end."""
    request = make_submission_request(make_history("items", 3))
    headers = {**request.headers, "authorization": AUTHORIZATION[1]}
    raw = list(headers.items())
    request = replace(request, headers=headers, raw_headers=raw)
    await fleet.send_request("g0", request)
    await trio.sleep(4.0)
    assert fleet.cluster.runs, "no item ran"


CASES: dict[str, Case] = {
    "plain": call_plain,
    "plain, on a public route": lambda f: call_plain(f, SCORE_PREFIX),
    "plain, with an unknown key": lambda f: call_plain(f, key="key-b"),
    "plain, refused by all instances": call_refused,
    "plain, refused once and then run": call_refused_once,
    "plain, tried several times": call_interrupted,
    "plain, its caller leaves": call_and_leave,
    "plain, longer than a window is open": call_long,
    "a stream": lambda f: call_stream(f, 0.0),
    "a stream, interrupted at an instance": lambda f: call_stream(f, 0.15),
    "a stream, resumed at another gateway": resume_stream,
    "items with scoring calls": submit_items,
}


def write_organisation(fleet: GatewayFleet) -> None:
    """Add an organisation to the configuration; scoring calls are public."""
    stored = fleet.store.items[const.KEY_CONFIG].value
    configuration = msgspec.json.decode(stored)
    configuration["version"] += 1
    for route in configuration["routes"]:
        route["public"] = route["prefix"] == SCORE_PREFIX
        route["timeoutMs"] = 14_000
    configuration["tenants"] = [{"name": ORGANISATION, "apiKeys": [KEY]}]
    encoded = msgspec.json.encode(configuration)
    fleet.store.write(const.KEY_CONFIG, encoded, 0, trio.current_time())


def run_case(case: str) -> int:
    """Run a case; return the number of calls in the reports."""
    plan = GatewayPlan(duties=SETTINGS, is_first_start=True, seed=3)

    async def work() -> int:
        fleet = GatewayFleet(plan)
        run = UsageRun(fleet, fleet.rng)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            write_organisation(fleet)
            await trio.sleep(1.0)
            await CASES[case](fleet)
            await trio.sleep(UNTIL_REPORTED_S)
            nursery.cancel_scope.cancel()
        return sum(
            sum(msgspec.json.decode(body)["counts"].values())
            for bodies in run.read_reports().values()
            for body in bodies
        )

    return run_virtual(work, plan.seed, MAX_VIRTUAL_S)


def find_idle_violations() -> list[str]:
    """Run gateways without duties; return what they did for them."""
    plan = GatewayPlan(gateways=2, samplers=0)

    async def work() -> list[str]:
        fleet = GatewayFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            write_organisation(fleet)
            await trio.sleep(1.0)
            await call_plain(fleet)
            await trio.sleep(3 * WINDOW_S)
            keys = [event.key for event in fleet.store.events]
            nursery.cancel_scope.cancel()
        found = [k for k in keys if k.startswith(("ps/u/", "ps/d/"))]
        found += [k for k in keys if "duty/" in k]
        return found + [a.subject for a in fleet.cloud.arrivals]

    return run_virtual(work, plan.seed, MAX_VIRTUAL_S)
