"""Measure trainers in virtual time: idle share, staleness, waste.

The real entry and sidecar tasks run over the fakes. Prompts have a heavy
tail of lengths, a few samplers slow down 20 times for a while, and weights
change every few minutes. The baseline is round robin, no remedy for
stragglers, and the whole fleet swapped at once.
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
from pistachiospar_standins.fakes.fleet import MemoryFleet
from pistachiospar_standins.fakes.fleet import run_virtual
from pistachiospar_standins.fakes.sinks import AnswerExchange
from pistachiospar_standins.trainer.client import is_label_true
import trio

from .baselines import use_policy
from .fleets import find_names
from .fleets import make_bundle
from .fleets import make_plan
from .fleets import PLANS
from .models import Table

STEPS = 8
AHEAD = 1
GROUPS = 32
SAMPLES = 8
TOKENS = 256
TRAIN_S = 40.0
WEIGHTS_EVERY = 2
SLOW_EVERY_S = 40.0
SLOW_FOR_S = 25.0
SLOW_FACTOR = 20.0
SEEDS = (1, 2, 3)
LIMIT_S = 36_000.0
WORKERS = 6
IDLE_SHARE_OF_BASELINE = 0.2
WASTE_SHARE = 0.05


@dataclass(slots=True)
class Run:
    """Hold what one run showed; times are in seconds."""

    idle_s: float = 0.0
    total_s: float = 0.0
    lags: list[int] = field(default_factory=list)
    lost: int = 0
    doubled: int = 0
    mislabelled: int = 0
    late: int = 0
    useful_tokens: int = 0
    made_tokens: int = 0
    newest: int = 0
    done: bool = False

    @property
    def idle_share(self) -> float:
        """Return the share of time that the trainer waited."""
        return self.idle_s / self.total_s if self.total_s else 0.0

    @property
    def waste_share(self) -> float:
        """Return the share of generated tokens that were not delivered."""
        return 1.0 - self.useful_tokens / max(1, self.made_tokens)


async def call(
    fleet: MemoryFleet, method: str, target: str, body: bytes = b""
) -> AnswerExchange:
    """Call the first entry as a trainer."""
    path, _, query = target.partition("?")
    exchange = AnswerExchange()
    request = HttpRequest(method, path, query, {}, body)
    await fleet.entries["entry-1"].handler.handle(request, exchange)
    return exchange


async def announce(
    fleet: MemoryFleet, run: Run, trainer: str, version: int
) -> None:
    """Announce new weights."""
    body = msgspec.json.encode({"version": version, "source": "s"})
    await call(fleet, "POST", f"/trainers/{trainer}/weights", body)
    run.newest = version


async def slow_down(fleet: MemoryFleet, rng: Random) -> None:
    """Slow a sampler down 20 times now and then."""
    while True:
        await trio.sleep(SLOW_EVERY_S)
        engine = rng.choice(list(fleet.engines.values()))
        engine.model.settings.faults.slow_factor = SLOW_FACTOR
        await trio.sleep(SLOW_FOR_S)
        engine.model.settings.faults.slow_factor = 1.0


def make_step(upstream: str, version: int, number: int) -> StepBody:
    """Return a step."""
    return StepBody(
        upstream=upstream,
        weight_version=version,
        max_tokens=TOKENS,
        groups=[
            Group(f"g{n}", f"step {number} prompt {n}", SAMPLES)
            for n in range(GROUPS)
        ],
    )


async def run_step(
    fleet: MemoryFleet, run: Run, trainer: str, body: StepBody, name: str
) -> None:
    """Run one step; the trainer works on each batch as it comes."""
    target = f"/trainers/{trainer}/steps/{name}"
    total = sum(group.samples for group in body.groups)
    seen: set[tuple[str, int]] = set()
    cursor, complete = "", False
    while not complete:
        waiting_from = trio.current_time()
        query = f"{target}/samples?cursor={cursor}&wait_ms=5000&max=64"
        answer = await call(fleet, "GET", query)
        run.idle_s += trio.current_time() - waiting_from
        pulled = msgspec.json.decode(answer.body, type=PullResponse)
        cursor, complete = pulled.cursor, pulled.complete
        for sample in pulled.samples:
            run.doubled += (sample.group, sample.index) in seen
            seen.add((sample.group, sample.index))
            lag = run.newest - sample.find_oldest_version()
            run.lags.append(lag)
            run.late += lag > 1
            run.mislabelled += not is_label_true(sample)
            run.useful_tokens += sample.count_tokens()
        await trio.sleep(TRAIN_S * len(pulled.samples) / total)
    run.lost += total - len(seen)


def run_training(deployment: str, policy: str, seed: int) -> Run:
    """Run one trainer over several steps."""
    engine, _, trainer = find_names(deployment)
    bundle = make_bundle(PLANS[deployment])
    if policy != "ours":
        bundle = swap_at_once(bundle)
    run = Run()

    async def work() -> None:
        fleet = MemoryFleet(make_plan(deployment, seed, bundle=bundle))
        rng = Random(seed)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await announce(fleet, run, trainer, 1)
            await trio.sleep(10.0)
            nursery.start_soon(slow_down, fleet, rng)
            started = trio.current_time()
            idle_before = 0.0
            bodies: list[StepBody] = []
            for number in range(STEPS):
                if number and number % WEIGHTS_EVERY == 0:
                    await announce(fleet, run, trainer, run.newest + 1)
                while len(bodies) <= min(number + AHEAD, STEPS - 1):
                    body = make_step(engine, run.newest, len(bodies))
                    target = f"/trainers/{trainer}/steps/s{len(bodies)}"
                    bodies.append(body)
                    data = msgspec.json.encode(body)
                    await call(fleet, "PUT", target, data)
                await run_step(
                    fleet, run, trainer, bodies[number], f"s{number}"
                )
                if number == 0:
                    idle_before = run.idle_s
                    started = trio.current_time()
            run.idle_s -= idle_before
            run.total_s = trio.current_time() - started
            run.made_tokens = sum(
                e.model.tokens_made for e in fleet.engines.values()
            )
            nursery.cancel_scope.cancel()

    with use_policy(policy):
        run_virtual(work, seed, LIMIT_S)
    return run


def swap_at_once(bundle: Bundle) -> Bundle:
    """Return a bundle that lets the whole fleet swap at once."""
    upstreams = [
        msgspec.structs.replace(upstream, min_serving_share=0.0)
        for upstream in bundle.upstreams
    ]
    return msgspec.structs.replace(bundle, upstreams=upstreams)


def _run_case(case: tuple[str, str, int]) -> Run:
    """Run one case in a process of its own."""
    return run_training(*case)


def measure(table: Table) -> None:
    """Measure both deployments against the baseline."""
    cases = [
        (deployment, policy, seed)
        for deployment in PLANS
        for policy in ("ours", "round robin")
        for seed in SEEDS
    ]
    with ProcessPoolExecutor(WORKERS) as pool:
        runs = dict(zip(cases, pool.map(_run_case, cases), strict=True))
    for deployment in PLANS:
        ours = [runs[(deployment, "ours", seed)] for seed in SEEDS]
        base = [runs[(deployment, "round robin", seed)] for seed in SEEDS]
        idle = mean(run.idle_share for run in ours)
        base_idle = mean(run.idle_share for run in base)
        bound = IDLE_SHARE_OF_BASELINE * base_idle
        prefix = f"{deployment}: "
        table.add(prefix + "idle share, baseline", base_idle, "share")
        table.add(prefix + "idle share", idle, "share", at_most=bound)
        waste = mean(run.waste_share for run in ours)
        base_waste = mean(run.waste_share for run in base)
        table.add(prefix + "wasted tokens, baseline", base_waste, "share")
        table.add(
            prefix + "wasted tokens", waste, "share", at_most=WASTE_SHARE
        )
        lags = sorted(lag for run in ours for lag in run.lags)
        base_lags = [lag for run in base for lag in run.lags]
        table.add(prefix + "staleness mean, baseline", mean(base_lags), "ver")
        table.add(prefix + "staleness mean", mean(lags), "versions")
        p99 = lags[int(0.99 * (len(lags) - 1))]
        table.add(prefix + "staleness p99", p99, "versions")
        table.add(prefix + "staleness max", lags[-1], "versions", at_most=1)
        for name in ("late", "lost", "doubled", "mislabelled"):
            value = sum(getattr(run, name) for run in ours)
            table.add(prefix + f"samples {name}", value, "samples", at_most=0)
