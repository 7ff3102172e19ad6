"""Cases that a small fleet of gateways runs in virtual time."""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import APP
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import PLAIN_PREFIX
from pistachiospar_standins.fakes.gateway_fleet import STREAM_PREFIX
from pistachiospar_standins.fakes.recorders import ResponseRecorder
from pistachiospar_standins.fakes.samplers import make_output
import trio

from . import holder_cases
from . import memory_cases
from . import route_cases
from .histories import make_history
from .histories import make_submission_request
from .submission_checks import SubmissionHistory
from .submission_scenarios import end_submission
from .submission_scenarios import read_page
from .submission_scenarios import submit

MAX_VIRTUAL_S = 240.0


async def call_plain(
    fleet: GatewayFleet, call_id: str, deadline_ms: int = 2000
) -> tuple[int, float]:
    """Send a plain call to the first gateway; return status and seconds.

    The status is 0 when there was no response.
    """
    started_at = trio.current_time()
    response = await send_plain(fleet, "g0", call_id, deadline_ms)
    took_s = trio.current_time() - started_at
    return (response.status if response else 0), took_s


async def send_plain(
    fleet: GatewayFleet, gateway: str, call_id: str, deadline_ms: int
) -> ResponseRecorder | None:
    """Send a plain call to a gateway; None without a response."""
    request = HttpRequest(
        "POST",
        PLAIN_PREFIX + "x",
        "",
        {
            "host": HOST,
            "request-id": call_id,
            "deadline-ms": str(deadline_ms),
        },
        call_id.encode(),
        target=PLAIN_PREFIX + "x",
    )
    return await fleet.send_request(gateway, request)


async def check_failed_sampler(fleet: GatewayFleet) -> bool:
    """Check that a failed instance isn't retried all the time.

    It has the only free slots, since all others are taken for a while.
    """
    fleet.cluster.samplers["s0"].faults.down = True
    history = make_history("crowd", 60)
    await submit(fleet, history, Random(1))
    holder = fleet.running[fleet.find_holder() or "g0"]
    await trio.sleep(3.0)
    lost = holder.coordinator.metrics.counts["item_attempts_lost"]
    return lost <= 12


async def check_refused_holder(fleet: GatewayFleet) -> bool:
    """Check that a holder that the store refuses keeps its role, by peers."""
    name = fleet.find_holder()
    assert name is not None
    fleet.running[name].kv.faults.down = True
    history = make_history("kept", 6)
    await submit(fleet, history, Random(2))
    await trio.sleep(6.0)
    page = await read_page(fleet, history, Random(3))
    done = page is not None and page.total == 6
    return done and fleet.find_holder() == name


async def check_short_outage(fleet: GatewayFleet) -> bool:
    """Check that a submission in a store outage of 3 s is accepted."""
    for running in fleet.running.values():
        running.kv.faults.down = True
    history = make_history("patient", 3)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit, fleet, history, Random(1))
        await trio.sleep(3.0)
        for running in fleet.running.values():
            running.kv.faults.down = False
    return history.accepted


async def check_long_outage(fleet: GatewayFleet) -> bool:
    """Check that a submission refused during an outage never runs."""
    for running in fleet.running.values():
        running.kv.faults.down = True
    history = make_history("refused", 3)
    await submit(fleet, history, Random(1))
    for running in fleet.running.values():
        running.kv.faults.down = False
    await trio.sleep(5.0)
    names = {item.id for item in history.submission.items}
    ran = [run for run in fleet.cluster.runs if run.call_id in names]
    return not history.accepted and history.refused and not ran


async def check_unknown_outcome(fleet: GatewayFleet) -> bool:
    """Check a submission that is stored while each write's reply is lost.

    The gateway can't know the outcome, so it must not report a refusal.
    """
    for running in fleet.running.values():
        running.kv.faults.lose_reply_every = 1
    history = make_history("doubt", 3)
    response = await submit_once(fleet, history)
    for running in fleet.running.values():
        running.kv.faults.lose_reply_every = 0
    stored = any("doubt" in key for key in fleet.store.items)
    return stored and response.status not in (0, 429, 503)


async def submit_once(
    fleet: GatewayFleet, history: SubmissionHistory
) -> ResponseRecorder:
    """Submit once to the first gateway and wait for its response."""
    request = make_submission_request(history)
    recorder = ResponseRecorder()
    handler = fleet.running["g0"].coordinator.handler
    with trio.move_on_after(60.0):
        await handler.handle(request, recorder)
    return recorder


async def check_slow_instance(fleet: GatewayFleet) -> bool:
    """Check that calls are fast while one of two instances is 40x slower."""
    fleet.cluster.samplers["a0"].faults.slow_factor = 40.0
    found = [await call_plain(fleet, f"c{n}") for n in range(6)]
    return all(status == 200 and took_s < 0.4 for status, took_s in found)


async def check_unreachable(fleet: GatewayFleet) -> bool:
    """Check that a call is refused in time if no instance is reachable."""
    for name, sampler in fleet.cluster.samplers.items():
        sampler.faults.down = name.startswith("a")
    status, took_s = await call_plain(fleet, "c1", deadline_ms=800)
    return status == 503 and took_s <= 0.8


async def check_no_instance(fleet: GatewayFleet) -> bool:
    """Check that a call is refused at once when no instance is listed."""
    for name in ("a0", "a1"):
        fleet.remove_sampler(name)
    await trio.sleep(1.2)
    status, took_s = await call_plain(fleet, "c1", deadline_ms=2000)
    return status == 503 and took_s <= 0.05


async def check_no_response(fleet: GatewayFleet) -> bool:
    """Check that a call that gets no response in time ends with status 504."""
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.slow_factor = 500.0
    status, took_s = await call_plain(fleet, "c1", deadline_ms=800)
    return status == 504 and took_s <= 0.8


async def check_starting_gateway(fleet: GatewayFleet) -> bool:
    """Check that a call succeeds that arrives while the gateway starts."""
    fleet.kill_gateway("g0")
    fleet.start_gateway("g0")
    status, _ = await call_plain(fleet, "c1")
    return status == 200


async def check_retention(fleet: GatewayFleet) -> bool:
    """Check that an ended submission is readable, and later deleted."""
    history = make_history("swept", 3)
    await submit(fleet, history, Random(1))
    await trio.sleep(3.0)
    await end_submission(fleet, history, Random(1))
    await trio.sleep(5.0)
    readable = await read_page(fleet, history, Random(1)) is not None
    await trio.sleep(40.0)
    remaining_keys = [key for key in fleet.store.items if "swept" in key]
    return readable and not remaining_keys


async def check_holder_crash(fleet: GatewayFleet) -> bool:
    """Check that the next holder resumes from a crashed one's checkpoint."""
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.slow_factor = 6.0
    history = make_history("long", 6)
    await submit(fleet, history, Random(1))
    await trio.sleep(2.5)
    holder = fleet.find_holder()
    assert holder is not None
    fleet.kill_gateway(holder)
    await trio.sleep(8.0)
    adopted_items = sum(
        running.coordinator.metrics.counts["items_adopted"]
        for running in fleet.running.values()
    )
    return adopted_items > 0


async def check_delisted_sampler(fleet: GatewayFleet) -> bool:
    """Check that an instance gets no work 1.2 s after it was delisted."""
    fleet.remove_sampler("s0")
    await trio.sleep(1.2)
    history = make_history("after", 12)
    await submit(fleet, history, Random(1))
    await trio.sleep(4.0)
    late_runs = [r for r in fleet.cluster.runs if r.instance == "s0"]
    return not late_runs and len(fleet.cluster.samplers) > 1 and bool(APP)


async def check_named_versions(fleet: GatewayFleet) -> bool:
    """Check that named versions reach only the holder, then its successor."""

    def list_informed_gateways() -> list[str | None]:
        return [
            name
            for name, running in fleet.running.items()
            if running.coordinator.directory.named_versions
        ]

    fleet.write_named_version("m0", 2)
    await trio.sleep(0.5)
    first = fleet.find_holder()
    if first is None or list_informed_gateways() != [first]:
        return False
    fleet.kill_gateway(first)
    await trio.sleep(5.0)
    loaded = [
        s.versions["m0"] for s in fleet.cluster.samplers.values() if s.versions
    ]
    return list_informed_gateways() == [fleet.find_holder()] and 2 in loaded


async def check_silent_watches(fleet: GatewayFleet) -> bool:
    """Check that a change during a second of silent watches gets known.

    It must be known 3 s after that second, when the users' rules count the
    store as stable again. It is repeated 30 times, since a watch may begin
    at any moment of that second.
    """
    for number in range(30):
        gateways = [r.coordinator.directory for r in fleet.running.values()]
        _set_silent(fleet, True)
        await trio.sleep(0.1)
        fleet.write_configuration()
        await trio.sleep(0.9)
        _set_silent(fleet, False)
        fleet.store.compact()
        await trio.sleep(3.0)
        if any(
            g.table.version != fleet.configuration_version for g in gateways
        ):
            return False
        await trio.sleep(0.1 * number)
    return True


def _set_silent(fleet: GatewayFleet, silent: bool) -> None:
    """Have all watches receive no events, or receive them again."""
    for running in fleet.running.values():
        running.kv.faults.silent_poll = silent


async def call_stream(fleet: GatewayFleet, call_id: str) -> ResponseRecorder:
    """Request a stream from the first gateway; return what it sent."""
    request = HttpRequest(
        "POST",
        f"{STREAM_PREFIX}m0/x",
        "",
        {"host": HOST, "request-id": call_id, "deadline-ms": "9000"},
        target=f"{STREAM_PREFIX}m0/x",
    )
    recorder = ResponseRecorder()
    handler = fleet.running["g0"].coordinator.handler
    with trio.move_on_after(10.0):
        await handler.handle(request, recorder)
    return recorder


def make_complete_stream(call_id: str) -> bytes:
    """Return the body of a call's complete stream."""
    output = make_output(call_id)
    return b"".join(
        f"id: {number}\ndata: {data}\n\n".encode()
        for number, data in enumerate(output, start=1)
    )


async def check_resumed_streams(fleet: GatewayFleet) -> bool:
    """Check interrupted streams whose route allows resuming.

    No event may be lost or repeated, and most streams must be completed.
    """
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.truncated_share = 0.08
    completed = 0
    for number in range(20):
        response = await call_stream(fleet, f"c{number}")
        expected = make_complete_stream(f"c{number}")
        if response.responses_started > 1 or not expected.startswith(
            response.body
        ):
            return False
        if response.complete and response.status == 200:
            completed += 1
            if response.body != expected:
                return False
    return completed >= 15


async def check_unresumable_streams(fleet: GatewayFleet) -> bool:
    """Check interrupted streams whose route forbids resuming.

    None may look complete or run twice, and none that ran may be refused.
    """
    fleet.plan.resumable = False
    fleet.write_configuration()
    await trio.sleep(1.0)
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.truncated_share = 0.3
    for number in range(12):
        call_id = f"c{number}"
        response = await call_stream(fleet, call_id)
        looks_complete = response.complete and response.status == 200
        if looks_complete and response.body != make_complete_stream(call_id):
            return False
        runs = [r for r in fleet.cluster.runs if r.call_id == call_id]
        if len(runs) > 1 or (response.status == 503 and runs):
            return False
    return True


CASES: dict[str, Callable[[GatewayFleet], Awaitable[bool]]] = {
    "a failed sampler is not retried all the time": check_failed_sampler,
    "a holder keeps its role while the store refuses it": check_refused_holder,
    "a submission waits for a short store outage to end": check_short_outage,
    "a refused submission never runs": check_long_outage,
    "an unknown outcome is not reported as refused": check_unknown_outcome,
    "calls meet their target beside a slow instance": check_slow_instance,
    "no reachable instance: refused before the deadline": check_unreachable,
    "no listed instance: refused at once": check_no_instance,
    "no response: unknown outcome before the deadline": check_no_response,
    "a starting gateway does not refuse calls": check_starting_gateway,
    "an ended submission is deleted after its retention": check_retention,
    "the next holder resumes the work of a crashed one": check_holder_crash,
    "a delisted sampler gets no work": check_delisted_sampler,
    "long items never run where only one fits": (
        memory_cases.check_long_items
    ),
    "a change missed by silent watches is known in time": check_silent_watches,
    **holder_cases.CASES,
    **route_cases.CASES,
    "only the holder follows named versions": check_named_versions,
    "an interrupted stream resumes elsewhere": check_resumed_streams,
    "a truncated stream never looks complete": check_unresumable_streams,
}


def run_case(name: str) -> bool:
    """Run a case on three gateways; return whether it passed."""

    async def work() -> bool:
        fleet = GatewayFleet(GatewayPlan(seed=5, result_retention_s=20.0))
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            passed = await CASES[name](fleet)
            nursery.cancel_scope.cancel()
        return passed

    return run_virtual(work, 5, MAX_VIRTUAL_S)
