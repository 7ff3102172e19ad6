"""Play days of a pool of samplers in virtual time, by policy.

The gateways' real tasks run over the fakes; samplers and trainers follow the
users' sheets. Memory is left out: eight places take a tenth of it.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import math
from random import Random

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.platform.callers import encode_submission
from pistachiospar.platform.const import PATH_LOTS
from pistachiospar.submissions.board import ItemPhase
from pistachiospar.submissions.board import SubmissionState
from pistachiospar.submissions.models import Item
from pistachiospar.submissions.models import ScoreCall
from pistachiospar.submissions.models import Submission
from pistachiospar_standins.fakes.fleet import run_virtual
from pistachiospar_standins.fakes.gateways import APP
from pistachiospar_standins.fakes.gateways import GatewayFleet
from pistachiospar_standins.fakes.gateways import GatewayPlan
from pistachiospar_standins.fakes.gateways import HOST
from pistachiospar_standins.fakes.gateways import POOL
from pistachiospar_standins.fakes.gateways import ROLLOUT_PREFIX
from pistachiospar_standins.fakes.gateways import SCORE_PREFIX
from pistachiospar_standins.fakes.samplers import PROMPT_HEADER
from pistachiospar_standins.fakes.samplers import SamplerSpeed
import trio

from .pool_models import ModelLoad
from .pool_models import Moment
from .pool_models import PoolDay
from .pool_models import PoolSite
from .pool_models import StepOutcome
from .pool_policies import use_pool_policy

LIMIT_S = 600.0
# From the users' sheets: a step each 4 s, due after 7.5 s, worth 4 or 1.5.
STEP_S = 4.0
DUE_S = 7.5
LATE_READ_S = 0.7
GIVE_UP_S = 12.0
WORTH = 4.0
LATE_WORTH = 1.5
WANTED = 0.9
READ_S = 0.5
STEPS = 6
SCORE_SLOW = 4.0
SAMPLE_S = 0.1

# Events were 28.3 ms apart with no place taken and 34 ms with seven, median
# of 1,200 items of lampu-vaks scale-1; the rest is on the sheets.
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

Trouble = Callable[[GatewayFleet], Awaitable[None]]


async def stay_calm(fleet: GatewayFleet) -> None:
    """Do nothing."""


async def slow_one(fleet: GatewayFleet) -> None:
    """Slow a sampler down by 3.5 for 6.5 s, twice."""
    for name in ("s0", "s1"):
        await trio.sleep(5.0)
        fleet.cluster.samplers[name].faults.slow_factor = 3.5
        await trio.sleep(6.5)
        fleet.cluster.samplers[name].faults.slow_factor = 1.0


async def crash_one(fleet: GatewayFleet) -> None:
    """Take a sampler away for 4.5 s, twice."""
    for name in ("s0", "s1"):
        await trio.sleep(5.0)
        fleet.cluster.samplers[name].faults.down = True
        await trio.sleep(4.5)
        fleet.cluster.samplers[name].faults.down = False


async def lose_holder(fleet: GatewayFleet) -> None:
    """Kill the holder, and start it again 0.6 s later, twice."""
    for _ in range(2):
        await trio.sleep(6.0)
        name = fleet.find_holder()
        if name is None:
            continue
        fleet.kill_gateway(name)
        await trio.sleep(0.6)
        fleet.start_gateway(name)


async def lose_two(fleet: GatewayFleet) -> None:
    """Lose one sampler for good while another is slow."""
    await trio.sleep(7.0)
    fleet.cluster.samplers["s1"].faults.slow_factor = 3.5
    fleet.remove_sampler("s0")
    await trio.sleep(6.5)
    fleet.cluster.samplers["s1"].faults.slow_factor = 1.0


# Loads count the sheet's groups; under 2.4 no policy loses a group.
PATTERNS: dict[str, tuple[float, Trouble]] = {
    "calm": (1.0, stay_calm),
    "heavy": (4.5, stay_calm),
    "flood": (7.0, stay_calm),
    "slow": (3.5, slow_one),
    "crash": (3.5, crash_one),
    "holder": (3.5, lose_holder),
    "two lost": (2.8, lose_two),
}


def play_day(
    site: PoolSite, pattern: str, policy: str, seed: int = 0
) -> PoolDay:
    """Play a day of some steps of each model under a policy."""
    load, trouble = PATTERNS[pattern]
    day = PoolDay()
    load *= site.load_x
    plan = GatewayPlan(
        gateways=3,
        samplers=site.samplers,
        apps=3,
        models=tuple(model.name for model in site.models),
        slots=site.slots,
        seed=seed,
        max_age_s=GIVE_UP_S,
    )

    async def work() -> None:
        fleet = GatewayFleet(plan)
        lengths = {model.name: model for model in site.models}
        fleet.cluster.make_output = lambda item: make_text(item, lengths)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            _set_paces(fleet, site)
            nursery.start_soon(trouble, fleet)
            nursery.start_soon(_watch, fleet, day)
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
        run_virtual(work, seed, LIMIT_S)
    return day


def make_text(item: str, lengths: dict[str, ModelLoad]) -> list[str]:
    """Return an item's text; lengths are log-normal, some far longer."""
    model = lengths[item.split(".")[0]]
    rng = Random(item)
    count = rng.lognormvariate(
        math.log(model.events) - model.spread**2 / 2, model.spread
    )
    if rng.random() < 0.08:
        count *= 5.0
    most = 7.2 * model.events
    total = max(1, round(min(count, most)))
    return [f"{item}.{number}" for number in range(1, total + 1)]


class PoolTrainer:
    """Ask for steps, wait for whole groups, train, name versions."""

    def __init__(
        self,
        fleet: GatewayFleet,
        model: ModelLoad,
        load: float,
        day: PoolDay,
        seed: int,
    ) -> None:
        """Begin before the first step."""
        self._fleet = fleet
        self._model = model
        self._day = day
        self._rng = Random(f"{seed} {model.name}")
        self._groups = max(1, round(model.groups * load))
        self._carried: list[list[Item]] = []

    async def run(self, number: int) -> None:
        """Run all steps; trainers start apart."""
        await trio.sleep(number * STEP_S / 3)
        began_at = trio.current_time()
        for step in range(STEPS):
            await trio.sleep_until(began_at + step * STEP_S)
            await self._run_step(step)
            await trio.sleep(self._model.train_s)
            self._fleet.write_named_version(self._model.name, step + 2)

    async def _run_step(self, step: int) -> None:
        """Ask for a step and read it until it is whole or given up."""
        wanted = math.ceil(self._groups * WANTED)
        kept = self._carried[: wanted // 2]
        groups = [*kept]
        while len(groups) < self._groups:
            groups.append(self._make_group(step, len(groups)))
        name = f"sub.{self._model.name}.{step}"
        submission = Submission(
            name,
            HOST,
            f"{ROLLOUT_PREFIX}{self._model.name}/",
            self._model.name,
            step,
            max(1, step),
            wanted,
            [item for group in groups for item in group],
            0.0,
        )
        now = trio.current_time()
        outcome = StepOutcome(now, self._model.name, wanted * WORTH)
        self._day.steps.append(outcome)
        body = encode_submission(submission)
        await self._ask("POST", submission.path, name, body)
        whole = await self._read(name, groups, len(kept), wanted, outcome)
        await self._ask("DELETE", PATH_LOTS + name, "", b"")
        self._carried = [
            group for at, group in enumerate(groups) if at not in whole
        ]

    async def _read(
        self,
        name: str,
        groups: list[list[Item]],
        kept: int,
        wanted: int,
        outcome: StepOutcome,
    ) -> set[int]:
        """Read until enough groups are whole; return which are."""
        listed: set[str] = set()
        whole: set[int] = set()
        position = 0
        while trio.current_time() < outcome.asked_at + GIVE_UP_S:
            await trio.sleep(READ_S)
            page = await self._ask(
                "GET", PATH_LOTS + name, "", b"", f"after={position}"
            )
            if page is not None:
                results = msgspec.json.decode(page)["results"]
                position += len(results)
                listed.update(result["id"] for result in results)
            due = outcome.asked_at + DUE_S + LATE_READ_S
            worth = WORTH if trio.current_time() <= due else LATE_WORTH
            for at, group in enumerate(groups):
                done = all(item.id in listed for item in group)
                if at not in whole and done:
                    whole.add(at)
                    # Groups beyond those waited for earn nothing.
                    if len(whole) <= wanted:
                        outcome.earned += worth
            if len(whole) >= wanted and whole.issuperset(range(kept)):
                break
        return whole

    async def _ask(
        self, method: str, path: str, name: str, body: bytes, query: str = ""
    ) -> bytes | None:
        """Ask some gateway, once more when it has no answer."""
        headers = {"host": HOST, "deadline-ms": "12000"}
        if name:
            headers["request-id"] = name
        for _ in range(6):
            gateway = f"g{self._rng.randrange(self._fleet.plan.gateways)}"
            request = HttpRequest(method, path, query, headers, body)
            answer = await self._fleet.send_request(gateway, request, 2.0)
            if answer is not None and answer.status in (200, 202):
                return answer.body
            await trio.sleep(0.3)
        return None

    def _make_group(self, step: int, number: int) -> list[Item]:
        """Make a group of items that share a prompt."""
        model = self._model
        key = f"{model.name}.{step}.{number}"
        items: list[Item] = []
        for at in range(model.size):
            name = f"{key}.{at}"
            length = len(make_text(name, {model.name: model}))
            hint = length * self._rng.lognormvariate(0.0, 0.5)
            items.append(
                Item(
                    name,
                    f"{ROLLOUT_PREFIX}{model.name}/{name}",
                    [("Model", model.name), (PROMPT_HEADER, key)],
                    name.encode(),
                    key,
                    hint,
                    ScoreCall(f"score-{name}", HOST, SCORE_PREFIX, b"score"),
                )
            )
        return items


def _set_paces(fleet: GatewayFleet, site: PoolSite) -> None:
    """Give samplers the site's pace; a scoring call takes 120 ms."""
    for name, sampler in fleet.cluster.samplers.items():
        if name.startswith("s"):
            sampler.speed = site.pace
        elif name.startswith(APP[0]):
            sampler.faults.slow_factor = SCORE_SLOW


async def _watch(fleet: GatewayFleet, day: PoolDay) -> None:
    """Note how many groups wait, run, are finished; one task."""
    while True:
        await trio.sleep(SAMPLE_S)
        holder = fleet.find_holder()
        if holder is None:
            continue
        pool = fleet.running[holder].coordinator.pools[POOL]
        counts = count_groups(pool.registry.list_open())
        day.moments.append(Moment(trio.current_time(), *counts))


def count_groups(opened: list[SubmissionState]) -> tuple[int, int, int]:
    """Return how many groups have not begun, have, and are finished."""
    waiting = running = finished = 0
    for submission in opened:
        for group in submission.groups.values():
            phases = {state.phase for state in group}
            if phases == {ItemPhase.WAITING}:
                waiting += 1
            elif phases <= {ItemPhase.FINISHED, ItemPhase.COMMITTED}:
                finished += 1
            else:
                running += 1
    return waiting, running, finished
