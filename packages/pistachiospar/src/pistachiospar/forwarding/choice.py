"""Choice of the instance that a call goes to.

Pattern: many gateways with few calls each, and one with many. Each new
connection to an instance is expensive, so a gateway with few calls uses the
instances that it is connected to, unless others are much faster.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

from . import const
from ..helpers.rendezvous import compute_score
from ..routing.instances import ListedInstance
from .health import InstanceHealth


def choose_instance(
    instances: Iterable[ListedInstance],
    health: InstanceHealth,
    tried: Collection[str],
    caller: str,
    zone: str,
    is_connected: Callable[[ListedInstance], bool],
    now: float,
    limited: Collection[str] = (),
) -> ListedInstance | None:
    """Return the instance for a call; None when there are none.

    Instances that were not tried yet rank first, then those that are not
    avoided, then those with a free slot, then those not in `limited`, then
    those whose expected wait is close to the shortest. Among these an idle
    connection decides, then the wait, then the own zone, then a hash, so that
    the gateways, `caller` being this one, spread over the instances.
    """
    found = list(instances)
    waits_s = estimate_waits_s(found, health, now)
    limit_s = const.MAX_WAIT_RATIO * min(waits_s.values(), default=0.0)

    def rank(instance: ListedInstance) -> tuple[float, ...]:
        state = health.get_state(instance.name)
        wait_s = waits_s[instance.name]
        return (
            float(instance.name in tried),
            float(now < state.avoided_until),
            float(state.count_load(now) >= instance.slots),
            float(instance.name in limited),
            float(wait_s > limit_s),
            float(not is_connected(instance)),
            wait_s,
            float(instance.zone != zone),
            -float(compute_score(caller, instance.name)),
        )

    return min(found, key=rank, default=None)


def estimate_waits_s(
    instances: Sequence[ListedInstance], health: InstanceHealth, now: float
) -> dict[str, float]:
    """Return how long a call at each instance is expected to take.

    An instance without calls so far counts as fast as the fastest one.
    """
    states = {i.name: health.get_state(i.name) for i in instances}
    known_s = [s.mean_duration_s for s in states.values() if s.mean_duration_s]
    default_s = min(known_s, default=const.DEFAULT_DURATION_S)
    waits_s: dict[str, float] = {}
    for instance in instances:
        state = states[instance.name]
        duration_s = state.mean_duration_s or default_s
        load = state.count_load(now)
        waits_s[instance.name] = (
            duration_s * (load + 1) / max(1, instance.slots)
        )
    return waits_s
