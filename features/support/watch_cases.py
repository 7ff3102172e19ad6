"""Decisions of the watch relay, and cases of a larger fleet.

Guards against the store's load growing with the number of gateways, and
against gateways that miss changes since the gateway they follow does.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from pistachiospar.directory.history import HistoryPosition
from pistachiospar.directory.history import PrefixHistory
from pistachiospar.pool_holders.models import HolderRecord
from pistachiospar.ports.kv import KvEvent
from pistachiospar.watch_relay.ranking import choose_sources
from pistachiospar.watch_relay.ranking import count_sources
from pistachiospar.watch_relay.ranking import order_sources
from pistachiospar.watch_relay.sources import SourceList
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
import trio

from .gateway_cases import submit_once
from .histories import make_history
from .watch_scenarios import count_calls

MAX_VIRTUAL_S = 120.0
GATEWAYS = 20
NAMES = [f"g{number}" for number in range(GATEWAYS)]


def make_prefix_history() -> PrefixHistory:
    """Return a history of one listed item and two changes."""
    history = PrefixHistory("h", [KvEvent("a", b"1", 5)], 6)
    history.record(KvEvent("b", b"1", 8))
    history.record(KvEvent("a", None, 9))
    return history


def read_keys(position: HistoryPosition) -> tuple[bool, list[str]]:
    """Return whether a follower gets a snapshot, and of which keys."""
    page = make_prefix_history().read(position, 9)
    return page.is_snapshot, [event.key for event in page.events]


def read_after_listing() -> tuple[bool, list[str]]:
    """Return what a follower gets that may know a key that was missed."""
    history = make_prefix_history()
    history.record_listing([KvEvent("b", b"1", 8)], 12)
    page = history.read(HistoryPosition("other", 3, 10, 10), 12)
    return page.is_snapshot, [event.key for event in page.events]


def list_records() -> dict[str, HolderRecord]:
    """Return the records of all gateways."""
    return {name: HolderRecord(name, name, f"life-{name}") for name in NAMES}


def list_replacements(is_silent: bool) -> int:
    """Return how many new sources a follower counts after a failure."""
    sources = SourceList("g0", Random(1))
    before = sources.list_usable(list_records(), 0.0)
    sources.record_failure(before[0], is_silent, 0.0)
    after = sources.list_usable(list_records(), 0.1)
    return len([record for record in after if record not in before])


def count_preferred() -> int:
    """Return how many sources are the first choice of some follower."""
    sources = choose_sources(NAMES, [])
    return len({order_sources(name, sources)[0] for name in NAMES})


DECISIONS: dict[str, tuple[Callable[[], object], object]] = {
    "all gateways of a small fleet watch the store": (
        lambda: sorted(choose_sources(NAMES[:5], [])),
        NAMES[:5],
    ),
    "a fleet of 58 has six sources": (lambda: count_sources(58), 6),
    "a fleet of 410 has 26 sources": (lambda: count_sources(410), 26),
    "a silent gateway is replaced as a source": (
        lambda: list_replacements(True),
        1,
    ),
    "a source without contact is left but not replaced": (
        lambda: list_replacements(False),
        0,
    ),
    "followers spread over the sources": (count_preferred, 6),
    "a follower of a history gets the changes since": (
        lambda: read_keys(HistoryPosition("h", 1, 8, 8)),
        (False, ["a"]),
    ),
    "a follower of another history gets the changes since its revision": (
        lambda: read_keys(HistoryPosition("other", 7, 8, 8)),
        (False, ["a"]),
    ),
    "a follower that knows too little gets a snapshot": (
        lambda: read_keys(HistoryPosition()),
        (True, ["b"]),
    ),
    "a listing may have missed a key that a follower knows": (
        read_after_listing,
        (True, ["b"]),
    ),
    "a follower that knows more waits": (
        lambda: make_prefix_history().has_changes(
            HistoryPosition("other", 1, 9, 11), 9
        ),
        False,
    ),
}


def list_versions(fleet: GatewayFleet) -> set[int]:
    """Return the configurations in force at the gateways."""
    return {
        running.coordinator.directory.table.version
        for running in fleet.running.values()
    }


def list_watchers(fleet: GatewayFleet) -> list[str]:
    """Return the gateways that watch the store themselves."""
    return [
        name
        for name, running in fleet.running.items()
        if not running.coordinator.watch_relay.source_name
    ]


async def check_few_watchers(fleet: GatewayFleet) -> bool:
    """Check that only the sources watch, and what the others call."""
    watchers = list_watchers(fleet)
    others = [r for n, r in fleet.running.items() if n not in watchers]
    calls = sum(sum(r.kv.calls.values()) for r in others)
    await trio.sleep(20.0)
    later = sum(sum(r.kv.calls.values()) for r in others)
    return len(watchers) == 6 and later == calls


async def check_change(fleet: GatewayFleet) -> bool:
    """Check that a change is in force everywhere within 0.1 s."""
    fleet.write_configuration()
    await trio.sleep(0.1)
    return list_versions(fleet) == {fleet.configuration_version}


async def check_storm(fleet: GatewayFleet) -> bool:
    """Check a storm of changes: in force at once, and few calls."""
    before = count_calls(fleet)
    for _ in range(30):
        fleet.write_configuration()
        await trio.sleep(0.1)
    await trio.sleep(0.1)
    in_force = list_versions(fleet) == {fleet.configuration_version}
    return in_force and count_calls(fleet) - before < 6 * 30 + 100


async def check_all_sources_killed(fleet: GatewayFleet) -> bool:
    """Check that a change is known 2 s after all sources were killed.

    A few others take their place later, not all.
    """
    for name in list_watchers(fleet):
        fleet.kill_gateway(name)
    fleet.write_configuration()
    await trio.sleep(2.0)
    in_force = list_versions(fleet) == {fleet.configuration_version}
    await trio.sleep(15.0)
    return in_force and 2 <= len(list_watchers(fleet)) <= 8


async def check_suspended_source(fleet: GatewayFleet) -> bool:
    """Check that a change is known 2 s after all sources were suspended."""
    watchers = list_watchers(fleet)
    for name in watchers:
        fleet.suspended.add(name)
        fleet.running[name].kv.faults.silent_poll = True
    fleet.write_configuration()
    await trio.sleep(2.0)
    version = fleet.configuration_version
    others = [r for n, r in fleet.running.items() if n not in watchers]
    return all(
        r.coordinator.directory.table.version == version for r in others
    )


async def check_cut_sources(fleet: GatewayFleet) -> bool:
    """Check a change while the store responds to no source.

    The sources reply to their followers as before; these have to notice that
    the sources have lost contact.
    """
    watchers = list_watchers(fleet)
    for name in watchers:
        faults = fleet.running[name].kv.faults
        faults.latency_s, faults.silent_poll = 3.0, True
    await trio.sleep(0.5)
    fleet.write_configuration()
    await trio.sleep(2.0)
    version = fleet.configuration_version
    others = [r for n, r in fleet.running.items() if n not in watchers]
    return all(
        r.coordinator.directory.table.version == version for r in others
    )


async def check_refused_source(fleet: GatewayFleet) -> bool:
    """Check that a source that the store refuses follows another one."""
    name = list_watchers(fleet)[0]
    fleet.running[name].kv.faults.down = True
    await trio.sleep(3.0)
    fleet.write_configuration()
    await trio.sleep(0.5)
    return list_versions(fleet) == {fleet.configuration_version}


async def check_long_refusal(fleet: GatewayFleet) -> bool:
    """Check that a source that is refused for 12 s knows each change.

    It may try the store itself now and then, but must not lose touch.
    """
    name = list_watchers(fleet)[0]
    fleet.running[name].kv.faults.down = True
    await trio.sleep(3.0)
    directory = fleet.running[name].coordinator.directory
    for _ in range(12):
        fleet.write_configuration()
        await trio.sleep(0.75)
        if directory.table.version != fleet.configuration_version:
            return False
    return True


async def check_outage(fleet: GatewayFleet) -> bool:
    """Check an outage of the store: few calls, and soon back after it."""
    for running in fleet.running.values():
        running.kv.faults.down = True
    await trio.sleep(3.0)
    before = count_calls(fleet)
    await trio.sleep(10.0)
    calls_per_s = (count_calls(fleet) - before) / 10.0
    for running in fleet.running.values():
        running.kv.faults.down = False
    fleet.write_configuration()
    await trio.sleep(2.0)
    in_force = list_versions(fleet) == {fleet.configuration_version}
    return in_force and calls_per_s < 4.0 * GATEWAYS


def count_writes(fleet: GatewayFleet) -> int:
    """Return the calls that write, without renewals of leases."""
    return sum(
        running.kv.calls["write"] - running.kv.renewals
        for running in fleet.running.values()
    )


async def check_calls_in_outage(fleet: GatewayFleet) -> bool:
    """Check that a submission in an outage doesn't multiply its calls.

    The accepting gateway tries each 0.15 s; no peer may try with it.
    """
    for running in fleet.running.values():
        running.kv.faults.down = True
    await trio.sleep(4.0)
    before = count_writes(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit_once, fleet, make_history("waits", 3))
        await trio.sleep(4.0)
        after = count_writes(fleet)
        nursery.cancel_scope.cancel()
    return 10 <= after - before <= 30


async def check_restart_of_all(fleet: GatewayFleet) -> bool:
    """Check the calls of a fleet whose gateways restart together."""
    for name in NAMES:
        fleet.kill_gateway(name)
    for name in NAMES:
        fleet.start_gateway(name)
    await trio.sleep(1.0)
    in_force = list_versions(fleet) == {fleet.configuration_version}
    return in_force and count_calls(fleet) < 8 * GATEWAYS


CASES: dict[str, Callable[[GatewayFleet], Awaitable[bool]]] = {
    "only the sources watch the store": check_few_watchers,
    "a change is in force everywhere at once": check_change,
    "a storm of changes costs few calls": check_storm,
    "all sources are killed": check_all_sources_killed,
    "all sources are suspended": check_suspended_source,
    "the store responds to no source": check_cut_sources,
    "the store refuses a source": check_refused_source,
    "the store refuses a source for long": check_long_refusal,
    "the store is unavailable to all": check_outage,
    "a submission waits for the store": check_calls_in_outage,
    "all gateways restart together": check_restart_of_all,
}


def run_case(name: str) -> bool:
    """Run a case on twenty gateways; return whether it passed."""

    async def work() -> bool:
        plan = GatewayPlan(GATEWAYS, samplers=2, seed=5, is_first_start=True)
        fleet = GatewayFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await trio.sleep(3.0)
            passed = await CASES[name](fleet)
            nursery.cancel_scope.cancel()
        return passed

    return run_virtual(work, 5, MAX_VIRTUAL_S)
