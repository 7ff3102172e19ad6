"""Comparison of the choice of instances with the one that it replaced.

Costs have a heavy tail; a sixth of the instances is slow for 0.6 s at a time.
"""

from collections.abc import Callable
from collections import Counter
from collections import defaultdict
import heapq
from random import Random
from typing import Any

from pistachiospar.adapters.http.address import Address
from pistachiospar.costs.models import CallClass
from pistachiospar.forwarding.choice import choose_instance
from pistachiospar.forwarding.health import InstanceHealth
from pistachiospar.ports.sampler import InstanceLoad
from pistachiospar.routing.instances import ListedInstance

# Typical costs by the size of the body; the mean is 1.65 times as much.
COSTS_S = {8: 0.02, 14: 0.08}
MEAN_COST_S = 0.05 * 1.65
SLOTS, GATEWAYS = (2, 4, 4, 8) * 3, 8
SLOW_PACE, SLOW_SHARE, PHASE_S = 2.5, 1 / 6, 0.6
DURATION_S, IDLE_S, SEEDS = 15.0, 10.0, (1, 2)
INSTANCES = [
    ListedInstance(f"i{number}", "u", Address("", 1), "z", slots, False)
    for number, slots in enumerate(SLOTS)
]


def choose_as_before(
    instances: list[ListedInstance],
    health: InstanceHealth,
    is_connected: Callable[[ListedInstance], bool],
    now: float,
    rng: Random,
    **_: object,
) -> ListedInstance:
    """Choose by mean durations, as up to 25c908d."""
    states = [health.get_state(instance.name) for instance in instances]
    known_s = [s.mean_duration_s for s in states if s.mean_duration_s]
    default_s = min(known_s, default=0.02)
    loads = [state.count_load(now) for state in states]
    waits_s = [
        (state.mean_duration_s or default_s) * (load + 1) / instance.slots
        for instance, state, load in zip(instances, states, loads)
    ]
    ranks = [
        (
            load >= instance.slots,
            wait_s > 1.6 * min(waits_s),
            not is_connected(instance),
            wait_s,
            rng.random(),
        )
        for instance, load, wait_s in zip(instances, loads, waits_s)
    ]
    return instances[ranks.index(min(ranks))]


def simulate(
    choose: Callable[..., Any], usage: float, seed: int
) -> tuple[list[float], int]:
    """Return durations of calls, the same by `seed`, and new connections."""
    rng, choice_rng = Random(seed), Random(seed)
    running: Counter[str] = Counter()
    queues: dict[str, list[Any]] = defaultdict(list)
    idle_since: dict[tuple[int, str], list[float]] = defaultdict(list)
    healths = [InstanceHealth(rng) for _ in range(GATEWAYS)]
    events: list[tuple[float, float, Callable[..., None], Any]] = []
    durations: list[float] = []
    opened = 0

    def schedule(at: float, event: Callable[..., None], *call: Any) -> None:
        heapq.heappush(events, (at, choice_rng.random(), event, call))

    def compute_pace(name: str, now: float) -> float:
        drawn = Random(f"{name} {int(now / PHASE_S)}").random()
        return SLOW_PACE if drawn < SLOW_SHARE else 1.0

    def arrive(now: float, gateway: int, size: int, work_s: float) -> None:
        nonlocal opened
        health, call = healths[gateway], CallClass("u", "r", size)
        connected = {
            i.name
            for i in INSTANCES
            if any(s > now - IDLE_S for s in idle_since[gateway, i.name][-1:])
        }
        chosen = choose(
            instances=INSTANCES,
            health=health,
            tried=(),
            zone="z",
            is_connected=lambda instance: instance.name in connected,
            now=now,
            cost_s=health.costs.estimate(call, now).typical_s,
            rng=choice_rng,
        )
        if chosen.name in connected:
            idle_since[gateway, chosen.name].pop()
        opened += chosen.name not in connected
        tracker = health.track_call(chosen.name, chosen.slots, call, now)
        sent = (gateway, chosen, work_s, now, tracker, tracker.__enter__())
        if running[chosen.name] < chosen.slots:
            start(now, *sent)
        else:
            queues[chosen.name].append(sent)

    def start(now: float, *sent: Any) -> None:
        name = sent[1].name
        running[name] += 1
        schedule(now + sent[2] * compute_pace(name, now), finish, *sent)

    def finish(now: float, *sent: Any) -> None:
        gateway, chosen, _, sent_at, tracker, call = sent
        name, health = chosen.name, healths[gateway]
        counts = running[name], len(queues[name]), chosen.slots
        load = InstanceLoad(*counts, compute_pace(name, now))
        running[name] -= 1
        health.record_response(name, now - sent_at, load, now)
        health.record_cost(name, call, now)
        tracker.__exit__(None, None, None)
        idle_since[gateway, name].append(now)
        durations.append(now - sent_at)
        if queues[name]:
            start(now, *queues[name].pop(0))

    at = 0.0
    while at < DURATION_S:
        at += rng.expovariate(usage * sum(SLOTS) / MEAN_COST_S)
        size, gateway = rng.choice(list(COSTS_S)), rng.randrange(GATEWAYS)
        work_s = COSTS_S[size] * rng.lognormvariate(0.0, 1.0)
        schedule(at, arrive, gateway, size, work_s)
    while events:
        now, _, event, call = heapq.heappop(events)
        event(now, *call)
    return durations, opened


def compare(usage: float) -> list[tuple[float, float, int]]:
    """Return mean, p99 and new connections of the old and the new choice."""
    found = []
    for choose in (choose_as_before, choose_instance):
        runs = [simulate(choose, usage, seed) for seed in SEEDS]
        all_s = sorted(took_s for run in runs for took_s in run[0])
        mean_s, p99_s = sum(all_s) / len(all_s), all_s[len(all_s) * 99 // 100]
        found.append((mean_s, p99_s, sum(run[1] for run in runs)))
    return found
