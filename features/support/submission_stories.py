"""Support random stories of submissions and faults, by seed.

Trainers submit, read and end at any gateway while gateways die, are cut
off or stand still, the store is away, and instances fail. The promises are
judged by what callers and instances saw.
"""

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
import trio

from .submission_blows import BLOWS
from .submission_blows import heal
from .submission_blows import pick
from .submission_judges import judge_orders
from .submission_judges import judge_story
from .submission_judges import ResultView
from .submission_judges import SubmissionStory

LIMIT_S = 400.0
SPAN_S = 14.0
SETTLE_S = 25.0
TRIES = 4


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


async def strike_often(fleet: GatewayFleet, rng: Random, tale: Tale) -> None:
    """Strike at random times."""
    async with trio.open_nursery() as nursery:
        for _ in range(rng.randint(1, 6)):
            await trio.sleep(rng.uniform(0.0, SPAN_S / 4))
            blow = rng.choice(BLOWS)
            tale.blows.append(blow.__name__)
            nursery.start_soon(blow, fleet, rng)
