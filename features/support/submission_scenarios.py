"""Random scenarios of submissions and faults, by seed.

Trainers submit, read and end submissions at any gateway while gateways are
killed, cut off or suspended, the store is unavailable and instances fail.
The guarantees are checked against what callers and instances saw.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.platform.callers import encode_submission
from pistachiospar.submissions.models import Item
from pistachiospar.submissions.models import ScoreCall
from pistachiospar.submissions.models import Submission
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import ROLLOUT_PREFIX
from pistachiospar_standins.fakes.gateway_fleet import SCORE_PREFIX
import trio

from .submission_checks import check_load_orders
from .submission_checks import check_submission
from .submission_checks import ResultView
from .submission_checks import SubmissionHistory
from .submission_faults import clear_faults
from .submission_faults import Fault
from .submission_faults import FAULTS
from .submission_faults import pick_gateway

MAX_VIRTUAL_S = 400.0
DURATION_S = 14.0
SETTLE_DELAY_S = 25.0
MAX_ATTEMPTS = 4


@dataclass(slots=True)
class ScenarioRun:
    """Outcome of one seed."""

    seed: int
    histories: list[SubmissionHistory] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    committed_count: int = 0

    def find_violations(self) -> list[str]:
        """Return the violated guarantees, each with the seed."""
        return [f"seed {self.seed}: {line}" for line in self.violations]


class PageView(msgspec.Struct):
    """A page of results as a trainer decodes it."""

    total: int
    next: int
    results: list[ResultView]


def run_scenario(
    seed: int,
    faults: Sequence[Fault] = tuple(FAULTS),
    other_samplers: int = 0,
) -> ScenarioRun:
    """Run the trainers, the faults and the checks of one seed.

    `other_samplers` is the number of instances of a second pool.
    """
    rng = Random(seed)
    run = ScenarioRun(seed)
    plan = GatewayPlan(
        gateways=rng.choice([2, 3, 4]),
        samplers=rng.choice([2, 4]),
        slots=rng.choice([2, 6]),
        single_version=rng.random() < 0.2,
        seed=seed,
        other_samplers=other_samplers,
    )

    async def run_plan() -> None:
        fleet = GatewayFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            async with trio.open_nursery() as callers:
                callers.start_soon(inject_faults, fleet, faults, rng, run)
                for model in plan.models:
                    callers.start_soon(run_trainer, fleet, model, rng, run)
            await clear_faults(fleet)
            await trio.sleep(SETTLE_DELAY_S)
            for history in run.histories:
                await read_all_results(fleet, history, rng)
                run.violations.extend(check_submission(fleet, history))
            run.violations.extend(check_load_orders(fleet))
            run.committed_count = sum(
                len(history.results) for history in run.histories
            )
            nursery.cancel_scope.cancel()

    run_virtual(run_plan, seed, MAX_VIRTUAL_S)
    return run


async def run_trainer(
    fleet: GatewayFleet, model: str, rng: Random, run: ScenarioRun
) -> None:
    """Submit, read and end three steps; name a version after each."""
    for step in range(3):
        if step:
            fleet.write_named_version(model, step + 1)
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
        history = SubmissionHistory(submission)
        run.histories.append(history)
        await submit(fleet, history, rng)
        until = trio.current_time() + rng.uniform(1.0, DURATION_S / 3)
        while trio.current_time() < until:
            await read_page(fleet, history, rng)
            await trio.sleep(rng.uniform(0.05, 0.6))
        if rng.random() < 0.6:
            await end_submission(fleet, history, rng)


def make_item(name: str, model: str, group: str) -> Item:
    """Make an item whose name determines its output."""
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
    fleet: GatewayFleet, history: SubmissionHistory, rng: Random
) -> None:
    """Submit at random gateways, sometimes again after a success."""
    submission = history.submission
    for _ in range(MAX_ATTEMPTS):
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
        response = await fleet.send_request(pick_gateway(fleet, rng), request)
        status = response.status if response is not None else 0
        if status == 202:
            history.accepted = True
            history.refused = False
            if rng.random() < 0.7:
                return
        elif status not in (429, 503):
            history.refused = False
        await trio.sleep(rng.uniform(0.0, 0.5))


async def read_page(
    fleet: GatewayFleet, history: SubmissionHistory, rng: Random
) -> PageView | None:
    """Read results at a random gateway, all of them or only new ones."""
    after = rng.choice([0, len(history.results)])
    gateway = pick_gateway(fleet, rng)
    return await read_page_at(fleet, gateway, history, after)


async def read_page_at(
    fleet: GatewayFleet,
    gateway: str,
    history: SubmissionHistory,
    after: int = 0,
) -> PageView | None:
    """Read results at a gateway; compare them with those read before."""
    request = HttpRequest(
        "GET",
        f"/lots/{history.submission.id}",
        f"after={after}",
        {"host": HOST, "wait-ms": "300"},
    )
    response = await fleet.send_request(gateway, request, 3.0)
    if response is None or response.status != 200:
        if (
            response is not None
            and response.status == 404
            and history.accepted
        ):
            history.violations.append("status 404 for an accepted submission")
        return None
    page = msgspec.json.decode(response.body, type=PageView)
    history.total = page.total
    for position, result in enumerate(page.results, start=after):
        encoded = msgspec.json.encode(result)
        if history.results.setdefault(position, encoded) != encoded:
            history.violations.append(f"position {position} changed")
    return page


async def read_all_results(
    fleet: GatewayFleet, history: SubmissionHistory, rng: Random
) -> None:
    """Read all results from the start and compare with earlier reads."""
    earlier = dict(history.results)
    history.results.clear()
    position = 0
    is_read = False
    for _ in range(60):
        request = HttpRequest(
            "GET",
            f"/lots/{history.submission.id}",
            f"after={position}",
            {"host": HOST},
        )
        response = await fleet.send_request(
            pick_gateway(fleet, rng), request, 3.0
        )
        if response is None or response.status != 200:
            if not history.accepted:
                return
            continue
        page = msgspec.json.decode(response.body, type=PageView)
        for result in page.results:
            history.results[position] = msgspec.json.encode(result)
            position += 1
        history.total = page.total
        if position == page.total or not page.results:
            is_read = True
            break
    if not is_read:
        history.violations.append("can't be read at the end")
    for at, encoded in earlier.items():
        if history.results.get(at) != encoded:
            history.violations.append(
                f"position {at} differs from an earlier read"
            )


async def end_submission(
    fleet: GatewayFleet, history: SubmissionHistory, rng: Random
) -> None:
    """End an accepted submission at random gateways."""
    if not history.accepted:
        return
    history.end_requested = True
    for _ in range(MAX_ATTEMPTS):
        request = HttpRequest(
            "DELETE", f"/lots/{history.submission.id}", "", {"host": HOST}
        )
        response = await fleet.send_request(pick_gateway(fleet, rng), request)
        if response is not None and response.status == 200:
            history.ended_at = trio.current_time()
            return


async def inject_faults(
    fleet: GatewayFleet,
    faults: Sequence[Fault],
    rng: Random,
    run: ScenarioRun,
) -> None:
    """Inject one to six faults at random times."""
    async with trio.open_nursery() as nursery:
        for _ in range(rng.randint(1, 6)):
            await trio.sleep(rng.uniform(0.0, DURATION_S / 4))
            fault = rng.choice(faults)
            run.faults.append(fault.__name__)
            nursery.start_soon(fault, fleet, rng)
