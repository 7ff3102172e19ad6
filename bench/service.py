"""Benchmark of the load on the key-value service, in virtual time.

Also measures how long a bundle takes to be in force everywhere, and new
weights to be loaded by all samplers.
"""

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.bundle.models import Bundle
from pistachiospar_standins.engine.core import EngineSettings
from pistachiospar_standins.fakes.entry_fleet import FleetPlan
from pistachiospar_standins.fakes.entry_fleet import MemoryFleet
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.recorders import ResponseRecorder
import trio

from . import fleets
from .models import Table
from .processes import fit_line
from .processes import fit_series

ENTRY_COUNTS = (2, 4, 8, 16)
SAMPLER_COUNTS = (4, 8, 16)
MAX_VIRTUAL_S = 3600.0
COUNT_DURATION_S = 60.0
FULL_SIZE_ENTRIES = 410
MAX_READS_PER_S = 500.0
MAX_WRITES_PER_S = 100.0
MAX_IN_FORCE_S = 4.0
MAX_SWAP_S = 11.0
CHANGES_PER_S = (0.74, 7.4)


def get_bundle() -> Bundle:
    """Return the lv-riga bundle."""
    return fleets.make_bundle(fleets.PLANS["lv-riga"])


def measure_call_rates(entries: int, changes_per_s: float) -> dict[str, float]:
    """Return the calls/s by kind while bundles are rolled at a rate."""

    async def run_fleet() -> dict[str, float]:
        plan = FleetPlan(get_bundle(), entries, {"lm-pool": 1, "lampu-app": 1})
        fleet = MemoryFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            before = count_calls_by_kind(fleet)
            end_at = trio.current_time() + COUNT_DURATION_S
            bundle_number = 0
            while trio.current_time() < end_at:
                if not changes_per_s:
                    await trio.sleep(COUNT_DURATION_S)
                    break
                bundle_number += 1
                bundle = msgspec.structs.replace(
                    get_bundle(), name=f"b-{bundle_number}"
                )
                await fleet.roll_bundle(bundle)
                await trio.sleep(1.0 / changes_per_s)
            after = count_calls_by_kind(fleet)
            nursery.cancel_scope.cancel()
        return {k: (after[k] - before[k]) / COUNT_DURATION_S for k in after}

    return run_virtual(run_fleet, 3, MAX_VIRTUAL_S)


def count_calls_by_kind(fleet: MemoryFleet) -> dict[str, int]:
    """Return the number of calls so far, by kind."""
    total = {"read": 0, "write": 0, "watch": 0}
    for kv in fleet.kvs.values():
        for kind, count in kv.calls.items():
            total[kind] += count
    return total


def measure_in_force_delay_s(entries: int) -> float:
    """Return how long a bundle takes to be in force at all processes."""

    async def run_fleet() -> float:
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

    return run_virtual(run_fleet, 3, MAX_VIRTUAL_S)


def is_in_force(fleet: MemoryFleet, version: int) -> bool:
    """Return whether a bundle version is in force at all processes."""
    keepers = [entry.keeper for entry in fleet.entries.values()]
    for host in fleet.hosts.values():
        if host.coordinator is not None:
            keepers.append(host.coordinator.keeper)
    return all(keeper.version >= version for keeper in keepers)


def measure_swap_s(samplers: int) -> float:
    """Return how long all samplers take to load a new version."""

    async def run_fleet() -> float:
        plan = FleetPlan(
            get_bundle(),
            2,
            {"lm-pool": samplers, "lampu-app": 1},
            engine=EngineSettings(swap_s=1.0),
        )
        fleet = MemoryFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await announce_weights(fleet, 1)
            await trio.sleep(10.0)
            started = trio.current_time()
            await announce_weights(fleet, 2)
            engines = fleet.engines.values()
            while any(e.model.versions.get("routes") != 2 for e in engines):
                await trio.sleep(0.01)
            took_s = trio.current_time() - started
            nursery.cancel_scope.cancel()
        return took_s

    return run_virtual(run_fleet, 3, MAX_VIRTUAL_S)


async def announce_weights(fleet: MemoryFleet, version: int) -> None:
    """Announce a weight version at the first entry."""
    body = msgspec.json.encode({"version": version, "source": "s"})
    request = HttpRequest("POST", "/trainers/routes/weights", "", {}, body)
    await fleet.entries["entry-1"].handler.handle(request, ResponseRecorder())


def measure(table: Table) -> None:
    """Measure calls, bundle delays and weight swaps by fleet size."""
    sizes = [float(n) for n in ENTRY_COUNTS]
    for changes_per_s in (0.0, *CHANGES_PER_S):
        calls = [
            measure_call_rates(entries, changes_per_s)
            for entries in ENTRY_COUNTS
        ]
        label = f"key-value service, {changes_per_s:g} changes/s: "
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
            reads.predict(FULL_SIZE_ENTRIES),
            "/s",
            at_most=MAX_READS_PER_S,
        )
        table.add(label + "writes, slope", writes.slope, "/s an entry")
        table.add(
            label + "writes, full size",
            writes.predict(FULL_SIZE_ENTRIES),
            "/s",
            at_most=MAX_WRITES_PER_S,
        )
    in_force = fit_line(
        sizes, [measure_in_force_delay_s(n) for n in ENTRY_COUNTS]
    )
    table.add("bundle: in force, base", in_force.base * 1e3, "ms")
    table.add("bundle: in force, slope", in_force.slope * 1e3, "ms/entry")
    table.add(
        "bundle: in force, 410 entries",
        in_force.predict(FULL_SIZE_ENTRIES),
        "s",
        at_most=MAX_IN_FORCE_S,
    )
    swaps = [measure_swap_s(n) for n in SAMPLER_COUNTS]
    line = fit_line([float(n) for n in SAMPLER_COUNTS], swaps)
    table.add("weights: all samplers, 16 samplers", swaps[-1], "s", MAX_SWAP_S)
    table.add("weights: all samplers, slope", line.slope, "s/sampler")
