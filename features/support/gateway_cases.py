"""Support cases of a small fleet of gateways, in virtual time."""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.platform.callers import encode_submission
from pistachiospar.submissions.models import Submission
from pistachiospar_standins.fakes.fleet import run_virtual
from pistachiospar_standins.fakes.gateways import APP
from pistachiospar_standins.fakes.gateways import GatewayFleet
from pistachiospar_standins.fakes.gateways import GatewayPlan
from pistachiospar_standins.fakes.gateways import HOST
from pistachiospar_standins.fakes.gateways import PLAIN_PREFIX
from pistachiospar_standins.fakes.gateways import ROLLOUT_PREFIX
from pistachiospar_standins.fakes.gateways import STREAM_PREFIX
from pistachiospar_standins.fakes.samplers import make_output
from pistachiospar_standins.fakes.sinks import ResponseRecorder
import trio

from .submission_checks import SubmissionHistory
from .submission_scenarios import end_submission
from .submission_scenarios import make_item
from .submission_scenarios import read_page
from .submission_scenarios import submit

LIMIT_S = 240.0


def make_story(name: str, items: int) -> SubmissionHistory:
    """Make a submission of model m0 in groups of three."""
    return SubmissionHistory(
        Submission(
            name,
            HOST,
            f"{ROLLOUT_PREFIX}m0/",
            "m0",
            0,
            1,
            2,
            [
                make_item(f"{name}-{number}", "m0", f"g{number // 3}")
                for number in range(items)
            ],
            0.0,
        )
    )


async def call_plain(
    fleet: GatewayFleet, call_id: str, deadline_ms: int = 2000
) -> tuple[int, float]:
    """Make a plain call at the first gateway; return status and seconds."""
    request = HttpRequest(
        "POST",
        PLAIN_PREFIX + "x",
        "",
        {
            "host": HOST,
            "request-id": call_id,
            "deadline-ms": str(deadline_ms),
        },
        b"body",
        target=PLAIN_PREFIX + "x",
    )
    began_at = trio.current_time()
    answer = await fleet.send_request("g0", request)
    took_s = trio.current_time() - began_at
    return (answer.status if answer else 0), took_s


async def dead_sampler(fleet: GatewayFleet) -> bool:
    """All places but a dead instance's are taken for a while."""
    fleet.cluster.samplers["s0"].faults.down = True
    story = make_story("crowd", 60)
    await submit(fleet, story, Random(1))
    holder = fleet.running[fleet.find_holder() or "g0"]
    await trio.sleep(3.0)
    lost = holder.coordinator.metrics.counts["item_attempts_lost"]
    return lost <= 12


async def turned_away_holder(fleet: GatewayFleet) -> bool:
    """The store refuses the holder for long; peers call for it."""
    name = fleet.find_holder()
    assert name is not None
    fleet.running[name].kv.faults.down = True
    story = make_story("kept", 6)
    await submit(fleet, story, Random(2))
    await trio.sleep(6.0)
    page = await read_page(fleet, story, Random(3))
    done = page is not None and page.total == 6
    return done and fleet.find_holder() == name


async def short_outage(fleet: GatewayFleet) -> bool:
    """A submission comes while the store is away for three seconds."""
    for running in fleet.running.values():
        running.kv.faults.down = True
    story = make_story("patient", 3)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit, fleet, story, Random(1))
        await trio.sleep(3.0)
        for running in fleet.running.values():
            running.kv.faults.down = False
    return story.accepted


async def long_outage(fleet: GatewayFleet) -> bool:
    """A submission is refused, with a time to come back, and never runs."""
    for running in fleet.running.values():
        running.kv.faults.down = True
    story = make_story("refused", 3)
    await submit(fleet, story, Random(1))
    for running in fleet.running.values():
        running.kv.faults.down = False
    await trio.sleep(5.0)
    names = {item.id for item in story.submission.items}
    ran = [run for run in fleet.cluster.runs if run.call_id in names]
    return not story.accepted and story.refused and not ran


async def doubtful_accept(fleet: GatewayFleet) -> bool:
    """Each reply to a write is lost: a submission may be kept, or not."""
    for running in fleet.running.values():
        running.kv.faults.lose_reply_every = 1
    story = make_story("doubt", 3)
    answer = await ask_to_accept(fleet, story)
    for running in fleet.running.values():
        running.kv.faults.lose_reply_every = 0
    kept = any("doubt" in key for key in fleet.store.items)
    return kept and answer.status not in (0, 429, 503)


async def ask_to_accept(
    fleet: GatewayFleet, story: SubmissionHistory
) -> ResponseRecorder:
    """Submit once, at the first gateway, and wait for any answer."""
    submission = story.submission
    request = HttpRequest(
        "POST",
        submission.path,
        "",
        {"host": HOST, "request-id": submission.id, "deadline-ms": "12000"},
        encode_submission(submission),
    )
    exchange = ResponseRecorder()
    handler = fleet.running["g0"].coordinator.handler
    with trio.move_on_after(60.0):
        await handler.handle(request, exchange)
    return exchange


async def slow_instance(fleet: GatewayFleet) -> bool:
    """One of two instances of the plain service hardly answers."""
    fleet.cluster.samplers["a0"].faults.slow_factor = 40.0
    found = [await call_plain(fleet, f"c{n}") for n in range(6)]
    return all(status == 200 and took_s < 0.4 for status, took_s in found)


async def dead_service(fleet: GatewayFleet) -> bool:
    """No instance of the plain service can be reached."""
    for name, sampler in fleet.cluster.samplers.items():
        sampler.faults.down = name.startswith("a")
    status, took_s = await call_plain(fleet, "c1", deadline_ms=800)
    return status == 503 and took_s <= 0.8


async def silent_service(fleet: GatewayFleet) -> bool:
    """All instances run the call and do not answer in time."""
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.slow_factor = 500.0
    status, took_s = await call_plain(fleet, "c1", deadline_ms=800)
    return status == 504 and took_s <= 0.8


async def young_gateway(fleet: GatewayFleet) -> bool:
    """A call comes to a gateway that starts this moment."""
    fleet.kill_gateway("g0")
    fleet.start_gateway("g0")
    status, _ = await call_plain(fleet, "c1")
    return status == 200


async def swept(fleet: GatewayFleet) -> bool:
    """An ended submission is readable for its time, then removed."""
    story = make_story("swept", 3)
    await submit(fleet, story, Random(1))
    await trio.sleep(3.0)
    await end_submission(fleet, story, Random(1))
    await trio.sleep(5.0)
    kept = await read_page(fleet, story, Random(1)) is not None
    await trio.sleep(40.0)
    left = [key for key in fleet.store.items if "swept" in key]
    return kept and not left


async def crash_midway(fleet: GatewayFleet) -> bool:
    """The holder dies; the next one goes on from its checkpoint."""
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.slow_factor = 6.0
    story = make_story("long", 6)
    await submit(fleet, story, Random(1))
    await trio.sleep(2.5)
    holder = fleet.find_holder()
    assert holder is not None
    fleet.kill_gateway(holder)
    await trio.sleep(8.0)
    adopted = sum(
        running.coordinator.metrics.counts["items_adopted"]
        for running in fleet.running.values()
    )
    return adopted > 0


async def removed_sampler(fleet: GatewayFleet) -> bool:
    """An instance that left the list gets nothing a second later."""
    fleet.remove_sampler("s0")
    await trio.sleep(1.2)
    story = make_story("after", 12)
    await submit(fleet, story, Random(1))
    await trio.sleep(4.0)
    late = [r for r in fleet.cluster.runs if r.instance == "s0"]
    return not late and len(fleet.cluster.samplers) > 1 and bool(APP)


async def named_versions(fleet: GatewayFleet) -> bool:
    """Named versions reach the holder, then its successor, and no other."""

    def find_knowing() -> list[str | None]:
        return [
            name
            for name, running in fleet.running.items()
            if running.coordinator.directory.named_versions
        ]

    fleet.write_named_version("m0", 2)
    await trio.sleep(0.5)
    first = fleet.find_holder()
    if first is None or find_knowing() != [first]:
        return False
    fleet.kill_gateway(first)
    await trio.sleep(5.0)
    loaded = [
        s.versions["m0"] for s in fleet.cluster.samplers.values() if s.versions
    ]
    return find_knowing() == [fleet.find_holder()] and 2 in loaded


async def deaf_watches(fleet: GatewayFleet) -> bool:
    """A change in a second of deaf watches is known 3 s after it ended.

    That is when the users' rules count the store as stable again; 30 times,
    as a watch may begin at any moment of that second.
    """
    for number in range(30):
        gateways = [r.coordinator.directory for r in fleet.running.values()]
        _set_deaf(fleet, True)
        await trio.sleep(0.1)
        fleet.write_configuration()
        await trio.sleep(0.9)
        _set_deaf(fleet, False)
        fleet.store.compact()
        await trio.sleep(3.0)
        if any(
            g.table.version != fleet.configuration_version for g in gateways
        ):
            return False
        await trio.sleep(0.1 * number)
    return True


def _set_deaf(fleet: GatewayFleet, deaf: bool) -> None:
    """Let all watches hear nothing, or hear again."""
    for running in fleet.running.values():
        running.kv.faults.deaf = deaf


async def call_stream(fleet: GatewayFleet, call_id: str) -> ResponseRecorder:
    """Ask for a stream at the first gateway."""
    request = HttpRequest(
        "POST",
        f"{STREAM_PREFIX}m0/x",
        "",
        {"host": HOST, "request-id": call_id, "deadline-ms": "9000"},
        target=f"{STREAM_PREFIX}m0/x",
    )
    exchange = ResponseRecorder()
    handler = fleet.running["g0"].coordinator.handler
    with trio.move_on_after(10.0):
        await handler.handle(request, exchange)
    return exchange


def join_events(call_id: str) -> bytes:
    """Return the whole stream of a call."""
    output = make_output(call_id)
    return b"".join(
        f"id: {number}\ndata: {data}\n\n".encode()
        for number, data in enumerate(output, start=1)
    )


async def broken_stream(fleet: GatewayFleet) -> bool:
    """Streams break off again and again, and may go on elsewhere."""
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.truncated_share = 0.08
    kept = 0
    for number in range(20):
        answer = await call_stream(fleet, f"c{number}")
        whole = join_events(f"c{number}")
        if answer.responses_started > 1 or not whole.startswith(answer.body):
            return False
        if answer.complete and answer.status == 200:
            kept += 1
            if answer.body != whole:
                return False
    return kept >= 15


async def final_stream(fleet: GatewayFleet) -> bool:
    """Streams that may not go on break off: none looks whole, none twice."""
    fleet.plan.resumable = False
    fleet.write_configuration()
    await trio.sleep(1.0)
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.truncated_share = 0.3
    for number in range(12):
        call_id = f"c{number}"
        answer = await call_stream(fleet, call_id)
        looks_whole = answer.complete and answer.status == 200
        if looks_whole and answer.body != join_events(call_id):
            return False
        runs = [r for r in fleet.cluster.runs if r.call_id == call_id]
        if len(runs) > 1 or (answer.status == 503 and runs):
            return False
    return True


CASES: dict[str, Callable[[GatewayFleet], Awaitable[bool]]] = {
    "a dead sampler is not asked again and again": dead_sampler,
    "a holder that the store refuses stays holder": turned_away_holder,
    "a submission waits for a store that is away shortly": short_outage,
    "a submission that is refused never runs": long_outage,
    "a submission in doubt is not called refused": doubtful_accept,
    "a slow instance costs half a target": slow_instance,
    "no instance is reached: refused in time": dead_service,
    "no answer in time: in doubt, in time": silent_service,
    "a gateway that starts does not refuse": young_gateway,
    "an ended submission is removed after its time": swept,
    "a holder's work outlives it": crash_midway,
    "a sampler off the list gets no work": removed_sampler,
    "a change that deaf watches missed is known in time": deaf_watches,
    "named versions wake the holder alone": named_versions,
    "a stream that breaks off goes on elsewhere": broken_stream,
    "a stream that may not go on never looks whole": final_stream,
}


def run_case(name: str) -> bool:
    """Run a case on three gateways."""

    async def work() -> bool:
        fleet = GatewayFleet(GatewayPlan(seed=5, result_retention_s=20.0))
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            kept = await CASES[name](fleet)
            nursery.cancel_scope.cancel()
        return kept

    return run_virtual(work, 5, LIMIT_S)
