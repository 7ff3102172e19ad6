"""Support cases in which a process dies, leaves or stops."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import msgspec
from pistachiospar_standins.fakes.fleet import FleetPlan
from pistachiospar_standins.fakes.fleet import MemoryFleet
from pistachiospar_standins.fakes.fleet import run_virtual
from pistachiospar_standins.fakes.sinks import AnswerExchange
import trio

from .bundles import make_bundle
from .calls import CALL_KINDS
from .calls import count_runs
from .calls import make_request

LIMIT_S = 600.0
CALL_EVERY_S = 0.02

Blow = Callable[[MemoryFleet], Awaitable[None]]


@dataclass(slots=True)
class LoadResult:
    """Hold what came of a stream of calls; times are in seconds."""

    answers: dict[str, AnswerExchange] = field(default_factory=dict)
    runs: dict[str, int] = field(default_factory=dict)
    struck_at: float = 0.0
    last_sent_to: dict[str, float] = field(default_factory=dict)
    retries: int = 0

    def count_outcomes(self) -> dict[str, int]:
        """Return how often each outcome was told."""
        found: dict[str, int] = {}
        for answer in self.answers.values():
            found[answer.outcome] = found.get(answer.outcome, 0) + 1
        return found

    def find_broken(self, repeatable: bool) -> list[str]:
        """Return the promises that broke."""
        broken: list[str] = []
        for body, answer in self.answers.items():
            runs = self.runs.get(body, 0)
            outcome = answer.outcome
            if runs > 1 and not repeatable:
                broken.append(f"{body} ran {runs} times")
            if outcome == "not-run" and runs:
                broken.append(f"{body} not-run, and ran {runs} times")
            if outcome == "done" and not runs:
                broken.append(f"{body} done, and never ran")
            if outcome == "done" and not answer.body.decode().endswith(body):
                broken.append(f"{body} got {answer.body!r}")
        return broken


async def kill_sidecar(fleet: MemoryFleet) -> None:
    """Kill a sidecar."""
    fleet.kill_sidecar("plain-1")


async def restart_sidecar(fleet: MemoryFleet) -> None:
    """Kill a sidecar and start it anew."""
    fleet.kill_sidecar("plain-1")
    await trio.sleep(0.2)
    await fleet.start_sidecar("plain-1")


async def drain_sidecar(fleet: MemoryFleet) -> None:
    """Stop a sidecar gracefully."""
    coordinator = fleet.hosts["plain-1"].coordinator
    if coordinator is not None:
        coordinator.drain()


async def list_leaving(fleet: MemoryFleet) -> None:
    """Let the list say that an instance leaves."""
    instance = fleet.instances["plain-1"]
    fleet.instances["plain-1"] = msgspec.structs.replace(
        instance, leaving=True
    )
    fleet.publish()


async def crash_upstream(fleet: MemoryFleet) -> None:
    """Let an upstream refuse connections and lose its calls."""
    fleet.services["plain-1"].faults.down = True


async def slow_upstream(fleet: MemoryFleet) -> None:
    """Let an upstream become ten times slower."""
    fleet.services["plain-1"].faults.slow_factor = 10.0


async def silence_sidecar(fleet: MemoryFleet) -> None:
    """Let a sidecar answer nothing on its control channel."""
    fleet.hosts["plain-1"].control_silent = True


async def stop_key_value(fleet: MemoryFleet) -> None:
    """Take the key-value service down for good."""
    fleet.kv_faults.down = True


async def bounce_upstream(fleet: MemoryFleet) -> None:
    """Let an upstream go down and come back."""
    fleet.services["plain-1"].faults.down = True
    await trio.sleep(0.5)
    fleet.services["plain-1"].faults.down = False


BLOWS: dict[str, list[Blow]] = {
    "nothing": [],
    "a sidecar is killed": [kill_sidecar],
    "a sidecar is restarted": [restart_sidecar],
    "a sidecar is restarted twice": [restart_sidecar, restart_sidecar],
    "a sidecar drains": [drain_sidecar],
    "the list says an instance leaves": [list_leaving],
    "an upstream crashes": [crash_upstream],
    "an upstream becomes 10 times slower": [slow_upstream],
    "an upstream goes down and comes back": [bounce_upstream],
    "a sidecar falls silent": [silence_sidecar],
    "the key-value service goes down": [stop_key_value],
    "an upstream crashes and a sidecar drains": [
        crash_upstream,
        drain_sidecar,
    ],
    "the service goes down and a sidecar is killed": [
        stop_key_value,
        kill_sidecar,
    ],
}


def run_load(
    kind: str,
    blow: str,
    seed: int,
    calls: int = 200,
    slots: int = 8,
) -> LoadResult:
    """Send calls through two entries; strike in the middle."""

    async def work() -> LoadResult:
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
            await send_calls(fleet, kind, blow, calls, result)
            await trio.sleep(15.0)
            result.runs = dict(count_runs(fleet))
            result.retries = sum(
                entry.metrics.counts["retries"]
                for entry in fleet.entries.values()
            )
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(work, seed, LIMIT_S)


async def send_calls(
    fleet: MemoryFleet,
    kind: str,
    blow: str,
    calls: int,
    result: LoadResult,
) -> None:
    """Send calls one after the other, each in a task of its own."""

    async def send(number: int) -> None:
        body = f"body-{number}"
        entry = f"entry-{number % 2 + 1}"
        request = make_request(CALL_KINDS[kind], body, 8000)
        exchange = AnswerExchange()
        result.answers[body] = exchange
        await fleet.entries[entry].handler.handle(request, exchange)

    async with trio.open_nursery() as nursery:
        for number in range(calls):
            if number == calls // 2:
                result.struck_at = trio.current_time()
                for strike in BLOWS[blow]:
                    await strike(fleet)
            nursery.start_soon(send, number)
            await trio.sleep(CALL_EVERY_S)
            note_arrivals(fleet, result)


def note_arrivals(fleet: MemoryFleet, result: LoadResult) -> None:
    """Note when an instance last had work in flight from an entry."""
    now = trio.current_time()
    for name, host in fleet.hosts.items():
        coordinator = host.coordinator
        if coordinator is None:
            continue
        count = coordinator.metrics.counts["orders_dispatched"]
        key = f"{name}.{coordinator.incarnation}-{count}"
        if key not in result.last_sent_to:
            result.last_sent_to[key] = now


def find_last_dispatch(result: LoadResult, name: str) -> float:
    """Return when an instance was last given work."""
    return max(
        (
            at
            for key, at in result.last_sent_to.items()
            if key.rpartition(".")[0] == name
        ),
        default=0.0,
    )


def count_dispatches(result: LoadResult, since: float) -> dict[str, int]:
    """Return how much work each plain instance was given since a time."""
    counts: dict[str, int] = {}
    for key, at in result.last_sent_to.items():
        name = key.rpartition(".")[0]
        if at >= since and name.startswith("plain"):
            counts[name] = counts.get(name, 0) + 1
    return counts
