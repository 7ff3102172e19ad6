"""Cases of streams that may not go on: refused at once, nothing runs."""

from collections.abc import Awaitable
from collections.abc import Callable

from pistachiospar.stream_origins.const import PREFIX_SOFTWARE
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.recorders import ResponseRecorder
import trio

from .caller_streams import add_newer_samplers
from .caller_streams import CallerStream
from .caller_streams import LISTING_S
from .caller_streams import make_stream_name
from .caller_streams import make_streams
from .caller_streams import request_stream


async def check_unknown_origin(fleet: GatewayFleet) -> list[str]:
    """Resume streams that no gateway knows while two versions serve."""
    add_newer_samplers(fleet)
    await trio.sleep(LISTING_S)
    stream = CallerStream(make_stream_name(0), 1, "unknown~1", ["x"])
    response = await request_stream(fleet, "g1", stream)
    return check_refusal(fleet, response, 503, "stream-origin-unknown")


async def check_recent_version(fleet: GatewayFleet) -> list[str]:
    """Resume an unknown stream after one of two versions has left."""
    add_newer_samplers(fleet)
    await trio.sleep(LISTING_S)
    for number in range(fleet.plan.samplers):
        fleet.remove_sampler(f"s{number}")
    await trio.sleep(LISTING_S)
    stream = CallerStream(make_stream_name(0), 1, "unknown~1", ["x"])
    response = await request_stream(fleet, "g1", stream)
    return check_refusal(fleet, response, 503, "stream-origin-unknown")


async def check_version_gone(fleet: GatewayFleet) -> list[str]:
    """Resume a stream after all instances of its version have left."""
    stream = make_streams(1)[0]
    await request_stream(fleet, "g0", stream, cut_after=4)
    add_newer_samplers(fleet)
    for number in range(fleet.plan.samplers):
        fleet.remove_sampler(f"s{number}")
    await trio.sleep(LISTING_S)
    response = await request_stream(fleet, "g1", stream)
    return check_refusal(fleet, response, 503, "stream-version-gone")


async def check_restarted_gateways(fleet: GatewayFleet) -> list[str]:
    """Restart all gateways while one version replaces the other."""
    stream = make_streams(1)[0]
    await request_stream(fleet, "g0", stream, cut_after=4)
    kill_all_gateways(fleet)
    replace_samplers(fleet)
    await restart_all_gateways(fleet)
    response = await request_stream(fleet, "g1", stream)
    return check_refusal(fleet, response, 503, "stream-origin-unknown")


async def check_restart_after_release(fleet: GatewayFleet) -> list[str]:
    """Restart all gateways shortly after the older version has left."""
    add_newer_samplers(fleet)
    await trio.sleep(LISTING_S)
    stream = CallerStream(make_stream_name(0), 1, "lost~1", ["x"])
    replace_samplers(fleet)
    await trio.sleep(LISTING_S)
    kill_all_gateways(fleet)
    await restart_all_gateways(fleet)
    response = await request_stream(fleet, "g1", stream)
    return check_refusal(fleet, response, 503, "stream-origin-unknown")


async def check_restart_after_rollback(fleet: GatewayFleet) -> list[str]:
    """Restart all gateways after a newer version was rolled back."""
    add_newer_samplers(fleet)
    await trio.sleep(LISTING_S)
    streams = make_streams(6)
    for stream in streams:
        await request_stream(fleet, "g0", stream, cut_after=4)
    kill_all_gateways(fleet)
    for name in [n for n in fleet.cluster.samplers if n.startswith("n")]:
        fleet.remove_sampler(name)
    await restart_all_gateways(fleet)
    problems = []
    for stream in streams:
        response = await request_stream(fleet, "g1", stream)
        problems += check_refusal(
            fleet, response, 503, "stream-origin-unknown"
        )
    return problems


async def check_replaced_build(fleet: GatewayFleet) -> list[str]:
    """Replace gateways of a build that recorded no software versions."""
    stream = make_streams(1)[0]
    await request_stream(fleet, "g0", stream, cut_after=4)
    kill_all_gateways(fleet)
    for key in list(fleet.store.items):
        if key.startswith(PREFIX_SOFTWARE):
            fleet.store.delete(key)
    replace_samplers(fleet)
    await restart_all_gateways(fleet)
    response = await request_stream(fleet, "g1", stream)
    return check_refusal(fleet, response, 503, "stream-origin-unknown")


def kill_all_gateways(fleet: GatewayFleet) -> None:
    """Kill all gateways at the same moment."""
    for name in list(fleet.running):
        fleet.kill_gateway(name)


def replace_samplers(fleet: GatewayFleet) -> None:
    """Replace the pool's instances by ones of a newer version."""
    if "n0" not in fleet.cluster.samplers:
        add_newer_samplers(fleet)
    for number in range(fleet.plan.samplers):
        fleet.remove_sampler(f"s{number}")


async def restart_all_gateways(fleet: GatewayFleet) -> None:
    """Start all gateways; wait until they list the instances."""
    for number in range(fleet.plan.gateways):
        fleet.start_gateway(f"g{number}")
    await trio.sleep(LISTING_S)


async def check_isolated_gateway(fleet: GatewayFleet) -> list[str]:
    """Resume a stream at a gateway that reaches no other."""
    stream = make_streams(1)[0]
    await request_stream(fleet, "g0", stream, cut_after=4)
    fleet.isolated.add("g1")
    response = await request_stream(fleet, "g1", stream)
    return check_refusal(fleet, response, 503, "stream-origin-unknown")


async def check_other_stream(fleet: GatewayFleet) -> list[str]:
    """Resume the stream of another caller's request."""
    stream = make_streams(1)[0]
    await request_stream(fleet, "g0", stream, cut_after=4)
    request = stream.make_request()
    request.headers["tenant"] = "someone-else"
    recorder = ResponseRecorder()
    handler = fleet.running["g1"].coordinator.handler
    await handler.handle(request, recorder)
    return check_refusal(fleet, recorder, 400, "other-stream")


async def check_unresumable_route(fleet: GatewayFleet) -> list[str]:
    """Resume a stream of a route that has none to resume."""
    fleet.plan.resumable = False
    fleet.write_configuration()
    await trio.sleep(LISTING_S)
    stream = CallerStream(make_stream_name(0), 1, "c0~1", ["x"])
    response = await request_stream(fleet, "g1", stream)
    return check_refusal(fleet, response, 400, "not-resumable")


def check_refusal(
    fleet: GatewayFleet, response: ResponseRecorder, status: int, kind: str
) -> list[str]:
    """Return what is wrong with the refusal of a request that resumes."""
    problems = []
    if response.status != status or kind.encode() not in response.body:
        problems.append(f"{response.status} {response.body!r}")
    if ("retry-after" in response.headers) != (status == 503):
        problems.append(f"Retry-After of {status}: {response.headers}")
    runs = [r for r in fleet.cluster.runs if r.call_id.endswith("~2")]
    return problems + [f"{r.call_id} ran" for r in runs]


CASES: dict[str, Callable[[GatewayFleet], Awaitable[list[str]]]] = {
    "a stream that no gateway knows is refused": check_unknown_origin,
    "an unknown stream is refused after a version has left": (
        check_recent_version
    ),
    "a stream whose version left while all gateways restarted is refused": (
        check_restarted_gateways
    ),
    "an unknown stream is refused after a release and a restart of all": (
        check_restart_after_release
    ),
    "streams are refused after a rollback and a restart of all": (
        check_restart_after_rollback
    ),
    "a stream is refused after a build without records was replaced": (
        check_replaced_build
    ),
    "a stream whose version is gone is refused": check_version_gone,
    "a gateway that reaches no other refuses": check_isolated_gateway,
    "another caller's stream is refused": check_other_stream,
    "a stream of a route without resumption is refused": (
        check_unresumable_route
    ),
}
