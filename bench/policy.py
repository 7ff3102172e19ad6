"""Measure the request policy in virtual time, against baselines.

The real entry and sidecar tasks run over the fakes, on both deployments.
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
from pistachiospar_standins.fakes.fleet import MemoryFleet
from pistachiospar_standins.fakes.fleet import run_virtual
from pistachiospar_standins.fakes.sinks import AnswerExchange
import trio

from . import fleets
from .baselines import use_policy
from .fleets import find_names
from .fleets import make_bundle
from .fleets import make_plan
from .fleets import PLANS
from .models import Table

sys.path.insert(0, str(fleets.ROOT / "features"))

from support.process_faults import count_dispatches  # noqa: E402
from support.process_faults import find_last_dispatch  # noqa: E402
from support.process_faults import run_load  # noqa: E402

LIMIT_S = 36_000.0
SEED = 4
POLICIES = ("ours", "round robin", "least reported")
SATURATED_P99_FACTOR = 1.5
SHARE_TOLERANCE = 0.05
LEAVING_S = 2.0
WORKERS = 8
STOPS = (
    "an upstream crashes",
    "a sidecar is killed",
    "a sidecar drains",
    "the list says an instance leaves",
)


@dataclass(slots=True)
class Calls:
    """Hold what came of a stream of calls; times are in seconds."""

    durations: list[float] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    cached: int = 0

    def find_quantile(self, share: float) -> float:
        """Return a quantile of the durations."""
        ordered = sorted(self.durations) or [0.0]
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    def done(self) -> int:
        """Return how many calls were answered whole."""
        return self.outcomes.get("done", 0)


def make_call(
    method: str, target: str, caller: str, timeout_ms: int, body: bytes = b""
) -> HttpRequest:
    """Make a caller's request."""
    headers = {
        "pistachiospar-caller": caller,
        "pistachiospar-timeout-ms": str(timeout_ms),
    }
    return HttpRequest(method, target, "", headers, body)


async def send_calls(
    fleet: MemoryFleet,
    calls: Calls,
    request: HttpRequest,
    rate: float,
    span_s: float,
    rng: Random,
) -> None:
    """Send a call again and again, at a Poisson rate, through all entries."""

    async def send(name: str) -> None:
        started = trio.current_time()
        exchange = AnswerExchange()
        await fleet.entries[name].handler.handle(request, exchange)
        outcome = exchange.outcome
        calls.outcomes[outcome] = calls.outcomes.get(outcome, 0) + 1
        if outcome == "done":
            calls.durations.append(trio.current_time() - started)

    async with trio.open_nursery() as nursery:
        until = trio.current_time() + span_s
        while trio.current_time() < until:
            nursery.start_soon(send, rng.choice(list(fleet.entries)))
            await trio.sleep(rng.expovariate(rate))


async def saturate(fleet: MemoryFleet, engine: str, trainer: str) -> None:
    """Put a step that keeps all engines busy."""
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
    await fleet.entries["entry-1"].handler.handle(request, AnswerExchange())
    await trio.sleep(5.0)


async def announce_first(fleet: MemoryFleet, trainer: str) -> None:
    """Announce the first weights and wait until they are loaded."""
    request = HttpRequest(
        "POST",
        f"/trainers/{trainer}/weights",
        "",
        {},
        b'{"version": 1, "source": "s"}',
    )
    await fleet.entries["entry-1"].handler.handle(request, AnswerExchange())
    await trio.sleep(12.0)


def run_saturation(
    deployment: str, policy: str, saturated: bool, on_engine: bool
) -> Calls:
    """Measure kiosk calls, on the plain service or on the engines."""
    engine, plain, trainer = find_names(deployment)
    caller = str(PLANS[deployment].bundle["callers"][0]["name"])
    calls = Calls()
    request = make_call("GET", f"/upstreams/{plain}/lookup", caller, 3000)
    if on_engine:
        body = b'{"prompt": "short question", "max_tokens": 16}'
        target = f"/upstreams/{engine}/v1/completions"
        request = make_call("POST", target, caller, 20000, body)

    async def work() -> None:
        fleet = MemoryFleet(make_plan(deployment, SEED))
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await announce_first(fleet, trainer)
            if saturated:
                await saturate(fleet, engine, trainer)
            await send_calls(fleet, calls, request, 4.0, 60.0, Random(SEED))
            nursery.cancel_scope.cancel()

    with use_policy(policy):
        run_virtual(work, SEED, LIMIT_S)
    return calls


def run_overload(deployment: str, policy: str) -> float:
    """Return the goodput at twice the capacity, as a share of it."""
    _, plain, _ = find_names(deployment)
    caller = str(PLANS[deployment].bundle["callers"][0]["name"])
    calls = Calls()
    slots, service_s, span_s = 4, 0.1, 20.0
    plan = make_plan(deployment, SEED, service_s, slots)
    capacity = plan.instances[plain] * slots / service_s
    request = make_call("GET", f"/upstreams/{plain}/lookup", caller, 1000)

    async def work() -> None:
        fleet = MemoryFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await send_calls(
                fleet, calls, request, 2 * capacity, span_s, Random(SEED)
            )
            nursery.cancel_scope.cancel()

    with use_policy(policy):
        run_virtual(work, SEED, LIMIT_S)
    return calls.done() / (capacity * span_s)


def add_second_caller(bundle: Bundle) -> Bundle:
    """Return a bundle with a caller of each partner."""
    callers = [
        msgspec.structs.replace(
            bundle.callers[0], name=f"of-{partner.name}", partner=partner.name
        )
        for partner in bundle.partners
    ]
    return msgspec.structs.replace(bundle, callers=callers)


def run_shares(deployment: str) -> float:
    """Return the worst distance of a partner's share from the agreed one."""
    engine, _, _ = find_names(deployment)
    bundle = add_second_caller(make_bundle(PLANS[deployment]))
    plan = make_plan(deployment, SEED, slots=4, bundle=bundle)
    calls = {partner.name: Calls() for partner in bundle.partners}

    async def work() -> None:
        fleet = MemoryFleet(plan)
        target = f"/upstreams/{engine}/v1/completions"
        body = b'{"prompt": "question", "max_tokens": 64}'
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            async with trio.open_nursery() as senders:
                for number, partner in enumerate(bundle.partners):
                    name = f"of-{partner.name}"
                    request = make_call("POST", target, name, 20000, body)
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

    run_virtual(work, SEED, LIMIT_S)
    total = sum(c.done() for c in calls.values())
    return max(
        abs(calls[partner.name].done() / total - partner.share)
        for partner in bundle.partners
    )


def run_prefixes(deployment: str, policy: str) -> float:
    """Return the share of completions whose prompt was cached."""
    engine, _, _ = find_names(deployment)
    caller = str(PLANS[deployment].bundle["callers"][0]["name"])
    plan = make_plan(deployment, SEED)
    rng = Random(SEED)
    found = [0.0]

    async def work() -> None:
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
                    request = make_call("POST", target, caller, 20000, body)
                    name = rng.choice(list(fleet.entries))
                    handler = fleet.entries[name].handler
                    senders.start_soon(
                        handler.handle, request, AnswerExchange()
                    )
                    await trio.sleep(0.1)
            models = [e.model for e in fleet.engines.values()]
            hits = sum(m.cache_hits for m in models)
            found[0] = hits / sum(
                m.cache_hits + m.cache_misses for m in models
            )
            nursery.cancel_scope.cancel()

    with use_policy(policy):
        run_virtual(work, SEED, LIMIT_S)
    return found[0]


def measure_stops(table: Table) -> None:
    """Measure how long an instance still gets work after a blow.

    200 calls over 4 s through two entries; the blow falls in the middle.
    """
    for blow in STOPS:
        load = run_load("lookup", blow, SEED)
        since = find_last_dispatch(load, "plain-1") - load.fault_at
        label = f"stops sending when {blow}"
        table.add(label, max(0.0, since), "s", at_most=LEAVING_S)
    slow = run_load("lookup", "an upstream becomes 10 times slower", SEED)
    late = slow.fault_at + 1.0
    sent = count_dispatches(slow, late)
    share = sent.get("plain-1", 0) / max(1, sum(sent.values()))
    table.add("share sent to a 10 times slower one, after 1 s", share, "share")


def measure(table: Table) -> None:
    """Measure both deployments, against the baselines."""
    measure_stops(table)
    with ProcessPoolExecutor(WORKERS) as pool:
        for deployment in PLANS:
            measure_one(table, deployment, pool)


def measure_one(
    table: Table, deployment: str, pool: ProcessPoolExecutor
) -> None:
    """Measure one deployment."""
    prefix = f"{deployment}: "
    overload = {
        name: pool.submit(run_overload, deployment, name) for name in POLICIES
    }
    hits = {
        name: pool.submit(run_prefixes, deployment, name) for name in POLICIES
    }
    shares = pool.submit(run_shares, deployment)
    for on_engine, title in ((False, "lookup"), (True, "short completion")):
        idle = pool.submit(
            run_saturation, deployment, "ours", False, on_engine
        )
        busy = {
            name: pool.submit(
                run_saturation, deployment, name, True, on_engine
            )
            for name in POLICIES
        }
        unloaded = idle.result().find_quantile(0.99)
        table.add(prefix + f"{title} p99 unloaded", unloaded * 1e3, "ms")
        for name in POLICIES:
            calls = busy[name].result()
            bound = None
            if name == "ours":
                bound = SATURATED_P99_FACTOR * unloaded * 1e3
            label = prefix + f"{title} saturated, {name}: "
            p50 = calls.find_quantile(0.5) * 1e3
            p99 = calls.find_quantile(0.99) * 1e3
            table.add(label + "p50", p50, "ms")
            table.add(label + "p99", p99, "ms", at_most=bound)
    for name in POLICIES:
        value = overload[name].result()
        table.add(prefix + f"goodput at 2x load, {name}", value, "of capacity")
    table.add(
        prefix + "worst distance from the agreed split",
        shares.result(),
        "share",
        at_most=SHARE_TOLERANCE,
    )
    for name in POLICIES:
        value = hits[name].result()
        table.add(prefix + f"prefix hit rate, {name}", value, "share")
