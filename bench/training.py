"""Benchmark of trainers in virtual time: idle share, staleness, waste.

The real entry and sidecar tasks run over the fakes. Generation times have a
heavy tail, samplers slow down 20 times for a while, and weights change every
few minutes. The baseline is round robin, no action on stragglers, and a swap
of the whole fleet at once.
"""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from dataclasses import field
from random import Random
from statistics import mean

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.bundle.models import Bundle
from pistachiospar.trainers.models import Group
from pistachiospar.trainers.models import PullResponse
from pistachiospar.trainers.models import StepBody
from pistachiospar_standins.fakes.entry_fleet import MemoryFleet
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.recorders import ResponseRecorder
from pistachiospar_standins.trainer.client import is_labelled_correctly
import trio

from .baselines import use_policy
from .fleets import find_deployment_names
from .fleets import make_bundle
from .fleets import make_plan
from .fleets import PLANS
from .models import Table

STEP_COUNT = 8
STEPS_AHEAD = 1
GROUPS_PER_STEP = 32
SAMPLES_PER_GROUP = 8
MAX_TOKENS = 256
TRAIN_DURATION_S = 40.0
STEPS_PER_VERSION = 2
SLOWDOWN_INTERVAL_S = 40.0
SLOWDOWN_DURATION_S = 25.0
SLOWDOWN_FACTOR = 20.0
SEEDS = (1, 2, 3)
MAX_VIRTUAL_S = 36_000.0
WORKER_COUNT = 6
MAX_IDLE_SHARE_OF_BASELINE = 0.2
MAX_WASTE_SHARE = 0.05


@dataclass(slots=True)
class TrainingRun:
    """Figures of one run; lags are in weight versions."""

    idle_s: float = 0.0
    total_s: float = 0.0
    lags: list[int] = field(default_factory=list)
    lost: int = 0
    doubled: int = 0
    mislabelled: int = 0
    late: int = 0
    useful_tokens: int = 0
    generated_tokens: int = 0
    newest_version: int = 0
    done: bool = False

    @property
    def idle_share(self) -> float:
        """Return the share of time that the trainer waited."""
        return self.idle_s / self.total_s if self.total_s else 0.0

    @property
    def waste_share(self) -> float:
        """Return the share of generated tokens that were not delivered."""
        return 1.0 - self.useful_tokens / max(1, self.generated_tokens)


async def send_request(
    fleet: MemoryFleet, method: str, target: str, body: bytes = b""
) -> ResponseRecorder:
    """Send a trainer's request to the first entry."""
    path, _, query = target.partition("?")
    recorder = ResponseRecorder()
    request = HttpRequest(method, path, query, {}, body)
    await fleet.entries["entry-1"].handler.handle(request, recorder)
    return recorder


async def announce_weights(
    fleet: MemoryFleet, run: TrainingRun, trainer: str, version: int
) -> None:
    """Announce a weight version and record it as the newest."""
    body = msgspec.json.encode({"version": version, "source": "s"})
    await send_request(fleet, "POST", f"/trainers/{trainer}/weights", body)
    run.newest_version = version


async def slow_down_samplers(fleet: MemoryFleet, rng: Random) -> None:
    """Slow a random sampler down for a while, again and again."""
    while True:
        await trio.sleep(SLOWDOWN_INTERVAL_S)
        engine = rng.choice(list(fleet.engines.values()))
        engine.model.settings.faults.slow_factor = SLOWDOWN_FACTOR
        await trio.sleep(SLOWDOWN_DURATION_S)
        engine.model.settings.faults.slow_factor = 1.0


def make_step(upstream: str, version: int, number: int) -> StepBody:
    """Return a step's body, with prompts of its own."""
    return StepBody(
        upstream=upstream,
        weight_version=version,
        max_tokens=MAX_TOKENS,
        groups=[
            Group(f"g{n}", f"step {number} prompt {n}", SAMPLES_PER_GROUP)
            for n in range(GROUPS_PER_STEP)
        ],
    )


async def run_step(
    fleet: MemoryFleet,
    run: TrainingRun,
    trainer: str,
    body: StepBody,
    name: str,
) -> None:
    """Pull one step; the trainer trains on each batch as it comes."""
    target = f"/trainers/{trainer}/steps/{name}"
    total = sum(group.samples for group in body.groups)
    received: set[tuple[str, int]] = set()
    cursor, complete = "", False
    while not complete:
        wait_started_at = trio.current_time()
        query = f"{target}/samples?cursor={cursor}&wait_ms=5000&max=64"
        response = await send_request(fleet, "GET", query)
        run.idle_s += trio.current_time() - wait_started_at
        pulled = msgspec.json.decode(response.body, type=PullResponse)
        cursor, complete = pulled.cursor, pulled.complete
        for sample in pulled.samples:
            run.doubled += (sample.group, sample.index) in received
            received.add((sample.group, sample.index))
            lag = run.newest_version - sample.find_oldest_version()
            run.lags.append(lag)
            run.late += lag > 1
            run.mislabelled += not is_labelled_correctly(sample)
            run.useful_tokens += sample.count_tokens()
        await trio.sleep(TRAIN_DURATION_S * len(pulled.samples) / total)
    run.lost += total - len(received)


def run_training(deployment: str, policy: str, seed: int) -> TrainingRun:
    """Run one trainer over all steps; times count from the second one."""
    engine, _, trainer = find_deployment_names(deployment)
    bundle = make_bundle(PLANS[deployment])
    if policy != "ours":
        bundle = remove_min_serving_share(bundle)
    run = TrainingRun()

    async def run_trainer() -> None:
        fleet = MemoryFleet(make_plan(deployment, seed, bundle=bundle))
        rng = Random(seed)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await announce_weights(fleet, run, trainer, 1)
            await trio.sleep(10.0)
            nursery.start_soon(slow_down_samplers, fleet, rng)
            started = trio.current_time()
            idle_before = 0.0
            bodies: list[StepBody] = []
            for number in range(STEP_COUNT):
                if number and number % STEPS_PER_VERSION == 0:
                    await announce_weights(
                        fleet, run, trainer, run.newest_version + 1
                    )
                while len(bodies) <= min(number + STEPS_AHEAD, STEP_COUNT - 1):
                    body = make_step(engine, run.newest_version, len(bodies))
                    target = f"/trainers/{trainer}/steps/s{len(bodies)}"
                    bodies.append(body)
                    data = msgspec.json.encode(body)
                    await send_request(fleet, "PUT", target, data)
                await run_step(
                    fleet, run, trainer, bodies[number], f"s{number}"
                )
                if number == 0:
                    idle_before = run.idle_s
                    started = trio.current_time()
            run.idle_s -= idle_before
            run.total_s = trio.current_time() - started
            run.generated_tokens = sum(
                e.model.generated_tokens for e in fleet.engines.values()
            )
            nursery.cancel_scope.cancel()

    with use_policy(policy):
        run_virtual(run_trainer, seed, MAX_VIRTUAL_S)
    return run


def remove_min_serving_share(bundle: Bundle) -> Bundle:
    """Return a bundle without a minimum share of serving samplers."""
    upstreams = [
        msgspec.structs.replace(upstream, min_serving_share=0.0)
        for upstream in bundle.upstreams
    ]
    return msgspec.structs.replace(bundle, upstreams=upstreams)


def _run_case(case: tuple[str, str, int]) -> TrainingRun:
    return run_training(*case)


def measure(table: Table) -> None:
    """Measure both deployments against the baseline, over all seeds."""
    cases = [
        (deployment, policy, seed)
        for deployment in PLANS
        for policy in ("ours", "round robin")
        for seed in SEEDS
    ]
    with ProcessPoolExecutor(WORKER_COUNT) as pool:
        runs = dict(zip(cases, pool.map(_run_case, cases), strict=True))
    for deployment in PLANS:
        ours = [runs[(deployment, "ours", seed)] for seed in SEEDS]
        baseline = [runs[(deployment, "round robin", seed)] for seed in SEEDS]
        idle = mean(run.idle_share for run in ours)
        baseline_idle = mean(run.idle_share for run in baseline)
        bound = MAX_IDLE_SHARE_OF_BASELINE * baseline_idle
        prefix = f"{deployment}: "
        table.add(prefix + "idle share, baseline", baseline_idle, "share")
        table.add(prefix + "idle share", idle, "share", at_most=bound)
        waste = mean(run.waste_share for run in ours)
        baseline_waste = mean(run.waste_share for run in baseline)
        table.add(prefix + "wasted tokens, baseline", baseline_waste, "share")
        table.add(
            prefix + "wasted tokens", waste, "share", at_most=MAX_WASTE_SHARE
        )
        lags = sorted(lag for run in ours for lag in run.lags)
        baseline_lags = [lag for run in baseline for lag in run.lags]
        table.add(
            prefix + "staleness mean, baseline", mean(baseline_lags), "ver"
        )
        table.add(prefix + "staleness mean", mean(lags), "versions")
        p99 = lags[int(0.99 * (len(lags) - 1))]
        table.add(prefix + "staleness p99", p99, "versions")
        table.add(prefix + "staleness max", lags[-1], "versions", at_most=1)
        for name in ("late", "lost", "doubled", "mislabelled"):
            value = sum(getattr(run, name) for run in ours)
            table.add(prefix + f"samples {name}", value, "samples", at_most=0)
