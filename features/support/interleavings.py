"""Support random interleavings of calls and faults, by seed."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

import msgspec
from pistachiospar_standins.fakes.fleet import FleetPlan
from pistachiospar_standins.fakes.fleet import MemoryFleet
from pistachiospar_standins.fakes.fleet import run_virtual
from pistachiospar_standins.fakes.links import LinkFault
from pistachiospar_standins.fakes.links import Moment
from pistachiospar_standins.fakes.sinks import AnswerExchange
import trio

from .bundles import make_bundle
from .calls import count_runs
from .calls import KINDS
from .calls import make_request

LIMIT_S = 900.0
CALLS = 24
SPAN_S = 6.0
TIMEOUTS_MS = (400, 2000, 6000)
MAX_TRIES = 3
SETTLE_S = 25.0

PLAIN = ("plain-1", "plain-2", "plain-3")


@dataclass(slots=True)
class CallStory:
    """Hold all tries of one call."""

    kind: str
    body: str
    answers: list[AnswerExchange] = field(default_factory=list)


@dataclass(slots=True)
class Interleaving:
    """Hold what came of one seed."""

    seed: int
    stories: list[CallStory] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    blows: list[str] = field(default_factory=list)

    def find_broken(self) -> list[str]:
        """Return the promises that broke."""
        broken: list[str] = []
        for story in self.stories:
            broken.extend(judge_story(story, self.runs.get(story.body, 0)))
        return [f"seed {self.seed}: {line}" for line in broken]


def judge_story(story: CallStory, runs: int) -> list[str]:
    """Return the promises that one call saw broken."""
    broken: list[str] = []
    outcomes = [answer.outcome for answer in story.answers]
    name = f"{story.kind} {story.body} {outcomes}"
    if runs > 1 and KINDS[story.kind].method == "POST":
        broken.append(f"{name} ran {runs} times")
    if runs and outcomes and set(outcomes) == {"not-run"}:
        broken.append(f"{name} is not-run, and ran {runs} times")
    for answer in story.answers:
        if answer.answers > 1:
            broken.append(f"{name} was answered twice")
        if answer.outcome != "done":
            continue
        if not runs:
            broken.append(f"{name} is done, and never ran")
        if not answer.body.decode().endswith(" " + story.body):
            broken.append(f"{name} got {answer.body!r}")
    return broken


def run_interleaving(seed: int) -> Interleaving:
    """Run one seed: random calls, link faults and blows."""
    rng = Random(seed)
    result = Interleaving(seed)

    async def work() -> None:
        plan = FleetPlan(
            make_bundle(),
            2,
            {"plain": len(PLAIN), "engine": 1},
            slots=rng.choice([1, 2, 8]),
            queue_limit=rng.choice([2, 64]),
            seed=seed,
        )
        fleet = MemoryFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            async with trio.open_nursery() as callers:
                callers.start_soon(strike_often, fleet, rng, result)
                for number in range(CALLS):
                    story = CallStory(rng.choice(list(KINDS)), f"b{number}")
                    result.stories.append(story)
                    start_s = rng.uniform(0.0, SPAN_S)
                    callers.start_soon(tell_story, fleet, story, rng, start_s)
            await trio.sleep(SETTLE_S)
            result.runs = dict(count_runs(fleet))
            nursery.cancel_scope.cancel()

    run_virtual(work, seed, LIMIT_S)
    return result


async def tell_story(
    fleet: MemoryFleet, story: CallStory, rng: Random, start_s: float
) -> None:
    """Make a call; a keyed one is tried again through any entry."""
    await trio.sleep(start_s)
    kind = KINDS[story.kind]
    tries = rng.randint(1, MAX_TRIES) if kind.keyed else 1
    for _ in range(tries):
        request = make_request(kind, story.body, rng.choice(TIMEOUTS_MS))
        name = rng.choice(["entry-1", "entry-2"])
        entry = fleet.entries.get(name)
        if entry is None:
            continue
        exchange = AnswerExchange()
        story.answers.append(exchange)
        with trio.move_on_after(rng.choice([0.05, 0.3, 20.0])):
            await entry.handler.handle(request, exchange)
        await trio.sleep(rng.uniform(0.0, 1.0))


async def strike_often(
    fleet: MemoryFleet, rng: Random, result: Interleaving
) -> None:
    """Strike at random times."""
    for _ in range(rng.randint(1, 6)):
        await trio.sleep(rng.uniform(0.0, SPAN_S / 4))
        blow = rng.choice(BLOWS)
        result.blows.append(blow.__name__)
        await blow(fleet, rng)


async def break_links(fleet: MemoryFleet, rng: Random) -> None:
    """Let some of the next orders meet faults."""
    for _ in range(rng.randint(1, 6)):
        link = rng.choice(list(fleet.links.values()))
        moment = rng.choice(list(Moment))
        link.faults.append(
            LinkFault(moment, rng.random() < 0.3, rng.uniform(0.0, 0.12))
        )


async def kill_and_restart(fleet: MemoryFleet, rng: Random) -> None:
    """Kill a sidecar, and mostly start it anew."""
    name = rng.choice(PLAIN)
    if fleet.hosts[name].coordinator is None:
        return
    fleet.kill_sidecar(name)
    await trio.sleep(rng.uniform(0.0, 1.5))
    if rng.random() < 0.8:
        await fleet.start_sidecar(name)


async def restart_entry(fleet: MemoryFleet, rng: Random) -> None:
    """Kill an entry and start it anew."""
    name = rng.choice(["entry-1", "entry-2"])
    if name not in fleet.entries:
        return
    fleet.kill_entry(name)
    await trio.sleep(rng.uniform(0.0, 1.0))
    fleet.start_entry(name)


async def bounce_upstream(fleet: MemoryFleet, rng: Random) -> None:
    """Let an upstream refuse, lose or cut answers for a while."""
    faults = fleet.services[rng.choice(PLAIN)].faults
    match rng.randint(0, 3):
        case 0:
            faults.down = True
            await trio.sleep(rng.uniform(0.0, 1.5))
            faults.down = False
        case 1:
            faults.lose_answers += rng.randint(1, 3)
        case 2:
            faults.cut_answers += rng.randint(1, 3)
        case _:
            faults.slow_factor = rng.choice([0.5, 3.0, 20.0])


async def change_list(fleet: MemoryFleet, rng: Random) -> None:
    """Let the list say that an instance leaves, goes or is back."""
    name = rng.choice(PLAIN)
    instance = fleet.instances.get(name)
    if instance is None:
        return
    leaving = msgspec.structs.replace(instance, leaving=rng.random() < 0.7)
    fleet.instances[name] = leaving
    fleet.publish()


async def silence_control(fleet: MemoryFleet, rng: Random) -> None:
    """Let a sidecar's control channel fall silent for a while."""
    host = fleet.hosts[rng.choice(PLAIN)]
    host.control_silent = True
    await trio.sleep(rng.uniform(0.0, 4.0))
    host.control_silent = False


async def bounce_key_value(fleet: MemoryFleet, rng: Random) -> None:
    """Take the key-value service down for a while."""
    fleet.kv_faults.down = True
    await trio.sleep(rng.uniform(0.0, 3.0))
    fleet.kv_faults.down = False


async def drain(fleet: MemoryFleet, rng: Random) -> None:
    """Drain a sidecar, then start it anew."""
    name = rng.choice(PLAIN)
    coordinator = fleet.hosts[name].coordinator
    if coordinator is None:
        return
    coordinator.drain()
    await trio.sleep(rng.uniform(0.5, 2.0))
    if fleet.hosts[name].coordinator is coordinator:
        fleet.kill_sidecar(name)
        await fleet.start_sidecar(name)


BLOWS: list[Callable[[MemoryFleet, Random], Awaitable[None]]] = [
    break_links,
    break_links,
    break_links,
    kill_and_restart,
    restart_entry,
    bounce_upstream,
    change_list,
    silence_control,
    bounce_key_value,
    drain,
]
