"""Support random stories of submissions and faults, by seed.

Trainers submit, read and end at any gateway while gateways die, are cut
off or stand still, the store is away, and instances fail. The promises are
judged by what callers and instances saw.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.platform.callers import encode_submission
from pistachiospar.submissions.models import Item
from pistachiospar.submissions.models import ScoreCall
from pistachiospar.submissions.models import Submission
from pistachiospar_standins.fakes.fleet import run_virtual
from pistachiospar_standins.fakes.gateways import GatewayFleet
from pistachiospar_standins.fakes.gateways import GatewayPlan
from pistachiospar_standins.fakes.gateways import HOST
from pistachiospar_standins.fakes.gateways import ROLLOUT_PREFIX
from pistachiospar_standins.fakes.gateways import SCORE_PREFIX
from pistachiospar_standins.fakes.samplers import make_output
from pistachiospar_standins.fakes.samplers import make_stamp
import trio

LIMIT_S = 400.0
SPAN_S = 14.0
SETTLE_S = 25.0
CANCEL_S = 3.0
TRIES = 4


@dataclass(slots=True)
class SubmissionStory:
    """Hold what callers saw of one submission.

    `results` maps positions to results; `refused` tells that each try was
    answered with a promise that nothing runs. Times are in seconds.
    """

    submission: Submission
    accepted: bool = False
    refused: bool = True
    end_asked: bool = False
    ended_at: float | None = None
    results: dict[int, bytes] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    total: int = 0


@dataclass(slots=True)
class Tale:
    """Hold what came of one seed."""

    seed: int
    stories: list[SubmissionStory] = field(default_factory=list)
    blows: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    listed: int = 0

    def find_broken(self) -> list[str]:
        """Return the promises that broke."""
        return [f"seed {self.seed}: {line}" for line in self.broken]


class ResultView(msgspec.Struct):
    """Read a result as a trainer does."""

    id: str
    state: str
    text: str
    versions: list[int]
    score: str


class PageView(msgspec.Struct):
    """Read a page of results as a trainer does."""

    total: int
    next: int
    results: list[ResultView]


def run_tale(seed: int) -> Tale:
    """Run one seed."""
    rng = Random(seed)
    tale = Tale(seed)
    plan = GatewayPlan(
        gateways=rng.choice([2, 3, 4]),
        samplers=rng.choice([2, 4]),
        slots=rng.choice([2, 6]),
        single_version=rng.random() < 0.2,
        seed=seed,
    )

    async def work() -> None:
        fleet = GatewayFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            async with trio.open_nursery() as callers:
                callers.start_soon(strike_often, fleet, rng, tale)
                for model in plan.models:
                    callers.start_soon(train, fleet, model, rng, tale)
            await heal(fleet)
            await trio.sleep(SETTLE_S)
            for story in tale.stories:
                await read_at_end(fleet, story, rng)
                tale.broken.extend(judge_story(fleet, story))
            tale.broken.extend(judge_orders(fleet))
            tale.listed = sum(len(story.results) for story in tale.stories)
            nursery.cancel_scope.cancel()

    run_virtual(work, seed, LIMIT_S)
    return tale


async def train(
    fleet: GatewayFleet, model: str, rng: Random, tale: Tale
) -> None:
    """Submit steps, read and end them, name versions."""
    for step in range(3):
        if step:
            fleet.name_version(model, step + 1)
        items = [
            make_item(f"{model}-{step}-{number}", model, f"g{number // 3}")
            for number in range(rng.choice([3, 9]))
        ]
        submission = Submission(
            f"sub-{model}-{step}",
            HOST,
            f"{ROLLOUT_PREFIX}{model}/",
            model,
            step,
            max(1, step),
            2,
            items,
            0.0,
        )
        story = SubmissionStory(submission)
        tale.stories.append(story)
        await submit(fleet, story, rng)
        until = trio.current_time() + rng.uniform(1.0, SPAN_S / 3)
        while trio.current_time() < until:
            await read_some(fleet, story, rng)
            await trio.sleep(rng.uniform(0.05, 0.6))
        if rng.random() < 0.6:
            await end(fleet, story, rng)


def make_item(name: str, model: str, group: str) -> Item:
    """Make an item whose output follows from its name."""
    return Item(
        name,
        f"{ROLLOUT_PREFIX}{model}/{name}",
        [("Model", model)],
        name.encode(),
        f"{model}-{group}",
        10.0,
        ScoreCall(f"score-{name}", HOST, SCORE_PREFIX + name, b"score"),
    )


def pick(fleet: GatewayFleet, rng: Random) -> str:
    """Pick a gateway that may or may not run."""
    return f"g{rng.randrange(fleet.plan.gateways)}"


async def submit(
    fleet: GatewayFleet, story: SubmissionStory, rng: Random
) -> None:
    """Submit at some gateways until one takes it."""
    submission = story.submission
    for _ in range(TRIES):
        request = HttpRequest(
            "POST",
            submission.path,
            "",
            {
                "host": HOST,
                "request-id": submission.id,
                "deadline-ms": "12000",
            },
            encode_submission(submission),
        )
        answer = await fleet.ask(pick(fleet, rng), request)
        status = answer.status if answer is not None else 0
        if status == 202:
            story.accepted = True
            story.refused = False
            if rng.random() < 0.7:
                return
        elif status not in (429, 503):
            story.refused = False
        await trio.sleep(rng.uniform(0.0, 0.5))


async def read_some(
    fleet: GatewayFleet, story: SubmissionStory, rng: Random
) -> PageView | None:
    """Read results from some position at some gateway."""
    after = rng.choice([0, len(story.results)])
    request = HttpRequest(
        "GET",
        f"/lots/{story.submission.id}",
        f"after={after}",
        {"host": HOST, "wait-ms": "300"},
    )
    answer = await fleet.ask(pick(fleet, rng), request, 3.0)
    if answer is None or answer.status != 200:
        if answer is not None and answer.status == 404 and story.accepted:
            story.broken.append("404 for an accepted submission")
        return None
    page = msgspec.json.decode(answer.body, type=PageView)
    story.total = page.total
    for position, result in enumerate(page.results, start=after):
        encoded = msgspec.json.encode(result)
        if story.results.setdefault(position, encoded) != encoded:
            story.broken.append(f"position {position} changed")
    return page


async def read_at_end(
    fleet: GatewayFleet, story: SubmissionStory, rng: Random
) -> None:
    """Read all from the start; what had been read must be there."""
    seen = dict(story.results)
    story.results.clear()
    position = 0
    for _ in range(60):
        request = HttpRequest(
            "GET",
            f"/lots/{story.submission.id}",
            f"after={position}",
            {"host": HOST},
        )
        answer = await fleet.ask(pick(fleet, rng), request, 3.0)
        if answer is None or answer.status != 200:
            if not story.accepted:
                return
            continue
        page = msgspec.json.decode(answer.body, type=PageView)
        for result in page.results:
            story.results[position] = msgspec.json.encode(result)
            position += 1
        story.total = page.total
        if position == page.total or not page.results:
            break
    for at, encoded in seen.items():
        if story.results.get(at) != encoded:
            story.broken.append(f"position {at} is not what it was")


async def end(
    fleet: GatewayFleet, story: SubmissionStory, rng: Random
) -> None:
    """End a submission at some gateway."""
    if not story.accepted:
        return
    story.end_asked = True
    for _ in range(TRIES):
        request = HttpRequest(
            "DELETE", f"/lots/{story.submission.id}", "", {"host": HOST}
        )
        answer = await fleet.ask(pick(fleet, rng), request)
        if answer is not None and answer.status == 200:
            story.ended_at = trio.current_time()
            return


def judge_story(fleet: GatewayFleet, story: SubmissionStory) -> list[str]:
    """Return the promises that a submission saw broken."""
    broken = list(story.broken)
    submission = story.submission
    items = {item.id: item for item in submission.items}
    listed = [
        msgspec.json.decode(encoded, type=ResultView)
        for _, encoded in sorted(story.results.items())
    ]
    names = [result.id for result in listed]
    if len(set(names)) != len(names):
        broken.append("an item stands at two positions")
    if story.accepted and story.total != len(items):
        broken.append(f"total is {story.total}, not {len(items)}")
    # An end whose answer was lost may have been kept all the same.
    if story.accepted and not story.end_asked:
        missing = sorted(items.keys() - set(names))
        if missing:
            broken.append(f"never listed: {missing}")
    for result in listed:
        broken.extend(judge_result(fleet, submission, result, items))
    broken.extend(judge_runs(fleet, story, items))
    return [f"{submission.id}: {line}" for line in broken]


def judge_result(
    fleet: GatewayFleet,
    submission: Submission,
    result: ResultView,
    items: dict[str, Item],
) -> list[str]:
    """Return the promises that one result breaks."""
    if result.id not in items:
        return [f"{result.id} is of another submission"]
    if result.state != "completed":
        return [f"{result.id} is {result.state}"]
    broken: list[str] = []
    output = make_output(result.id)
    if result.text != "\n".join(output):
        broken.append(f"{result.id} has the text {result.text!r}")
    if result.score != make_stamp(f"score-{result.id}"):
        broken.append(f"{result.id} has the score {result.score!r}")
    if not result.versions or min(result.versions) < submission.min_version:
        broken.append(f"{result.id} is of {result.versions}")
    made = fleet.world.made.get(result.id, {})
    for number in range(1, len(output) + 1):
        if not made.get(number, set()) & set(result.versions):
            broken.append(f"{result.id}: event {number} was {made}")
    possible = set().union(*made.values()) if made else set()
    if not set(result.versions) <= possible:
        broken.append(f"{result.id} names {result.versions}, not {possible}")
    if fleet.plan.single_version and len(result.versions) != 1:
        broken.append(f"{result.id} has versions {result.versions}")
    scored = [
        run.at
        for run in fleet.world.runs
        if run.call_id == f"score-{result.id}"
    ]
    first_end = fleet.world.ended_at.get(result.id)
    if not scored or first_end is None:
        broken.append(f"{result.id} was never scored")
    return broken


def judge_runs(
    fleet: GatewayFleet, story: SubmissionStory, items: dict[str, Item]
) -> list[str]:
    """Return the runs that must not have been."""
    broken: list[str] = []
    for run in fleet.world.runs:
        if run.call_id not in items:
            continue
        if story.refused and not story.accepted:
            broken.append(f"{run.call_id} ran and was refused")
        late = story.ended_at is not None and (
            run.at > story.ended_at + CANCEL_S
        )
        if late:
            broken.append(f"{run.call_id} ran after the end")
    return broken


def judge_orders(fleet: GatewayFleet) -> list[str]:
    """Return the orders that must not have been given."""
    broken: list[str] = []
    fences: dict[int, str] = {}
    newest: dict[str, int] = {}
    for order in fleet.world.orders:
        if fences.setdefault(order.fence, order.gateway) != order.gateway:
            broken.append(f"two gateways used the fence {order.fence}")
        if order.fence < newest.get(order.instance, 0):
            broken.append(f"{order.instance} got an old fence")
        newest[order.instance] = max(
            order.fence, newest.get(order.instance, 0)
        )
    return broken


async def strike_often(fleet: GatewayFleet, rng: Random, tale: Tale) -> None:
    """Strike at random times."""
    async with trio.open_nursery() as nursery:
        for _ in range(rng.randint(1, 6)):
            await trio.sleep(rng.uniform(0.0, SPAN_S / 4))
            blow = rng.choice(BLOWS)
            tale.blows.append(blow.__name__)
            nursery.start_soon(blow, fleet, rng)


async def kill_gateway(fleet: GatewayFleet, rng: Random) -> None:
    """Kill a gateway, mostly the holder, and start it again."""
    holder = fleet.find_holder()
    name = holder if holder and rng.random() < 0.7 else pick(fleet, rng)
    fleet.kill_gateway(name)
    await trio.sleep(rng.uniform(0.1, 4.0))
    if name not in fleet.running:
        fleet.start_gateway(name)


async def kill_all(fleet: GatewayFleet, rng: Random) -> None:
    """Kill all gateways at once."""
    names = list(fleet.running)
    for name in names:
        fleet.kill_gateway(name)
    await trio.sleep(rng.uniform(0.3, 1.5))
    for name in names:
        if name not in fleet.running:
            fleet.start_gateway(name)


async def hand_over(fleet: GatewayFleet, rng: Random) -> None:
    """Stop the holder as SIGTERM does, then start it again."""
    name = fleet.find_holder()
    if name is None:
        return
    running = fleet.running[name]
    await running.coordinator.hand_over()
    await trio.sleep(rng.uniform(0.0, 1.0))
    if fleet.running.get(name) is running:
        fleet.kill_gateway(name)
        await trio.sleep(0.3)
        fleet.start_gateway(name)


async def turn_away(fleet: GatewayFleet, rng: Random) -> None:
    """Let the store refuse one gateway, which its peers may reach."""
    holder = fleet.find_holder()
    name = holder if holder and rng.random() < 0.7 else pick(fleet, rng)
    running = fleet.running.get(name)
    if running is None:
        return
    apart = rng.random() < 0.5
    running.kv.faults.down = True
    if apart:
        fleet.apart.add(name)
    await trio.sleep(rng.uniform(0.5, 7.0))
    running.kv.faults.down = False
    fleet.apart.discard(name)


async def take_store_down(fleet: GatewayFleet, rng: Random) -> None:
    """Take the store away from all; leases may lapse meanwhile."""
    struck = list(fleet.running.values())
    for running in struck:
        running.kv.faults.down = True
    await trio.sleep(rng.uniform(0.5, 5.0))
    for running in struck:
        running.kv.faults.down = False


async def lose_replies(fleet: GatewayFleet, rng: Random) -> None:
    """Lose replies to writes that took effect."""
    for running in list(fleet.running.values()):
        running.kv.faults.lose_reply_every = rng.choice([2, 3])
    await trio.sleep(rng.uniform(0.5, 4.0))
    for running in list(fleet.running.values()):
        running.kv.faults.lose_reply_every = 0


async def forget_history(fleet: GatewayFleet, rng: Random) -> None:
    """Let the store drop its history."""
    fleet.store.forget_history()


async def stand_still(fleet: GatewayFleet, rng: Random) -> None:
    """Let the holder's machine miss time that only one clock counts."""
    name = fleet.find_holder()
    if name is not None:
        fleet.running[name].boot_skip_s += rng.uniform(0.5, 6.0)


async def hurt_sampler(fleet: GatewayFleet, rng: Random) -> None:
    """Let an instance fail in some way for a while."""
    faults = rng.choice(list(fleet.world.samplers.values())).faults
    match rng.randint(0, 3):
        case 0:
            faults.down = True
            await trio.sleep(rng.uniform(0.2, 4.0))
            faults.down = False
        case 1:
            faults.cut_share = 0.05
            await trio.sleep(rng.uniform(0.5, 5.0))
            faults.cut_share = 0.0
        case 2:
            faults.slow = rng.choice([3.0, 8.0])
            await trio.sleep(rng.uniform(0.5, 5.0))
            faults.slow = 1.0
        case _:
            faults.lose_orders = 0.7
            await trio.sleep(rng.uniform(0.5, 5.0))
            faults.lose_orders = 0.0


async def change_configuration(fleet: GatewayFleet, rng: Random) -> None:
    """Write a new version of the configuration."""
    fleet.write_configuration()


async def heal(fleet: GatewayFleet) -> None:
    """End all faults."""
    for sampler in fleet.world.samplers.values():
        sampler.faults.down = False
        sampler.faults.slow = 1.0
    fleet.apart.clear()
    for number in range(fleet.plan.gateways):
        name = f"g{number}"
        if name not in fleet.running:
            fleet.start_gateway(name)
        fleet.running[name].kv.faults.down = False


BLOWS: list[Callable[[GatewayFleet, Random], Awaitable[None]]] = [
    kill_gateway,
    kill_gateway,
    kill_all,
    hand_over,
    turn_away,
    turn_away,
    take_store_down,
    lose_replies,
    forget_history,
    stand_still,
    hurt_sampler,
    hurt_sampler,
    hurt_sampler,
    change_configuration,
]
