"""Random scenarios of the watch relay: a larger fleet under faults.

The operator writes configurations and instances come and go, while gateways
are killed, suspended or cut off from the store or from each other, and the
store is unavailable or drops its history.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

from pistachiospar.directory.mirror import PrefixMirror
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import APP
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import RunningGateway
import trio

MAX_VIRTUAL_S = 200.0
DURATION_S = 20.0
CHECK_INTERVAL_S = 0.05
# The platform's bounds: a change is in force in time at gateways that were
# without faults for the stable time, while the store was too.
IN_FORCE_S = 2.0
STABLE_S = 3.0
CALM_S = 10.0
# Connections outlive shorter suspensions.
MAX_SHORT_SUSPENSION_S = 1.7
# In each second: three watches of six sources, the holder's own calls.
MAX_CALM_CALLS_PER_S = 25.0


@dataclass(slots=True)
class Fault:
    """A fault of one gateway, or of the store; times are in seconds."""

    kind: str
    gateway: str
    started_at: float
    ended_at: float = float("inf")


@dataclass(slots=True)
class WatchRun:
    """Outcome of one seed.

    `versions` has each configuration's time, `departures` when an instance
    was removed.
    """

    seed: int
    faults: list[Fault] = field(default_factory=list)
    versions: list[tuple[float, int]] = field(default_factory=list)
    departures: dict[str, float] = field(default_factory=dict)
    started: dict[str, tuple[RunningGateway, float]] = field(
        default_factory=dict
    )
    seen: dict[tuple[int, str, str], int] = field(default_factory=dict)
    violations: set[str] = field(default_factory=set)
    calm_calls_per_s: float = 0.0
    follow_calls: int = 0

    def find_violations(self) -> list[str]:
        """Return the violated guarantees, each with the seed."""
        return [
            f"seed {self.seed}: {line}" for line in sorted(self.violations)
        ]

    def is_store_stable(self, at: float) -> bool:
        """Return whether the store was long without faults at a time."""
        return all(
            at < fault.started_at or at - fault.ended_at >= STABLE_S
            for fault in self.faults
            if fault.gateway == ""
        )

    def is_stable(self, gateway: str, now: float) -> bool:
        """Return whether a gateway and the store were long without faults."""
        return all(
            now - fault.ended_at >= STABLE_S
            for fault in self.faults
            if fault.gateway in (gateway, "")
        )


def list_mirrors(running: RunningGateway) -> list[PrefixMirror]:
    """Return the mirrors that the watch relay keeps up to date."""
    coordinator = running.coordinator
    return [
        coordinator.directory.configuration_mirror,
        coordinator.directory.instance_mirror,
        coordinator.holders.mirror,
    ]


def count_calls(fleet: GatewayFleet) -> float:
    """Return all calls to the store; a renewal costs a tenth of a call."""
    return sum(
        sum(running.kv.calls.values()) - 0.9 * running.kv.renewals
        for running in fleet.running.values()
    )


async def write_changes(
    fleet: GatewayFleet, run: WatchRun, rng: Random
) -> None:
    """Write configurations, at times in bursts; add and remove instances."""
    number = 0
    while True:
        await trio.sleep(rng.choice([0.05, 0.4, 1.5]))
        number += 1
        if rng.random() < 0.5:
            fleet.write_configuration()
            version = fleet.configuration_version
            run.versions.append((trio.current_time(), version))
        elif rng.random() < 0.6:
            fleet.add_sampler(f"extra{number}", APP)
        else:
            extra = [n for n in fleet.cluster.samplers if "extra" in n]
            gone = [n for n in extra if n not in run.departures]
            if gone:
                name = rng.choice(gone)
                fleet.remove_sampler(name)
                run.departures[name] = trio.current_time()


async def check_always(fleet: GatewayFleet, run: WatchRun) -> None:
    """Check the bounds and that nothing goes back, until cancelled."""
    while True:
        now = trio.current_time()
        for name, running in fleet.running.items():
            known = run.started.get(name)
            if known is None or known[0] is not running:
                run.started[name] = running, now
            check_order(running, run)
            if now - run.started[name][1] >= STABLE_S and run.is_stable(
                name, now
            ):
                check_bounds(name, running, run, now)
        await trio.sleep(CHECK_INTERVAL_S)


def check_order(running: RunningGateway, run: WatchRun) -> None:
    """Check that no key goes back to an earlier revision."""
    for mirror in list_mirrors(running):
        for key, revision in mirror.revisions.items():
            at = (id(running), mirror.prefix, key)
            if revision < run.seen.get(at, 0):
                run.violations.add(f"{key} went back to {revision}")
            run.seen[at] = revision


def check_bounds(
    name: str, running: RunningGateway, run: WatchRun, now: float
) -> None:
    """Check that a gateway knows what changed longer ago than the bound."""
    directory = running.coordinator.directory
    due = [v for at, v in run.versions if now - at > IN_FORCE_S]
    if due and directory.table.version < due[-1]:
        run.violations.add(f"{name} lacks version {due[-1]} at {now:.1f}")
    listed = {i.name for i in directory.find_instances(APP, now)}
    for instance, at in run.departures.items():
        is_due = now - at > IN_FORCE_S and run.is_store_stable(at)
        if is_due and instance in listed:
            run.violations.add(f"{name} still has {instance} at {now:.1f}")


async def kill(fleet: GatewayFleet, name: str, rng: Random) -> None:
    """Kill a gateway and restart it."""
    fleet.kill_gateway(name)
    await trio.sleep(rng.uniform(0.2, 6.0))
    fleet.start_gateway(name)


async def suspend(fleet: GatewayFleet, name: str, rng: Random) -> None:
    """Suspend a gateway: it replies to nobody.

    After a long suspension its watches are gone, without an error.
    """
    running = fleet.running[name]
    duration_s = rng.uniform(0.5, 6.0)
    running.kv.faults.silent_poll = duration_s > MAX_SHORT_SUSPENSION_S
    fleet.suspended.add(name)
    await trio.sleep(duration_s)
    running.suspended_s += duration_s
    running.kv.faults.silent_poll = False
    fleet.suspended.discard(name)


async def cut_from_store(fleet: GatewayFleet, name: str, rng: Random) -> None:
    """Let a gateway's calls to the store hang; its peers still reach it."""
    faults = fleet.running[name].kv.faults
    faults.latency_s, faults.silent_poll = 3.0, True
    await trio.sleep(rng.uniform(1.0, 7.0))
    faults.latency_s, faults.silent_poll = 0.002, False


async def refuse_calls(fleet: GatewayFleet, name: str, rng: Random) -> None:
    """Let the store refuse a gateway's calls."""
    faults = fleet.running[name].kv.faults
    faults.down = True
    await trio.sleep(rng.uniform(1.0, 7.0))
    faults.down = False


async def isolate(fleet: GatewayFleet, name: str, rng: Random) -> None:
    """Cut a gateway off from all other gateways."""
    fleet.isolated.add(name)
    await trio.sleep(rng.uniform(1.0, 7.0))
    fleet.isolated.discard(name)


async def take_store_down(fleet: GatewayFleet, name: str, rng: Random) -> None:
    """Make the store unavailable to all."""
    affected = list(fleet.running.values())
    for running in affected:
        running.kv.faults.down = True
    await trio.sleep(rng.uniform(0.5, 5.0))
    for running in affected:
        running.kv.faults.down = False


async def drop_history(fleet: GatewayFleet, name: str, rng: Random) -> None:
    """Make the store drop its history of changes."""
    fleet.store.compact()


GatewayFault = Callable[[GatewayFleet, str, Random], Awaitable[None]]
GATEWAY_FAULTS: list[GatewayFault] = [
    kill,
    suspend,
    cut_from_store,
    refuse_calls,
    isolate,
]
STORE_FAULTS: list[GatewayFault] = [take_store_down, drop_history]


async def inject_fault(
    fleet: GatewayFleet, run: WatchRun, rng: Random, fault: GatewayFault
) -> None:
    """Inject one fault, most often at a gateway that others follow."""
    followed = [
        running.coordinator.watch_relay.source_name
        for running in fleet.running.values()
    ]
    candidates = [name for name in followed if name in fleet.running]
    if rng.random() < 0.3 or not candidates:
        candidates = list(fleet.running)
    name = rng.choice(candidates) if fault in GATEWAY_FAULTS else ""
    busy = any(
        f.gateway == name and f.ended_at == float("inf") for f in run.faults
    )
    if busy:
        return
    record = Fault(fault.__name__, name, trio.current_time())
    run.faults.append(record)
    await fault(fleet, name, rng)
    record.ended_at = trio.current_time()


async def inject_faults(
    fleet: GatewayFleet, run: WatchRun, rng: Random
) -> None:
    """Inject faults at random times, at times several at once."""
    async with trio.open_nursery() as nursery:
        started_at = trio.current_time()
        while trio.current_time() - started_at < DURATION_S:
            await trio.sleep(rng.choice([0.0, 0.5, 4.0]))
            kind = STORE_FAULTS if rng.random() < 0.15 else GATEWAY_FAULTS
            fault = rng.choice(kind)
            nursery.start_soon(inject_fault, fleet, run, rng, fault)


def run_scenario(seed: int) -> WatchRun:
    """Run the changes, faults and checks of one seed."""
    rng = Random(seed)
    run = WatchRun(seed)
    plan = GatewayPlan(
        gateways=rng.choice([8, 14, 20]),
        samplers=2,
        seed=seed,
        is_first_start=rng.random() < 0.5,
    )

    async def run_plan() -> None:
        fleet = GatewayFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await trio.sleep(2.0)
            async with trio.open_nursery() as changes:
                changes.start_soon(check_always, fleet, run)
                changes.start_soon(write_changes, fleet, run, rng)
                await inject_faults(fleet, run, rng)
                await trio.sleep(STABLE_S + IN_FORCE_S)
                changes.cancel_scope.cancel()
            await trio.sleep(IN_FORCE_S)
            check_convergence(fleet, run)
            await trio.sleep(CALM_S)
            calls = count_calls(fleet)
            await trio.sleep(CALM_S)
            run.calm_calls_per_s = (count_calls(fleet) - calls) / CALM_S
            if run.calm_calls_per_s > MAX_CALM_CALLS_PER_S:
                run.violations.add(f"{run.calm_calls_per_s} calls a second")
            run.follow_calls = sum(
                running.coordinator.metrics.counts["watch_calls_made"]
                for running in fleet.running.values()
            )
            nursery.cancel_scope.cancel()

    run_virtual(run_plan, seed, MAX_VIRTUAL_S)
    return run


def check_convergence(fleet: GatewayFleet, run: WatchRun) -> None:
    """Check that all gateways know exactly what the store has."""
    for name, running in fleet.running.items():
        for mirror in list_mirrors(running):
            stored = {
                key: item.revision
                for key, item in fleet.store.items.items()
                if key.startswith(mirror.prefix)
            }
            if mirror.revisions != stored:
                run.violations.add(f"{name} differs below {mirror.prefix}")
