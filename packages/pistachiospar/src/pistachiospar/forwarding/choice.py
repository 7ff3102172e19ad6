"""Choice of the instance that a call goes to.

Pattern: many gateways with few calls each, and one with many. Each new
connection to an instance is expensive, so a gateway with few calls uses the
instances that it is connected to, unless others finish clearly sooner.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from random import Random

from . import const
from ..routing.instances import ListedInstance
from .health import InstanceHealth
from .health import InstanceHealthState


def choose_instance(
    instances: Iterable[ListedInstance],
    health: InstanceHealth,
    tried: Collection[str],
    zone: str,
    is_connected: Callable[[ListedInstance], bool],
    now: float,
    cost_s: float,
    rng: Random,
    limited: Collection[str] = (),
) -> ListedInstance | None:
    """Return the instance for a call; None when there are none.

    Instances that were not tried yet rank first, then those that are not
    avoided, then those with a free slot, then those not in `limited`. Among
    these one is drawn where the call, which costs `cost_s` at pace 1.0, is
    expected to end about as soon as anywhere, in the own zone if there is such
    an instance. A new connection counts as time.
    """
    found = list(instances)
    if not found:
        return None
    states = [health.get_state(instance.name) for instance in found]
    loads = estimate_loads(found, states, now)
    ranks = [
        (instance.name in tried) * 8
        + (now < state.avoided_until) * 4
        + (load >= instance.slots) * 2
        + (instance.name in limited)
        for instance, state, load in zip(found, states, loads)
    ]
    best_rank = min(ranks)
    usual_s = health.costs.estimate_upstream_s(found[0].upstream, now)
    connection_s = max(
        const.CONNECTION_COST_S, const.CONNECTION_COST_SHARE * cost_s
    )
    scored: list[tuple[float, ListedInstance]] = []
    for instance, state, load, rank in zip(found, states, loads, ranks):
        if rank != best_rank:
            continue
        score_s = estimate_finish_s(
            instance.slots, state, load, cost_s, usual_s, now
        )
        if not is_connected(instance):
            score_s += connection_s
        scored.append((score_s, instance))
    limit_s = min(score_s for score_s, _ in scored)
    limit_s += const.NEAR_EQUAL_SHARE * cost_s
    near = [i for score_s, i in scored if score_s <= limit_s]
    return rng.choice([i for i in near if i.zone == zone] or near)


def estimate_loads(
    instances: Sequence[ListedInstance],
    states: Sequence[InstanceHealthState],
    now: float,
) -> list[float]:
    """Return how many calls run or wait at each instance.

    These are this gateway's own and those of others. What is known of others
    ages towards their mean number per slot at all instances.
    """
    weights = [state.compute_news_weight(now) for state in states]
    total = sum(weights)
    usual = 0.0
    if total > 0.0:
        usual = sum(
            weight * state.others / max(1, instance.slots)
            for instance, state, weight in zip(instances, states, weights)
            if weight
        )
        usual /= total
    return [
        state.in_flight
        + weight * state.others
        + (1.0 - weight) * usual * instance.slots
        for instance, state, weight in zip(instances, states, weights)
    ]


def estimate_finish_s(
    slots: int,
    state: InstanceHealthState,
    load: float,
    cost_s: float,
    usual_s: float,
    now: float,
) -> float:
    """Return after how many seconds a call is expected to end.

    `load` calls run or wait at the instance; those of other gateways have
    `usual_s` left.
    """
    pace = state.estimate_pace(now)
    slots = max(1, slots)
    queued = load - slots + 1.0
    if queued <= 0.0:
        # Others may have taken the free slots since the last report.
        wait_s = const.LOAD_COST_SHARE * usual_s * load / slots
        return cost_s * pace + wait_s
    others = max(0.0, load - state.in_flight)
    work_s = state.estimate_own_work_s(usual_s, now) + others * usual_s
    wait_s = const.LOAD_COST_SHARE * usual_s
    return wait_s + pace * (cost_s + queued * work_s / (load * slots))
