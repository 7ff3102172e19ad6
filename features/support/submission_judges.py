"""Support judging what callers and instances saw of submissions."""

from dataclasses import dataclass
from dataclasses import field

import msgspec
from pistachiospar.submissions.models import Item
from pistachiospar.submissions.models import Submission
from pistachiospar_standins.fakes.gateways import GatewayFleet
from pistachiospar_standins.fakes.samplers import make_output
from pistachiospar_standins.fakes.samplers import make_stamp

CANCEL_S = 3.0


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


class ResultView(msgspec.Struct):
    """Read a result as a trainer does."""

    id: str
    state: str
    text: str
    versions: list[int]
    score: str


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
