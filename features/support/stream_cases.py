"""Cases of streams and items while two software versions serve."""

from collections.abc import Awaitable
from collections.abc import Callable

from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.samplers import make_output
import trio

from . import stream_refusal_cases
from .caller_streams import add_newer_samplers
from .caller_streams import CallerStream
from .caller_streams import find_mixed_texts
from .caller_streams import find_problems
from .caller_streams import LISTING_S
from .caller_streams import make_stream_name
from .caller_streams import make_stream_output
from .caller_streams import make_streams
from .caller_streams import request_stream
from .histories import make_history
from .histories import make_submission_request

MAX_VIRTUAL_S = 240.0
SEED = 11
MIN_COMPLETE_SHARE = 0.8


async def check_resumed_by_caller(fleet: GatewayFleet) -> list[str]:
    """Cut streams midway; their callers resume at another gateway."""
    streams = make_streams(6)
    for stream in streams:
        await request_stream(fleet, "g0", stream, cut_after=4)
        await request_stream(fleet, "g1", stream)
    return find_problems(fleet, streams)


async def check_interrupted(fleet: GatewayFleet) -> list[str]:
    """Interrupt streams of instances while two versions serve."""
    add_newer_samplers(fleet)
    await trio.sleep(LISTING_S)
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.truncated_share = 0.06
    streams = make_streams(30)
    for stream in streams:
        await request_stream(fleet, "g0", stream)
    complete = [s for s in streams if s.events == make_output(s.name)]
    problems = find_mixed_texts(fleet)
    if len(complete) < MIN_COMPLETE_SHARE * len(streams):
        problems.append(f"{len(complete)} of {len(streams)} are complete")
    return problems


async def check_killed_gateway(fleet: GatewayFleet) -> list[str]:
    """Kill the gateway of a stream that then is resumed at each other."""
    add_newer_samplers(fleet)
    await trio.sleep(LISTING_S)
    streams = make_streams(8)
    for number, stream in enumerate(streams):
        gateway = f"g{number % 3}"
        await request_stream(fleet, gateway, stream, cut_after=4)
        fleet.kill_gateway(gateway)
        await request_stream(fleet, f"g{(number + 1) % 3}", stream, 8)
        fleet.start_gateway(gateway)
        await trio.sleep(LISTING_S)
        await request_stream(fleet, f"g{(number + 2) % 3}", stream)
    return find_problems(fleet, streams)


async def check_lost_records(fleet: GatewayFleet) -> list[str]:
    """Restart all gateways at once; one version serves."""
    streams = make_streams(6)
    for stream in streams:
        await request_stream(fleet, "g0", stream, cut_after=4)
    for name in list(fleet.running):
        fleet.kill_gateway(name)
    for number in range(fleet.plan.gateways):
        fleet.start_gateway(f"g{number}")
    await trio.sleep(LISTING_S)
    for stream in streams:
        await request_stream(fleet, "g2", stream)
    return find_problems(fleet, streams)


async def check_late_version(fleet: GatewayFleet) -> list[str]:
    """Kill the gateway of streams that began before a second version came."""
    streams = make_streams(6)
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.slow_factor = 20.0

    async def begin(stream: CallerStream) -> None:
        await request_stream(fleet, "g0", stream)

    async with trio.open_nursery() as nursery:
        for stream in streams:
            nursery.start_soon(begin, stream)
        await trio.sleep(1.5)
        add_newer_samplers(fleet)
        await trio.sleep(LISTING_S)
        fleet.kill_gateway("g0")
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.slow_factor = 1.0
    for stream in streams:
        await request_stream(fleet, "g1", stream)
    return find_problems(fleet, streams)


async def check_restarted_instance(fleet: GatewayFleet) -> list[str]:
    """Restart instances with newer software; the list says so later."""
    streams = make_streams(6)
    for number, stream in enumerate(streams):
        await request_stream(fleet, "g0", stream, cut_after=4)
        for name, sampler in fleet.cluster.samplers.items():
            if name.startswith("s"):
                sampler.software = f"v{number + 2}"
                sampler.started_ms += 1
        await request_stream(fleet, "g1", stream)
        await trio.sleep(LISTING_S)
    return find_mixed_texts(fleet)


async def resume_out_of_step(
    fleet: GatewayFleet, names: set[str], heal: bool
) -> list[str]:
    """Resume streams at gateways that missed the start of a release.

    `names` reach neither the store nor the others meanwhile. If they are to
    heal, the streams are resumed at that moment.
    """
    earlier = CallerStream(make_stream_name(100))
    await request_stream(fleet, "g0", earlier)
    await trio.sleep(LISTING_S)
    for name in names:
        fleet.running[name].kv.faults.down = True
    fleet.partition = set(names)
    add_newer_samplers(fleet)
    await trio.sleep(LISTING_S)
    streams = make_streams(24)
    async with trio.open_nursery() as nursery:
        for stream in streams:
            nursery.start_soon(request_stream, fleet, "g0", stream, 4)
    begun = {
        version
        for made in fleet.cluster.generated_software.values()
        for version in made.values()
    }
    if heal:
        fleet.partition = set()
        for name in names:
            fleet.running[name].kv.faults.down = False
    for stream in streams:
        await request_stream(fleet, min(names), stream)
    problems = find_mixed_texts(fleet)
    if "v2" not in begun:
        problems.append(f"streams of {sorted(begun)} only")
    return problems


async def check_pair_out_of_step(fleet: GatewayFleet) -> list[str]:
    """Guard: two of five gateways took a stale list for a current one."""
    return await resume_out_of_step(fleet, {"g3", "g4"}, heal=False)


async def check_back_in_step(fleet: GatewayFleet) -> list[str]:
    """Guard: a gateway was out of step while a newer version joined."""
    return await resume_out_of_step(fleet, {"g4"}, heal=True)


async def run_submission(
    fleet: GatewayFleet, name: str, work_s: float
) -> None:
    """Submit a step of 24 items and let it run for a while."""
    request = make_submission_request(make_history(name, 24))
    accepted = await fleet.send_request(min(fleet.running), request)
    assert accepted is not None and accepted.status == 202
    await trio.sleep(work_s)


async def check_interrupted_items(fleet: GatewayFleet) -> list[str]:
    """Interrupt items of a submission while two versions serve."""
    add_newer_samplers(fleet)
    await trio.sleep(LISTING_S)
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.truncated_share = 0.03
    await run_submission(fleet, "step", 12.0)
    return find_mixed_texts(fleet)


async def check_checkpoint(fleet: GatewayFleet) -> list[str]:
    """Kill the holder of a pool while items run on two versions."""
    add_newer_samplers(fleet)
    await trio.sleep(LISTING_S)
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.slow_factor = 6.0
    for number in range(3):
        await run_submission(fleet, f"step{number}", 1.5)
        holder = fleet.find_holder()
        assert holder is not None
        fleet.kill_gateway(holder)
        await trio.sleep(6.0)
        fleet.start_gateway(holder)
        await trio.sleep(LISTING_S)
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.slow_factor = 1.0
    await trio.sleep(15.0)
    return find_mixed_texts(fleet)


CASES: dict[str, Callable[[GatewayFleet], Awaitable[list[str]]]] = {
    "a caller resumes its stream at another gateway": check_resumed_by_caller,
    "an interrupted stream goes on at its version": check_interrupted,
    "a caller resumes its stream after its gateway was killed": (
        check_killed_gateway
    ),
    "streams go on after all gateways restarted": check_lost_records,
    "a stream that began before a release goes on": check_late_version,
    "an instance that restarted under its name gets no old stream": (
        check_restarted_instance
    ),
    "two of five gateways are out of step as a release begins": (
        check_pair_out_of_step
    ),
    "a gateway was out of step as a release began": check_back_in_step,
    "an interrupted item goes on at its version": check_interrupted_items,
    "an item of a checkpoint goes on at its version": check_checkpoint,
    **stream_refusal_cases.CASES,
}


def run_case(name: str) -> list[str]:
    """Run a case on three or five gateways; return what went wrong."""

    async def work() -> list[str]:
        plan = GatewayPlan(gateways=5, seed=SEED, is_first_start=True)
        if "out of step" not in name:
            plan.gateways = 3
        fleet = GatewayFleet(plan)
        fleet.cluster.make_output = make_stream_output
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            problems = await CASES[name](fleet)
            nursery.cancel_scope.cancel()
        return problems

    return run_virtual(work, SEED, MAX_VIRTUAL_S)
