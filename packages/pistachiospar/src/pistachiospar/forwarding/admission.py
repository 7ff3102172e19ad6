"""Whether a call waits for an instance or is refused at once.

Pattern: all instances of an upstream are gone, avoided after failures, or at
the limit that they named. A call waits while one is expected to accept it in
time; otherwise its caller learns at once when to come back.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from . import const
from ..routing.instances import ListedInstance
from .health import InstanceHealth


@dataclass(frozen=True, slots=True)
class Availability:
    """After how many seconds an instance may accept a call.

    `limited` is set when the soonest one is at its limit until then.
    """

    wait_s: float
    limited: bool


def estimate_availability(
    instances: Iterable[ListedInstance],
    health: InstanceHealth,
    find_limit_wait_s: Callable[[ListedInstance], float],
    now: float,
) -> Availability | None:
    """Return when an instance may accept a call; None when there is none.

    `find_limit_wait_s` returns the seconds until an instance's limit allows
    another call.
    """
    soonest: Availability | None = None
    for instance in instances:
        avoided_s = health.get_state(instance.name).avoided_until - now
        limit_s = find_limit_wait_s(instance)
        wait_s = max(0.0, avoided_s, limit_s)
        if soonest is None or wait_s < soonest.wait_s:
            soonest = Availability(wait_s, limit_s >= max(wait_s, 1e-9))
    return soonest


def may_wait(
    available: Availability | None, remaining_s: float, permit_s: float
) -> bool:
    """Return whether a call that no instance accepts now should wait.

    `remaining_s` is the time left until its caller's deadline, `permit_s` the
    time for which it may still wait for an instance's limit. A listed
    instance that accepts no call now may do so soon.
    """
    if available is None:
        return False
    if available.limited and available.wait_s >= permit_s:
        return False
    return available.wait_s < remaining_s * const.REFUSE_AFTER_SHARE
