"""Measure in virtual time what the key-value service carries.

Also how long a bundle takes to be in force, and weights to be loaded.
"""

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.bundle.models import Bundle
from pistachiospar_standins.engine.core import EngineSettings
from pistachiospar_standins.fakes.fleet import FleetPlan
from pistachiospar_standins.fakes.fleet import MemoryFleet
from pistachiospar_standins.fakes.fleet import run_virtual
from pistachiospar_standins.fakes.sinks import ResponseRecorder
import trio

from . import fleets
from .models import Table
from .processes import fit_line
from .processes import fit_series

ENTRIES = (2, 4, 8, 16)
SAMPLERS = (4, 8, 16)
LIMIT_S = 3600.0
COUNT_S = 60.0
FULL_ENTRIES = 410
READS_PER_S = 500.0
WRITES_PER_S = 100.0
IN_FORCE_S = 4.0
SWAP_S = 11.0
CHANGES_PER_S = (0.74, 7.4)


def get_bundle() -> Bundle:
    """Return the lv-riga bundle."""
    return fleets.make_bundle(fleets.PLANS["lv-riga"])


def count_calls(entries: int, changes_per_s: float) -> dict[str, float]:
    """Return the entries' calls a second while bundles are rolled."""

    async def work() -> dict[str, float]:
        plan = FleetPlan(get_bundle(), entries, {"lm-pool": 1, "lampu-app": 1})
        fleet = MemoryFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            before = sum_calls(fleet)
            until = trio.current_time() + COUNT_S
            number = 0
            while trio.current_time() < until:
                if not changes_per_s:
                    await trio.sleep(COUNT_S)
                    break
                number += 1
                bundle = msgspec.structs.replace(
                    get_bundle(), name=f"b-{number}"
                )
                await fleet.roll_bundle(bundle)
                await trio.sleep(1.0 / changes_per_s)
            after = sum_calls(fleet)
            nursery.cancel_scope.cancel()
        return {k: (after[k] - before[k]) / COUNT_S for k in after}

    return run_virtual(work, 3, LIMIT_S)


def sum_calls(fleet: MemoryFleet) -> dict[str, int]:
    """Return the calls made so far, by kind."""
    total = {"read": 0, "write": 0, "watch": 0}
    for kv in fleet.kvs.values():
        for kind, count in kv.calls.items():
            total[kind] += count
    return total


def time_in_force(entries: int) -> float:
    """Return the seconds until a bundle is in force at all processes."""

    async def work() -> float:
        plan = FleetPlan(get_bundle(), entries, {"lm-pool": 4, "lampu-app": 4})
        fleet = MemoryFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await trio.sleep(5.0)
            await fleet.roll_bundle(
                msgspec.structs.replace(get_bundle(), name="b")
            )
            started = trio.current_time()
            while not is_in_force(fleet, 2):
                await trio.sleep(0.001)
            took_s = trio.current_time() - started
            nursery.cancel_scope.cancel()
        return took_s

    return run_virtual(work, 3, LIMIT_S)


def is_in_force(fleet: MemoryFleet, version: int) -> bool:
    """Return whether a version is in force everywhere."""
    keepers = [entry.keeper for entry in fleet.entries.values()]
    for host in fleet.hosts.values():
        if host.coordinator is not None:
            keepers.append(host.coordinator.keeper)
    return all(keeper.version >= version for keeper in keepers)


def time_swap(samplers: int) -> float:
    """Return the seconds until all samplers hold a new version."""

    async def work() -> float:
        plan = FleetPlan(
            get_bundle(),
            2,
            {"lm-pool": samplers, "lampu-app": 1},
            engine=EngineSettings(swap_s=1.0),
        )
        fleet = MemoryFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await announce(fleet, 1)
            await trio.sleep(10.0)
            started = trio.current_time()
            await announce(fleet, 2)
            engines = fleet.engines.values()
            while any(e.model.versions.get("routes") != 2 for e in engines):
                await trio.sleep(0.01)
            took_s = trio.current_time() - started
            nursery.cancel_scope.cancel()
        return took_s

    return run_virtual(work, 3, LIMIT_S)


async def announce(fleet: MemoryFleet, version: int) -> None:
    """Announce weights."""
    body = msgspec.json.encode({"version": version, "source": "s"})
    request = HttpRequest("POST", "/trainers/routes/weights", "", {}, body)
    await fleet.entries["entry-1"].handler.handle(request, ResponseRecorder())


def measure(table: Table) -> None:
    """Measure what the service carries."""
    sizes = [float(n) for n in ENTRIES]
    for changes in (0.0, *CHANGES_PER_S):
        calls = [count_calls(entries, changes) for entries in ENTRIES]
        label = f"key-value service, {changes:g} changes/s: "
        reads = fit_series(
            table,
            label + "reads",
            "entries",
            "/s",
            sizes,
            [c["read"] + c["watch"] for c in calls],
        )
        writes = fit_line(sizes, [c["write"] for c in calls])
        table.add(label + "reads, slope", reads.slope, "/s an entry")
        table.add(label + "reads, residual", reads.residual, "/s")
        table.add(
            label + "reads, full size",
            reads.at(FULL_ENTRIES),
            "/s",
            at_most=READS_PER_S,
        )
        table.add(label + "writes, slope", writes.slope, "/s an entry")
        table.add(
            label + "writes, full size",
            writes.at(FULL_ENTRIES),
            "/s",
            at_most=WRITES_PER_S,
        )
    force = fit_line(sizes, [time_in_force(n) for n in ENTRIES])
    table.add("bundle: in force, base", force.base * 1e3, "ms")
    table.add("bundle: in force, slope", force.slope * 1e3, "ms/entry")
    table.add(
        "bundle: in force, 410 entries",
        force.at(FULL_ENTRIES),
        "s",
        at_most=IN_FORCE_S,
    )
    swaps = [time_swap(n) for n in SAMPLERS]
    line = fit_line([float(n) for n in SAMPLERS], swaps)
    table.add("weights: all samplers, 16 samplers", swaps[-1], "s", SWAP_S)
    table.add("weights: all samplers, slope", line.slope, "s/sampler")
