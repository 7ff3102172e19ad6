"""Unforeseen errors, of which each ends one thing and not the process.

Guard: an error that leaves the task of one call, item, report, entry or
connection, and ends the gateway with all its calls.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from pistachiospar.adapters.http.server import HttpServer
from pistachiospar.directory.software import SoftwareVersions
from pistachiospar.submissions.keys import make_submission_key
from pistachiospar.telemetry.containment import contained_errors
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.samplers import FakeSamplerClient
import trio
import trio.testing

from .gateway_cases import call_plain
from .histories import make_history
from .histories import make_submission_request
from .submission_checks import SubmissionHistory
from .submission_scenarios import PageView
from .submission_scenarios import read_page_at

MAX_VIRTUAL_S = 120.0


def _fail(owner: type, method: str) -> AbstractContextManager[object]:
    """Have a method raise an error that nobody expects."""

    def fail(*arguments: Any, **named: Any) -> Any:
        raise ArithmeticError("unforeseen")

    return patch.object(owner, method, fail)


async def _submit(fleet: GatewayFleet, name: str) -> SubmissionHistory:
    """Submit a step of three items."""
    history = make_history(name, 3)
    await fleet.send_request("g0", make_submission_request(history))
    return history


async def _read(
    fleet: GatewayFleet, history: SubmissionHistory, after_s: float
) -> PageView | None:
    """Read a step's results after a while."""
    await trio.sleep(after_s)
    return await read_page_at(fleet, "g0", history)


async def check_call(fleet: GatewayFleet) -> bool:
    """Fail a plain call."""
    with _fail(FakeSamplerClient, "call"):
        status, _ = await call_plain(fleet, "c1")
    return status == 502 and (await call_plain(fleet, "c2"))[0] == 200


async def check_item(fleet: GatewayFleet) -> bool:
    """Fail all attempts of a step's items."""
    with _fail(FakeSamplerClient, "call"):
        history = await _submit(fleet, "failing")
        page = await _read(fleet, history, 6.0)
    states = [result.state for result in page.results] if page else []
    return states == ["down"] * 3


async def check_report(fleet: GatewayFleet) -> bool:
    """Fail the reports that are followed while weights change."""
    with _fail(FakeSamplerClient, "fetch_report"):
        fleet.write_named_version("m0", 2)
        await trio.sleep(3.0)
    page = await _read(fleet, await _submit(fleet, "next"), 6.0)
    return page is not None and len(page.results) == 3


async def check_entry(fleet: GatewayFleet) -> bool:
    """Fail on an entry in the list of instances."""
    with _fail(SoftwareVersions, "add"):
        fleet.add_sampler("s9", "pool")
        await trio.sleep(1.0)
    fleet.add_sampler("s8", "pool")
    await trio.sleep(1.0)
    directories = [r.coordinator.directory for r in fleet.running.values()]
    return all("s8" in directory.instances for directory in directories)


async def check_record(fleet: GatewayFleet) -> bool:
    """Store the record of a submission that nobody can read."""
    key = make_submission_key("unreadable")
    fleet.store.write(key, b"\xc1", 0, trio.current_time())
    page = await _read(fleet, await _submit(fleet, "next"), 6.0)
    return page is not None and len(page.results) == 3


async def check_connection(fleet: GatewayFleet) -> bool:
    """Fail on a connection of a caller."""
    handler = fleet.running["g0"].coordinator.handler
    near, far = trio.testing.memory_stream_pair()
    with _fail(HttpServer, "_read_request"):
        await HttpServer(handler.handle).handle_connection(far)
    return await near.receive_some() == b""


CASES: dict[str, Callable[[GatewayFleet], Awaitable[bool]]] = {
    "call": check_call,
    "item": check_item,
    "order": check_report,
    "entry": check_entry,
    "submission": check_record,
    "connection": check_connection,
}


def run_case(served: str) -> bool:
    """Run a case on a small fleet; return whether the error was contained."""

    async def work() -> bool:
        fleet = GatewayFleet(GatewayPlan(seed=5))
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            passed = await CASES[served](fleet)
            nursery.cancel_scope.cancel()
        return passed

    counted = contained_errors[served]
    passed: bool = run_virtual(work, 5, MAX_VIRTUAL_S)
    return passed and contained_errors[served] > counted
