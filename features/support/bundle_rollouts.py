"""Cases of bundles that come into force at entries and sidecars."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from pistachiospar_standins.fakes.entry_fleet import FleetPlan
from pistachiospar_standins.fakes.entry_fleet import MemoryFleet
from pistachiospar_standins.fakes.entry_fleet import run_virtual
import trio

from .bundles import make_bundle

MAX_VIRTUAL_S = 7200.0
OUTAGE_S = 3600.0


@dataclass(slots=True)
class RolloutResult:
    """The versions in force, and the seconds until all had the new one."""

    took_s: float = 0.0
    versions: dict[str, int] = field(default_factory=dict)
    current: dict[str, bool] = field(default_factory=dict)


Fault = Callable[[MemoryFleet], Awaitable[None]]


async def inject_nothing(fleet: MemoryFleet) -> None:
    """Inject no fault."""


async def silence_watches(fleet: MemoryFleet) -> None:
    """Make the watches stop delivering, which entries must detect."""
    fleet.kv_faults.silent_watch = True
    await trio.sleep(1.0)


async def cause_outage(fleet: MemoryFleet) -> None:
    """Take the service down for an hour; it is back before the roll."""
    fleet.kv_faults.down = True
    await trio.sleep(OUTAGE_S)
    fleet.kv_faults.down = False


async def restart_entry_in_outage(fleet: MemoryFleet) -> None:
    """Restart an entry while the service stays down."""
    fleet.kv_faults.down = True
    await trio.sleep(20.0)
    fleet.kill_entry("entry-2")
    fleet.start_entry("entry-2")


async def restart_sidecar_in_outage(fleet: MemoryFleet) -> None:
    """Restart a sidecar while the service stays down."""
    fleet.kv_faults.down = True
    await trio.sleep(20.0)
    fleet.kill_sidecar("plain-1")
    await fleet.start_sidecar("plain-1")


async def restart_all_in_outage(fleet: MemoryFleet) -> None:
    """Restart all sidecars and one entry while the service stays down."""
    fleet.kv_faults.down = True
    for name in fleet.hosts:
        fleet.kill_sidecar(name)
        await fleet.start_sidecar(name)
    fleet.kill_entry("entry-1")
    await trio.sleep(3.0)
    fleet.start_entry("entry-1")


FAULTS_AFTER_ROLL: dict[str, Fault] = {
    "an entry restarts in an outage": restart_entry_in_outage,
    "a sidecar restarts in an outage": restart_sidecar_in_outage,
    "all sidecars and an entry restart in an outage": restart_all_in_outage,
}
FAULTS_BEFORE_ROLL: dict[str, Fault] = {
    "nothing happens": inject_nothing,
    "the service was down for an hour": cause_outage,
    "the watches stop silently": silence_watches,
}


def run_rollout(fault: str) -> RolloutResult:
    """Roll version 2 before or after a fault; wait until it is in force."""

    async def run_case() -> RolloutResult:
        fleet = MemoryFleet(
            FleetPlan(make_bundle(), 3, {"plain": 3, "engine": 2})
        )
        result = RolloutResult()
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            if fault in FAULTS_BEFORE_ROLL:
                await FAULTS_BEFORE_ROLL[fault](fleet)
            await fleet.roll_bundle(make_bundle("second"))
            started = trio.current_time()
            if fault in FAULTS_AFTER_ROLL:
                await trio.sleep(5.0)
                await FAULTS_AFTER_ROLL[fault](fleet)
                started = trio.current_time()
            while min(read_versions(fleet).values()) < 2:
                await trio.sleep(0.05)
                if trio.current_time() - started > 60.0:
                    break
            result.took_s = trio.current_time() - started
            result.versions = read_versions(fleet)
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(run_case, 9, MAX_VIRTUAL_S)


def read_versions(fleet: MemoryFleet) -> dict[str, int]:
    """Return the version in force at each process."""
    found = {n: e.keeper.version for n, e in fleet.entries.items()}
    for name, host in fleet.hosts.items():
        if host.coordinator is not None:
            found[name] = host.coordinator.keeper.version
    return found


def measure_call_rates(seconds: float, entries: int) -> dict[str, float]:
    """Return the calls per second of idle entries, by kind."""

    async def run_case() -> dict[str, float]:
        fleet = MemoryFleet(
            FleetPlan(make_bundle(), entries, {"plain": 2, "engine": 1})
        )
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            before = sum_calls(fleet)
            await trio.sleep(seconds)
            after = sum_calls(fleet)
            nursery.cancel_scope.cancel()
        return {k: (after[k] - before.get(k, 0)) / seconds for k in after}

    return run_virtual(run_case, 3, MAX_VIRTUAL_S)


def sum_calls(fleet: MemoryFleet) -> dict[str, int]:
    """Return the calls to the service so far, by kind."""
    total: dict[str, int] = {"read": 0, "write": 0, "watch": 0}
    for kv in fleet.kvs.values():
        for kind, count in kv.calls.items():
            total[kind] += count
    return total
