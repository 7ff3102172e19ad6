"""Calls through two entries while a process fails, leaves or stops."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import msgspec
from pistachiospar_standins.fakes.entry_fleet import FleetPlan
from pistachiospar_standins.fakes.entry_fleet import MemoryFleet
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.recorders import ResponseRecorder
import trio

from .bundles import make_bundle
from .calls import CALL_KINDS
from .calls import count_runs
from .calls import make_request

MAX_VIRTUAL_S = 600.0
CALL_INTERVAL_S = 0.02

Fault = Callable[[MemoryFleet], Awaitable[None]]


@dataclass(slots=True)
class LoadResult:
    """Responses and runs of a series of calls.

    Times are in virtual seconds. The keys of `dispatched_at` name an
    instance, its incarnation and the number of its dispatches.
    """

    responses: dict[str, ResponseRecorder] = field(default_factory=dict)
    runs: dict[str, int] = field(default_factory=dict)
    fault_at: float = 0.0
    dispatched_at: dict[str, float] = field(default_factory=dict)
    retries: int = 0

    def count_outcomes(self) -> dict[str, int]:
        """Return the number of responses of each outcome."""
        found: dict[str, int] = {}
        for response in self.responses.values():
            found[response.outcome] = found.get(response.outcome, 0) + 1
        return found

    def find_violations(self, repeatable: bool) -> list[str]:
        """Return the violated guarantees, as texts."""
        violations: list[str] = []
        for body, response in self.responses.items():
            runs = self.runs.get(body, 0)
            outcome = response.outcome
            if runs > 1 and not repeatable:
                violations.append(f"{body} ran {runs} times")
            if outcome == "not-run" and runs:
                violations.append(f"{body} not-run, and ran {runs} times")
            if outcome == "done" and not runs:
                violations.append(f"{body} done, and never ran")
            if outcome == "done" and not response.body.decode().endswith(body):
                violations.append(f"{body} got {response.body!r}")
        return violations


async def kill_sidecar(fleet: MemoryFleet) -> None:
    """Kill a sidecar."""
    fleet.kill_sidecar("plain-1")


async def restart_sidecar(fleet: MemoryFleet) -> None:
    """Kill a sidecar and start a new incarnation."""
    fleet.kill_sidecar("plain-1")
    await trio.sleep(0.2)
    await fleet.start_sidecar("plain-1")


async def drain_sidecar(fleet: MemoryFleet) -> None:
    """Stop a sidecar gracefully."""
    coordinator = fleet.hosts["plain-1"].coordinator
    if coordinator is not None:
        coordinator.drain()


async def mark_leaving(fleet: MemoryFleet) -> None:
    """Mark an instance as leaving in the instance list."""
    instance = fleet.instances["plain-1"]
    fleet.instances["plain-1"] = msgspec.structs.replace(
        instance, leaving=True
    )
    fleet.publish_instances()


async def crash_upstream(fleet: MemoryFleet) -> None:
    """Make an upstream refuse connections and lose its calls."""
    fleet.services["plain-1"].faults.down = True


async def slow_upstream(fleet: MemoryFleet) -> None:
    """Make an upstream ten times slower."""
    fleet.services["plain-1"].faults.slow_factor = 10.0


async def silence_sidecar(fleet: MemoryFleet) -> None:
    """Stop a sidecar's replies on its control channel."""
    fleet.hosts["plain-1"].control_silent = True


async def stop_key_value(fleet: MemoryFleet) -> None:
    """Stop the key-value service for the rest of the test."""
    fleet.kv_faults.down = True


async def restart_upstream(fleet: MemoryFleet) -> None:
    """Stop an upstream for 0.5 s."""
    fleet.services["plain-1"].faults.down = True
    await trio.sleep(0.5)
    fleet.services["plain-1"].faults.down = False


FAULTS: dict[str, list[Fault]] = {
    "nothing": [],
    "a sidecar is killed": [kill_sidecar],
    "a sidecar is restarted": [restart_sidecar],
    "a sidecar is restarted twice": [restart_sidecar, restart_sidecar],
    "a sidecar drains": [drain_sidecar],
    "the list says an instance leaves": [mark_leaving],
    "an upstream crashes": [crash_upstream],
    "an upstream becomes 10 times slower": [slow_upstream],
    "an upstream goes down and comes back": [restart_upstream],
    "a sidecar falls silent": [silence_sidecar],
    "the key-value service goes down": [stop_key_value],
    "an upstream crashes and a sidecar drains": [
        crash_upstream,
        drain_sidecar,
    ],
    "the key-value service goes down and a sidecar is killed": [
        stop_key_value,
        kill_sidecar,
    ],
}


def run_load(
    kind: str,
    fault: str,
    seed: int,
    calls: int = 200,
    slots: int = 8,
) -> LoadResult:
    """Send calls through two entries; inject a fault halfway."""

    async def run_case() -> LoadResult:
        plan = FleetPlan(
            make_bundle(),
            2,
            {"plain": 3, "engine": 1},
            slots=slots,
            seed=seed,
        )
        fleet = MemoryFleet(plan)
        result = LoadResult()
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await send_calls(fleet, kind, fault, calls, result)
            await trio.sleep(15.0)
            result.runs = dict(count_runs(fleet))
            result.retries = sum(
                entry.metrics.counts["retries"]
                for entry in fleet.entries.values()
            )
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(run_case, seed, MAX_VIRTUAL_S)


async def send_calls(
    fleet: MemoryFleet,
    kind: str,
    fault: str,
    calls: int,
    result: LoadResult,
) -> None:
    """Send a call every CALL_INTERVAL_S, each in its own task."""

    async def send(number: int) -> None:
        body = f"body-{number}"
        entry = f"entry-{number % 2 + 1}"
        request = make_request(CALL_KINDS[kind], body, 8000)
        recorder = ResponseRecorder()
        result.responses[body] = recorder
        await fleet.entries[entry].handler.handle(request, recorder)

    async with trio.open_nursery() as nursery:
        for number in range(calls):
            if number == calls // 2:
                result.fault_at = trio.current_time()
                for inject_fault in FAULTS[fault]:
                    await inject_fault(fleet)
            nursery.start_soon(send, number)
            await trio.sleep(CALL_INTERVAL_S)
            record_dispatches(fleet, result)


def record_dispatches(fleet: MemoryFleet, result: LoadResult) -> None:
    """Record when each dispatch of an instance was first seen."""
    now = trio.current_time()
    for name, host in fleet.hosts.items():
        coordinator = host.coordinator
        if coordinator is None:
            continue
        count = coordinator.metrics.counts["orders_dispatched"]
        key = f"{name}.{coordinator.incarnation}-{count}"
        if key not in result.dispatched_at:
            result.dispatched_at[key] = now


def find_last_dispatch(result: LoadResult, name: str) -> float:
    """Return when an instance last dispatched an order."""
    return max(
        (
            dispatched_at
            for key, dispatched_at in result.dispatched_at.items()
            if key.rpartition(".")[0] == name
        ),
        default=0.0,
    )


def count_dispatches(result: LoadResult, since: float) -> dict[str, int]:
    """Return the dispatches of each plain instance since a time."""
    counts: dict[str, int] = {}
    for key, dispatched_at in result.dispatched_at.items():
        name = key.rpartition(".")[0]
        if dispatched_at >= since and name.startswith("plain"):
            counts[name] = counts.get(name, 0) + 1
    return counts
