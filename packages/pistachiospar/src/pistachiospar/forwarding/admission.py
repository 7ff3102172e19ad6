"""Whether a call waits for an instance or is refused at once.

Pattern: all instances of an upstream are gone, or avoided after failures. A
call waits while one is expected to accept it in time; otherwise its caller
learns at once when to come back.
"""

from collections.abc import Iterable

from . import const
from ..routing.instances import ListedInstance
from .health import InstanceHealth


def estimate_available_s(
    instances: Iterable[ListedInstance], health: InstanceHealth, now: float
) -> float | None:
    """Return after how many seconds an instance may accept a call.

    0 when one may now, None when there is no instance.
    """
    waits_s = [
        max(0.0, health.get_state(instance.name).avoided_until - now)
        for instance in instances
    ]
    return min(waits_s, default=None)


def may_wait(available_s: float | None, remaining_s: float) -> bool:
    """Return whether a call that no instance accepts now should wait.

    `remaining_s` is the time left until its caller's deadline. A listed
    instance that accepts no call now may do so soon.
    """
    if available_s is None:
        return False
    return available_s < remaining_s * const.REFUSE_AFTER_SHARE
