"""Simulation of days of a pool of samplers under a policy.

The gateways' real tasks run over the fakes in virtual time; samplers and
trainers follow the users' sheets. The samplers' memory is not modelled:
eight slots take a tenth of it.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import math
from random import Random

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.platform.callers import encode_submission
from pistachiospar.platform.const import PATH_LOTS
from pistachiospar.submissions.models import Item
from pistachiospar.submissions.models import ScoreCall
from pistachiospar.submissions.models import Submission
from pistachiospar.submissions.registry import ItemPhase
from pistachiospar.submissions.registry import SubmissionState
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import APP
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import POOL
from pistachiospar_standins.fakes.gateway_fleet import ROLLOUT_PREFIX
from pistachiospar_standins.fakes.gateway_fleet import SCORE_PREFIX
from pistachiospar_standins.fakes.samplers import PROMPT_HEADER
from pistachiospar_standins.fakes.samplers import SamplerSpeed
import trio

from .pool_models import GroupCounts
from .pool_models import ModelLoad
from .pool_models import PoolDay
from .pool_models import PoolSite
from .pool_models import StepOutcome
from .pool_policies import use_pool_policy

MAX_VIRTUAL_S = 600.0
# From the users' sheets: a step every 4 s, due after 7.5 s; a group is worth
# 4 in time and 1.5 when late.
STEP_INTERVAL_S = 4.0
RESULT_DUE_S = 7.5
READ_GRACE_S = 0.7
MAX_AGE_S = 12.0
GROUP_WORTH = 4.0
LATE_GROUP_WORTH = 1.5
TARGET_SHARE = 0.9
READ_INTERVAL_S = 0.5
STEP_COUNT = 6
SCORING_SLOWDOWN = 4.0
COUNT_INTERVAL_S = 0.1

# Events are 28.3 ms apart with no slot taken and 34 ms with seven, the median
# of 1,200 items of lampu-vaks scale-1; the other values are on the sheets.
LAMPU_VAKS = PoolSite(
    "lampu-vaks",
    5,
    8,
    (
        ModelLoad("m0", 4, 8, 12.8, 0.9, 0.5),
        ModelLoad("m1", 6, 4, 24.2, 0.84, 0.5),
        ModelLoad("m2", 4, 8, 24.8, 0.9, 0.5),
    ),
    SamplerSpeed(0.0283, 0.0008, 1.5e-3, 0.9, 2),
)
MWL_TBILISI = PoolSite(
    "mwl-tbilisi",
    4,
    8,
    (ModelLoad("m0", 10, 4, 12.8, 0.9, 1.0),),
    SamplerSpeed(0.0283, 0.0008, 0.3e-3, 0.9, 2),
    2.0,
)
SITES = {site.name: site for site in (LAMPU_VAKS, MWL_TBILISI)}

FaultInjector = Callable[[GatewayFleet], Awaitable[None]]


async def inject_nothing(fleet: GatewayFleet) -> None:
    """Run without faults."""


async def slow_two_samplers(fleet: GatewayFleet) -> None:
    """Slow two samplers down 3.5 times, one after the other, for 6.5 s."""
    for name in ("s0", "s1"):
        await trio.sleep(5.0)
        fleet.cluster.samplers[name].faults.slow_factor = 3.5
        await trio.sleep(6.5)
        fleet.cluster.samplers[name].faults.slow_factor = 1.0


async def crash_two_samplers(fleet: GatewayFleet) -> None:
    """Make two samplers unreachable, one after the other, for 4.5 s."""
    for name in ("s0", "s1"):
        await trio.sleep(5.0)
        fleet.cluster.samplers[name].faults.down = True
        await trio.sleep(4.5)
        fleet.cluster.samplers[name].faults.down = False


async def restart_holder_twice(fleet: GatewayFleet) -> None:
    """Kill the pool's holder and restart it 0.6 s later, twice."""
    for _ in range(2):
        await trio.sleep(6.0)
        name = fleet.find_holder()
        if name is None:
            continue
        fleet.kill_gateway(name)
        await trio.sleep(0.6)
        fleet.start_gateway(name)


async def remove_one_slow_another(fleet: GatewayFleet) -> None:
    """Remove one sampler for good while another is 3.5 times slower."""
    await trio.sleep(7.0)
    fleet.cluster.samplers["s1"].faults.slow_factor = 3.5
    fleet.remove_sampler("s0")
    await trio.sleep(6.5)
    fleet.cluster.samplers["s1"].faults.slow_factor = 1.0


# Load as a multiple of the sheet's groups; below 2.4 no policy loses a group.
PATTERNS: dict[str, tuple[float, FaultInjector]] = {
    "calm": (1.0, inject_nothing),
    "heavy": (4.5, inject_nothing),
    "flood": (7.0, inject_nothing),
    "slow": (3.5, slow_two_samplers),
    "crash": (3.5, crash_two_samplers),
    "holder": (3.5, restart_holder_twice),
    "two lost": (2.8, remove_one_slow_another),
}


def run_day(
    site: PoolSite, pattern: str, policy: str, seed: int = 0
) -> PoolDay:
    """Run STEP_COUNT steps of each model of a site under a policy."""
    load, inject_faults = PATTERNS[pattern]
    day = PoolDay()
    load *= site.load_factor
    plan = GatewayPlan(
        gateways=3,
        samplers=site.samplers,
        apps=3,
        models=tuple(model.name for model in site.models),
        slots=site.slots_per_sampler,
        seed=seed,
        max_age_s=MAX_AGE_S,
    )

    async def run_trainers() -> None:
        fleet = GatewayFleet(plan)
        models_by_name = {model.name: model for model in site.models}
        fleet.cluster.make_output = lambda item: make_event_texts(
            item, models_by_name
        )
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            _set_sampler_speeds(fleet, site)
            nursery.start_soon(inject_faults, fleet)
            nursery.start_soon(_record_group_counts, fleet, day)
            async with trio.open_nursery() as trainers:
                for number, model in enumerate(site.models):
                    trainer = PoolTrainer(fleet, model, load, day, seed)
                    trainers.start_soon(trainer.run, number)
            day.runs = sum(
                1
                for run in fleet.cluster.runs
                if not run.call_id.startswith("score")
            )
            day.loads = sum(
                1 for order in fleet.cluster.orders if order.fence_valid
            )
            day.events = sum(
                map(len, fleet.cluster.generated_versions.values())
            )
            nursery.cancel_scope.cancel()

    with use_pool_policy(policy):
        run_virtual(run_trainers, seed, MAX_VIRTUAL_S)
    return day


def make_event_texts(
    item: str, models_by_name: dict[str, ModelLoad]
) -> list[str]:
    """Return the texts of an item's events, determined by its name.

    Their number is log-normal; 8% of items are five times as long, and none
    is longer than 7.2 times the mean.
    """
    model = models_by_name[item.split(".")[0]]
    rng = Random(item)
    count = rng.lognormvariate(
        math.log(model.mean_events) - model.event_sigma**2 / 2,
        model.event_sigma,
    )
    if rng.random() < 0.08:
        count *= 5.0
    max_count = 7.2 * model.mean_events
    total = max(1, round(min(count, max_count)))
    return [f"{item}.{number}" for number in range(1, total + 1)]


class PoolTrainer:
    """Trainer that submits steps, reads groups and names versions."""

    def __init__(
        self,
        fleet: GatewayFleet,
        model: ModelLoad,
        load: float,
        day: PoolDay,
        seed: int,
    ) -> None:
        """Prepare steps with `load` times as many groups as on the sheet."""
        self._fleet = fleet
        self._model = model
        self._day = day
        self._rng = Random(f"{seed} {model.name}")
        self._group_count = max(1, round(model.groups * load))
        self._carried_groups: list[list[Item]] = []

    async def run(self, number: int) -> None:
        """Run all steps; trainers start a third of a step apart."""
        await trio.sleep(number * STEP_INTERVAL_S / 3)
        started_at = trio.current_time()
        for step in range(STEP_COUNT):
            await trio.sleep_until(started_at + step * STEP_INTERVAL_S)
            await self._run_step(step)
            await trio.sleep(self._model.train_s)
            self._fleet.write_named_version(self._model.name, step + 2)

    async def _run_step(self, step: int) -> None:
        """Submit a step, read it until done or too old, then end it.

        Incomplete groups are carried over to the next step.
        """
        target_groups = math.ceil(self._group_count * TARGET_SHARE)
        carried_groups = self._carried_groups[: target_groups // 2]
        groups = [*carried_groups]
        while len(groups) < self._group_count:
            groups.append(self._make_group(step, len(groups)))
        name = f"sub.{self._model.name}.{step}"
        submission = Submission(
            name,
            HOST,
            f"{ROLLOUT_PREFIX}{self._model.name}/",
            self._model.name,
            step,
            max(1, step),
            target_groups,
            [item for group in groups for item in group],
            0.0,
        )
        now = trio.current_time()
        outcome = StepOutcome(
            now, self._model.name, target_groups * GROUP_WORTH
        )
        self._day.steps.append(outcome)
        body = encode_submission(submission)
        await self._send_request("POST", submission.path, name, body)
        complete_groups = await self._read_groups(
            name, groups, len(carried_groups), target_groups, outcome
        )
        await self._send_request("DELETE", PATH_LOTS + name, "", b"")
        self._carried_groups = [
            group
            for index, group in enumerate(groups)
            if index not in complete_groups
        ]

    async def _read_groups(
        self,
        name: str,
        groups: list[list[Item]],
        carried_count: int,
        target_groups: int,
        outcome: StepOutcome,
    ) -> set[int]:
        """Read results until enough groups are complete; return their indexes.

        All carried groups have to be complete too. A step that gets too old
        ends the reading early.
        """
        received_ids: set[str] = set()
        complete_groups: set[int] = set()
        position = 0
        while trio.current_time() < outcome.requested_at + MAX_AGE_S:
            await trio.sleep(READ_INTERVAL_S)
            page = await self._send_request(
                "GET", PATH_LOTS + name, "", b"", f"after={position}"
            )
            if page is not None:
                results = msgspec.json.decode(page)["results"]
                position += len(results)
                received_ids.update(result["id"] for result in results)
            due_at = outcome.requested_at + RESULT_DUE_S + READ_GRACE_S
            group_worth = (
                GROUP_WORTH
                if trio.current_time() <= due_at
                else LATE_GROUP_WORTH
            )
            for index, group in enumerate(groups):
                is_complete = all(item.id in received_ids for item in group)
                if index not in complete_groups and is_complete:
                    complete_groups.add(index)
                    # Groups beyond the target earn nothing.
                    if len(complete_groups) <= target_groups:
                        outcome.earned_worth += group_worth
            if len(
                complete_groups
            ) >= target_groups and complete_groups.issuperset(
                range(carried_count)
            ):
                break
        return complete_groups

    async def _send_request(
        self, method: str, path: str, name: str, body: bytes, query: str = ""
    ) -> bytes | None:
        """Return the body of a 200 or 202; None after six failed attempts.

        Each attempt goes to a random gateway.
        """
        headers = {"host": HOST, "deadline-ms": "12000"}
        if name:
            headers["request-id"] = name
        for _ in range(6):
            gateway = f"g{self._rng.randrange(self._fleet.plan.gateways)}"
            request = HttpRequest(method, path, query, headers, body)
            response = await self._fleet.send_request(gateway, request, 2.0)
            if response is not None and response.status in (200, 202):
                return response.body
            await trio.sleep(0.3)
        return None

    def _make_group(self, step: int, number: int) -> list[Item]:
        """Make a group of items that share a prompt."""
        model = self._model
        key = f"{model.name}.{step}.{number}"
        items: list[Item] = []
        for index in range(model.group_size):
            name = f"{key}.{index}"
            event_count = len(make_event_texts(name, {model.name: model}))
            expected_tokens = event_count * self._rng.lognormvariate(0.0, 0.5)
            items.append(
                Item(
                    name,
                    f"{ROLLOUT_PREFIX}{model.name}/{name}",
                    [("Model", model.name), (PROMPT_HEADER, key)],
                    name.encode(),
                    key,
                    expected_tokens,
                    ScoreCall(f"score-{name}", HOST, SCORE_PREFIX, b"score"),
                )
            )
        return items


def _set_sampler_speeds(fleet: GatewayFleet, site: PoolSite) -> None:
    """Set the site's speed; the slowdown makes a scoring call take 120 ms."""
    for name, sampler in fleet.cluster.samplers.items():
        if name.startswith("s"):
            sampler.speed = site.speed
        elif name.startswith(APP[0]):
            sampler.faults.slow_factor = SCORING_SLOWDOWN


async def _record_group_counts(fleet: GatewayFleet, day: PoolDay) -> None:
    """Record the group counts at the pool's holder at each interval."""
    while True:
        await trio.sleep(COUNT_INTERVAL_S)
        holder = fleet.find_holder()
        if holder is None:
            continue
        pool = fleet.running[holder].coordinator.pools[POOL]
        counts = count_groups(pool.registry.list_open())
        day.group_counts.append(GroupCounts(trio.current_time(), *counts))


def count_groups(submissions: list[SubmissionState]) -> tuple[int, int, int]:
    """Return the numbers of waiting, running and finished groups."""
    waiting = running = finished = 0
    for submission in submissions:
        for group in submission.groups.values():
            phases = {state.phase for state in group}
            if phases == {ItemPhase.WAITING}:
                waiting += 1
            elif phases <= {ItemPhase.FINISHED, ItemPhase.COMMITTED}:
                finished += 1
            else:
                running += 1
    return waiting, running, finished
