"""Cases of callers that disconnect and of a server that is stopped."""

from dataclasses import dataclass

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.server import HttpServer
from pistachiospar_standins.fakes.entry_fleet import FleetPlan
from pistachiospar_standins.fakes.entry_fleet import MemoryFleet
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.recorders import ResponseRecorder
import trio
import trio.testing

from .bundles import make_bundle
from .raw_http import make_request

MAX_VIRTUAL_S = 300.0
APP = ("Pistachiospar-Caller: app",)
PROMPT = b'{"prompt": "long", "max_tokens": 4000}'


@dataclass(frozen=True, slots=True)
class Occupancy:
    """The occupied slots, queue positions and engine streams."""

    running: int
    queued: int
    streams: int


def disconnect_callers() -> list[Occupancy]:
    """Run three callers at one slot, then disconnect them.

    Return the occupancy before and after.
    """

    async def run_case() -> list[Occupancy]:
        plan = FleetPlan(make_bundle(), 1, {"plain": 1, "engine": 1}, slots=1)
        fleet = MemoryFleet(plan)
        found: list[Occupancy] = []
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            async with trio.open_nursery() as callers:
                for _ in range(3):
                    callers.start_soon(_request_completion, fleet)
                await trio.sleep(1.0)
                found.append(_read_occupancy(fleet))
                callers.cancel_scope.cancel()
            await trio.sleep(1.0)
            found.append(_read_occupancy(fleet))
            nursery.cancel_scope.cancel()
        return found

    return run_virtual(run_case, 2, MAX_VIRTUAL_S)


async def _request_completion(fleet: MemoryFleet) -> None:
    """Request a long completion from the engine."""
    headers = {"pistachiospar-caller": "app"}
    target = "/upstreams/engine/v1/completions"
    request = HttpRequest("POST", target, "", headers, PROMPT)
    handler = fleet.entries["entry-1"].handler
    await handler.handle(request, ResponseRecorder())


def _read_occupancy(fleet: MemoryFleet) -> Occupancy:
    """Return the occupancy of the engine and its sidecar."""
    coordinator = fleet.hosts["engine-1"].coordinator
    if coordinator is None:
        return Occupancy(0, 0, 0)
    scheduler = coordinator.scheduler
    streams = fleet.engines["engine-1"].model.running
    return Occupancy(scheduler.running, len(scheduler.queue), streams)


@dataclass(frozen=True, slots=True)
class ShutdownResult:
    """What a busy and an idle connection saw of a graceful shutdown."""

    response: str
    idle_closed: bool
    active_after: int


def stop_entry() -> ShutdownResult:
    """Stop an entry's server with one busy and one idle connection."""

    async def run_case() -> ShutdownResult:
        plan = FleetPlan(
            make_bundle(), 1, {"plain": 1, "engine": 1}, service_duration_s=2.0
        )
        fleet = MemoryFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            server = HttpServer(fleet.entries["entry-1"].handler.handle)
            busy, busy_far = trio.testing.memory_stream_pair()
            idle, idle_far = trio.testing.memory_stream_pair()
            nursery.start_soon(server.handle_connection, busy_far)
            nursery.start_soon(server.handle_connection, idle_far)
            await busy.send_all(make_request("GET /upstreams/plain/x", APP))
            await trio.sleep(0.5)
            server.stop()
            closed = await idle.receive_some(100) == b""
            response = bytearray()
            while part := await busy.receive_some(65536):
                response += part
            nursery.cancel_scope.cancel()
        return ShutdownResult(
            response.decode(), closed, server.active_requests
        )

    return run_virtual(run_case, 2, MAX_VIRTUAL_S)
