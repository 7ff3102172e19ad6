"""Benchmark of the policy for requests against baselines, in virtual time.

The real entry and sidecar tasks run over the fakes, for both deployments.
"""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from dataclasses import field
from random import Random
import sys

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.bundle.models import Bundle
from pistachiospar.trainers.models import Group
from pistachiospar.trainers.models import StepBody
from pistachiospar_standins.fakes.entry_fleet import MemoryFleet
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.recorders import ResponseRecorder
import trio

from . import fleets
from .baselines import use_policy
from .fleets import find_deployment_names
from .fleets import make_bundle
from .fleets import make_plan
from .fleets import PLANS
from .models import Table

sys.path.insert(0, str(fleets.ROOT_FOLDER / "features"))

from support.process_faults import count_dispatches  # noqa: E402
from support.process_faults import find_last_dispatch  # noqa: E402
from support.process_faults import run_load  # noqa: E402

MAX_VIRTUAL_S = 36_000.0
SEED = 4
POLICIES = ("ours", "round robin", "least reported")
MAX_SATURATED_P99_FACTOR = 1.5
MAX_SHARE_DEVIATION = 0.05
MAX_STOP_DELAY_S = 2.0
WORKER_COUNT = 8
STOP_FAULTS = (
    "an upstream crashes",
    "a sidecar is killed",
    "a sidecar drains",
    "the list says an instance leaves",
)


@dataclass(slots=True)
class CallFigures:
    """Durations of the calls that succeeded, and counts of all outcomes."""

    durations: list[float] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    cached: int = 0

    def compute_quantile(self, share: float) -> float:
        """Return a quantile of the durations in seconds; 0.0 without any."""
        ordered = sorted(self.durations) or [0.0]
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    def count_done(self) -> int:
        """Return how many calls got a complete response."""
        return self.outcomes.get("done", 0)


def make_request(
    method: str, target: str, caller: str, timeout_ms: int, body: bytes = b""
) -> HttpRequest:
    """Make a request with the headers of a caller."""
    headers = {
        "pistachiospar-caller": caller,
        "pistachiospar-timeout-ms": str(timeout_ms),
    }
    return HttpRequest(method, target, "", headers, body)


async def send_calls(
    fleet: MemoryFleet,
    calls: CallFigures,
    request: HttpRequest,
    calls_per_s: float,
    duration_s: float,
    rng: Random,
) -> None:
    """Send a request as a Poisson process, through random entries."""

    async def send(name: str) -> None:
        started = trio.current_time()
        recorder = ResponseRecorder()
        await fleet.entries[name].handler.handle(request, recorder)
        outcome = recorder.outcome
        calls.outcomes[outcome] = calls.outcomes.get(outcome, 0) + 1
        if outcome == "done":
            calls.durations.append(trio.current_time() - started)

    async with trio.open_nursery() as nursery:
        end_at = trio.current_time() + duration_s
        while trio.current_time() < end_at:
            nursery.start_soon(send, rng.choice(list(fleet.entries)))
            await trio.sleep(rng.expovariate(calls_per_s))


async def saturate_engines(
    fleet: MemoryFleet, engine: str, trainer: str
) -> None:
    """Submit a step that keeps all engines busy, and let it start."""
    body = StepBody(
        upstream=engine,
        weight_version=0,
        max_tokens=256,
        groups=[Group(f"g{n}", f"prompt {n}", 16) for n in range(128)],
    )
    request = HttpRequest(
        "PUT",
        f"/trainers/{trainer}/steps/full",
        "",
        {},
        msgspec.json.encode(body),
    )
    await fleet.entries["entry-1"].handler.handle(request, ResponseRecorder())
    await trio.sleep(5.0)


async def announce_first_weights(fleet: MemoryFleet, trainer: str) -> None:
    """Announce version 1 of the weights and give engines time to load it."""
    request = HttpRequest(
        "POST",
        f"/trainers/{trainer}/weights",
        "",
        {},
        b'{"version": 1, "source": "s"}',
    )
    await fleet.entries["entry-1"].handler.handle(request, ResponseRecorder())
    await trio.sleep(12.0)


def measure_calls(
    deployment: str, policy: str, saturated: bool, on_engine: bool
) -> CallFigures:
    """Measure a caller's requests to the plain service or to the engines."""
    engine, service, trainer = find_deployment_names(deployment)
    caller = str(PLANS[deployment].bundle["callers"][0]["name"])
    calls = CallFigures()
    request = make_request("GET", f"/upstreams/{service}/lookup", caller, 3000)
    if on_engine:
        body = b'{"prompt": "short question", "max_tokens": 16}'
        target = f"/upstreams/{engine}/v1/completions"
        request = make_request("POST", target, caller, 20000, body)

    async def run_fleet() -> None:
        fleet = MemoryFleet(make_plan(deployment, SEED))
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await announce_first_weights(fleet, trainer)
            if saturated:
                await saturate_engines(fleet, engine, trainer)
            await send_calls(fleet, calls, request, 4.0, 60.0, Random(SEED))
            nursery.cancel_scope.cancel()

    with use_policy(policy):
        run_virtual(run_fleet, SEED, MAX_VIRTUAL_S)
    return calls


def measure_goodput(deployment: str, policy: str) -> float:
    """Return the goodput at twice the capacity, as a share of capacity."""
    _, service, _ = find_deployment_names(deployment)
    caller = str(PLANS[deployment].bundle["callers"][0]["name"])
    calls = CallFigures()
    slots, service_s, duration_s = 4, 0.1, 20.0
    plan = make_plan(deployment, SEED, service_s, slots)
    capacity = plan.instances[service] * slots / service_s
    request = make_request("GET", f"/upstreams/{service}/lookup", caller, 1000)

    async def run_fleet() -> None:
        fleet = MemoryFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await send_calls(
                fleet, calls, request, 2 * capacity, duration_s, Random(SEED)
            )
            nursery.cancel_scope.cancel()

    with use_policy(policy):
        run_virtual(run_fleet, SEED, MAX_VIRTUAL_S)
    return calls.count_done() / (capacity * duration_s)


def add_caller_per_partner(bundle: Bundle) -> Bundle:
    """Return a bundle with exactly one caller of each partner."""
    callers = [
        msgspec.structs.replace(
            bundle.callers[0], name=f"of-{partner.name}", partner=partner.name
        )
        for partner in bundle.partners
    ]
    return msgspec.structs.replace(bundle, callers=callers)


def measure_share_deviation(deployment: str) -> float:
    """Return how far a partner's share is at most from the agreed one."""
    engine, _, _ = find_deployment_names(deployment)
    bundle = add_caller_per_partner(make_bundle(PLANS[deployment]))
    plan = make_plan(deployment, SEED, slots=4, bundle=bundle)
    calls = {partner.name: CallFigures() for partner in bundle.partners}

    async def run_fleet() -> None:
        fleet = MemoryFleet(plan)
        target = f"/upstreams/{engine}/v1/completions"
        body = b'{"prompt": "question", "max_tokens": 64}'
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            async with trio.open_nursery() as senders:
                for number, partner in enumerate(bundle.partners):
                    name = f"of-{partner.name}"
                    request = make_request("POST", target, name, 20000, body)
                    senders.start_soon(
                        send_calls,
                        fleet,
                        calls[partner.name],
                        request,
                        40.0,
                        60.0,
                        Random(SEED + number),
                    )
            nursery.cancel_scope.cancel()

    run_virtual(run_fleet, SEED, MAX_VIRTUAL_S)
    total = sum(c.count_done() for c in calls.values())
    return max(
        abs(calls[partner.name].count_done() / total - partner.share)
        for partner in bundle.partners
    )


def measure_prefix_hit_rate(deployment: str, policy: str) -> float:
    """Return the share of completions whose prompt prefix was cached."""
    engine, _, _ = find_deployment_names(deployment)
    caller = str(PLANS[deployment].bundle["callers"][0]["name"])
    plan = make_plan(deployment, SEED)
    rng = Random(SEED)
    hit_rate = [0.0]

    async def run_fleet() -> None:
        fleet = MemoryFleet(plan)
        target = f"/upstreams/{engine}/v1/completions"
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            async with trio.open_nursery() as senders:
                for _ in range(600):
                    number = min(int(rng.paretovariate(0.8)), 150)
                    body = msgspec.json.encode(
                        {"prompt": f"prefix {number}", "max_tokens": 16}
                    )
                    request = make_request("POST", target, caller, 20000, body)
                    name = rng.choice(list(fleet.entries))
                    handler = fleet.entries[name].handler
                    senders.start_soon(
                        handler.handle, request, ResponseRecorder()
                    )
                    await trio.sleep(0.1)
            models = [e.model for e in fleet.engines.values()]
            hits = sum(m.cache_hits for m in models)
            hit_rate[0] = hits / sum(
                m.cache_hits + m.cache_misses for m in models
            )
            nursery.cancel_scope.cancel()

    with use_policy(policy):
        run_virtual(run_fleet, SEED, MAX_VIRTUAL_S)
    return hit_rate[0]


def measure_stop_delays(table: Table) -> None:
    """Measure how long an instance still gets work after a fault.

    200 calls are sent over 4 s through two entries; the fault is injected
    in the middle.
    """
    for fault in STOP_FAULTS:
        load = run_load("lookup", fault, SEED)
        stop_delay_s = find_last_dispatch(load, "plain-1") - load.fault_at
        label = f"stops sending when {fault}"
        table.add(label, max(0.0, stop_delay_s), "s", at_most=MAX_STOP_DELAY_S)
    slow_load = run_load("lookup", "an upstream becomes 10 times slower", SEED)
    counted_from = slow_load.fault_at + 1.0
    sent = count_dispatches(slow_load, counted_from)
    share = sent.get("plain-1", 0) / max(1, sum(sent.values()))
    table.add("share sent to a 10 times slower one, after 1 s", share, "share")


def measure(table: Table) -> None:
    """Measure stop delays, then both deployments against the baselines."""
    measure_stop_delays(table)
    with ProcessPoolExecutor(WORKER_COUNT) as pool:
        for deployment in PLANS:
            measure_deployment(table, deployment, pool)


def measure_deployment(
    table: Table, deployment: str, pool: ProcessPoolExecutor
) -> None:
    """Measure latency, goodput, shares and cache hits of a deployment."""
    prefix = f"{deployment}: "
    goodputs = {
        name: pool.submit(measure_goodput, deployment, name)
        for name in POLICIES
    }
    hit_rates = {
        name: pool.submit(measure_prefix_hit_rate, deployment, name)
        for name in POLICIES
    }
    deviation = pool.submit(measure_share_deviation, deployment)
    for on_engine, call_name in (
        (False, "lookup"),
        (True, "short completion"),
    ):
        unloaded_calls = pool.submit(
            measure_calls, deployment, "ours", False, on_engine
        )
        saturated = {
            name: pool.submit(measure_calls, deployment, name, True, on_engine)
            for name in POLICIES
        }
        unloaded_p99_s = unloaded_calls.result().compute_quantile(0.99)
        table.add(
            prefix + f"{call_name} p99 unloaded", unloaded_p99_s * 1e3, "ms"
        )
        for name in POLICIES:
            calls = saturated[name].result()
            bound = None
            if name == "ours":
                bound = MAX_SATURATED_P99_FACTOR * unloaded_p99_s * 1e3
            label = prefix + f"{call_name} saturated, {name}: "
            p50 = calls.compute_quantile(0.5) * 1e3
            p99 = calls.compute_quantile(0.99) * 1e3
            table.add(label + "p50", p50, "ms")
            table.add(label + "p99", p99, "ms", at_most=bound)
    for name in POLICIES:
        value = goodputs[name].result()
        table.add(prefix + f"goodput at 2x load, {name}", value, "of capacity")
    table.add(
        prefix + "worst distance from the agreed split",
        deviation.result(),
        "share",
        at_most=MAX_SHARE_DEVIATION,
    )
    for name in POLICIES:
        value = hit_rates[name].result()
        table.add(prefix + f"prefix hit rate, {name}", value, "share")
