"""Random interleavings of calls and faults, by seed, in virtual time."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

import msgspec
from pistachiospar_standins.fakes.entry_fleet import FleetPlan
from pistachiospar_standins.fakes.entry_fleet import MemoryFleet
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.links import FaultPoint
from pistachiospar_standins.fakes.links import LinkFault
from pistachiospar_standins.fakes.recorders import ResponseRecorder
import trio

from .bundles import make_bundle
from .calls import CALL_KINDS
from .calls import count_runs
from .calls import make_request

MAX_VIRTUAL_S = 900.0
CALL_COUNT = 24
CALL_SPAN_S = 6.0
TIMEOUTS_MS = (400, 2000, 6000)
MAX_ATTEMPTS = 3
SETTLE_DELAY_S = 25.0

PLAIN_INSTANCES = ("plain-1", "plain-2", "plain-3")


@dataclass(slots=True)
class CallHistory:
    """Responses to all attempts at one call."""

    kind: str
    body: str
    responses: list[ResponseRecorder] = field(default_factory=list)


@dataclass(slots=True)
class Interleaving:
    """Calls of one seed, how often each body ran, and the faults."""

    seed: int
    histories: list[CallHistory] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    injected_faults: list[str] = field(default_factory=list)

    def find_violations(self) -> list[str]:
        """Return the guarantees that were violated."""
        violations: list[str] = []
        for history in self.histories:
            violations.extend(
                check_history(history, self.runs.get(history.body, 0))
            )
        return [f"seed {self.seed}: {line}" for line in violations]


def check_history(history: CallHistory, runs: int) -> list[str]:
    """Return the guarantees that were violated for one call."""
    violations: list[str] = []
    outcomes = [response.outcome for response in history.responses]
    name = f"{history.kind} {history.body} {outcomes}"
    if runs > 1 and CALL_KINDS[history.kind].method == "POST":
        violations.append(f"{name} ran {runs} times")
    if runs and outcomes and set(outcomes) == {"not-run"}:
        violations.append(f"{name} is not-run, but ran {runs} times")
    for response in history.responses:
        if response.responses_started > 1:
            violations.append(f"{name} got more than one response")
        if response.outcome != "done":
            continue
        if not runs:
            violations.append(f"{name} is done, but never ran")
        if not response.body.decode().endswith(" " + history.body):
            violations.append(f"{name} got {response.body!r}")
    return violations


def run_interleaving(seed: int) -> Interleaving:
    """Run one seed: random calls and random faults."""
    rng = Random(seed)
    result = Interleaving(seed)

    async def run_calls() -> None:
        plan = FleetPlan(
            make_bundle(),
            2,
            {"plain": len(PLAIN_INSTANCES), "engine": 1},
            slots=rng.choice([1, 2, 8]),
            queue_limit=rng.choice([2, 64]),
            seed=seed,
        )
        fleet = MemoryFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            async with trio.open_nursery() as callers:
                callers.start_soon(inject_faults, fleet, rng, result)
                for number in range(CALL_COUNT):
                    history = CallHistory(
                        rng.choice(list(CALL_KINDS)), f"b{number}"
                    )
                    result.histories.append(history)
                    start_s = rng.uniform(0.0, CALL_SPAN_S)
                    callers.start_soon(
                        make_calls, fleet, history, rng, start_s
                    )
            await trio.sleep(SETTLE_DELAY_S)
            result.runs = dict(count_runs(fleet))
            nursery.cancel_scope.cancel()

    run_virtual(run_calls, seed, MAX_VIRTUAL_S)
    return result


async def make_calls(
    fleet: MemoryFleet, history: CallHistory, rng: Random, start_s: float
) -> None:
    """Make a call; a keyed one is repeated through either entry."""
    await trio.sleep(start_s)
    kind = CALL_KINDS[history.kind]
    attempts = rng.randint(1, MAX_ATTEMPTS) if kind.keyed else 1
    for _ in range(attempts):
        request = make_request(kind, history.body, rng.choice(TIMEOUTS_MS))
        name = rng.choice(["entry-1", "entry-2"])
        entry = fleet.entries.get(name)
        if entry is None:
            continue
        recorder = ResponseRecorder()
        history.responses.append(recorder)
        with trio.move_on_after(rng.choice([0.05, 0.3, 20.0])):
            await entry.handler.handle(request, recorder)
        await trio.sleep(rng.uniform(0.0, 1.0))


async def inject_faults(
    fleet: MemoryFleet, rng: Random, result: Interleaving
) -> None:
    """Inject random faults at random times."""
    for _ in range(rng.randint(1, 6)):
        await trio.sleep(rng.uniform(0.0, CALL_SPAN_S / 4))
        inject_fault = rng.choice(FAULTS)
        result.injected_faults.append(inject_fault.__name__)
        await inject_fault(fleet, rng)


async def inject_link_faults(fleet: MemoryFleet, rng: Random) -> None:
    """Make some of the next orders fail on random links."""
    for _ in range(rng.randint(1, 6)):
        link = rng.choice(list(fleet.links.values()))
        point = rng.choice(list(FaultPoint))
        link.faults.append(
            LinkFault(point, rng.random() < 0.3, rng.uniform(0.0, 0.12))
        )


async def restart_sidecar(fleet: MemoryFleet, rng: Random) -> None:
    """Kill a sidecar; start it again in most cases."""
    name = rng.choice(PLAIN_INSTANCES)
    if fleet.hosts[name].coordinator is None:
        return
    fleet.kill_sidecar(name)
    await trio.sleep(rng.uniform(0.0, 1.5))
    if rng.random() < 0.8:
        await fleet.start_sidecar(name)


async def restart_entry(fleet: MemoryFleet, rng: Random) -> None:
    """Kill an entry and start it again."""
    name = rng.choice(["entry-1", "entry-2"])
    if name not in fleet.entries:
        return
    fleet.kill_entry(name)
    await trio.sleep(rng.uniform(0.0, 1.0))
    fleet.start_entry(name)


async def disturb_upstream(fleet: MemoryFleet, rng: Random) -> None:
    """Stop or slow an upstream, or make it lose or truncate responses."""
    faults = fleet.services[rng.choice(PLAIN_INSTANCES)].faults
    match rng.randint(0, 3):
        case 0:
            faults.down = True
            await trio.sleep(rng.uniform(0.0, 1.5))
            faults.down = False
        case 1:
            faults.lost_responses += rng.randint(1, 3)
        case 2:
            faults.truncated_responses += rng.randint(1, 3)
        case _:
            faults.slow_factor = rng.choice([0.5, 3.0, 20.0])


async def change_instance_list(fleet: MemoryFleet, rng: Random) -> None:
    """Mark an instance as leaving in the instance list, or as staying."""
    name = rng.choice(PLAIN_INSTANCES)
    instance = fleet.instances.get(name)
    if instance is None:
        return
    changed = msgspec.structs.replace(instance, leaving=rng.random() < 0.7)
    fleet.instances[name] = changed
    fleet.publish_instances()


async def silence_control_channel(fleet: MemoryFleet, rng: Random) -> None:
    """Silence a sidecar's control channel for a while."""
    host = fleet.hosts[rng.choice(PLAIN_INSTANCES)]
    host.control_silent = True
    await trio.sleep(rng.uniform(0.0, 4.0))
    host.control_silent = False


async def interrupt_key_value(fleet: MemoryFleet, rng: Random) -> None:
    """Take the key-value service down for a while."""
    fleet.kv_faults.down = True
    await trio.sleep(rng.uniform(0.0, 3.0))
    fleet.kv_faults.down = False


async def drain_sidecar(fleet: MemoryFleet, rng: Random) -> None:
    """Drain a sidecar, then restart it."""
    name = rng.choice(PLAIN_INSTANCES)
    coordinator = fleet.hosts[name].coordinator
    if coordinator is None:
        return
    coordinator.drain()
    await trio.sleep(rng.uniform(0.5, 2.0))
    if fleet.hosts[name].coordinator is coordinator:
        fleet.kill_sidecar(name)
        await fleet.start_sidecar(name)


FAULTS: list[Callable[[MemoryFleet, Random], Awaitable[None]]] = [
    inject_link_faults,
    inject_link_faults,
    inject_link_faults,
    restart_sidecar,
    restart_entry,
    disturb_upstream,
    change_instance_list,
    silence_control_channel,
    interrupt_key_value,
    drain_sidecar,
]
