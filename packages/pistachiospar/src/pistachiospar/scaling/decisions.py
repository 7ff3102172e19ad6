"""The decision on the number of instances in a zone.

Pattern: demand rises within seconds and an instance takes longer to boot, so
numbers rise at once; they fall slowly, since the next rise costs a boot.
"""

from dataclasses import replace
import math

from . import const
from .models import Direction
from .models import ScaleRule
from .models import ZoneDemand
from .models import ZoneTarget


def decide_target(
    target: ZoneTarget, demand: ZoneDemand, rule: ScaleRule, now: float
) -> ZoneTarget:
    """Return the next target; `now` is in monotonic seconds.

    The rule's limits hold at once, whatever changed before.
    """
    maximum = max(rule.minimum, rule.maximum)
    limited = min(max(target.number, rule.minimum), maximum)
    if limited != target.number:
        return _change(target, limited, now, "limits of the rule")
    needed = min(max(count_needed(demand), rule.minimum), maximum)
    if needed > target.number:
        if _is_held(target, Direction.UP, rule, now):
            return replace(target, reason="was lowered a short time ago")
        return _change(target, needed, now, "demand")
    lower = target.number - 1
    if lower < rule.minimum or not fits(demand, lower):
        return replace(target, reason="demand")
    if _is_held(target, Direction.DOWN, rule, now):
        return replace(target, reason="was raised a short time ago")
    if now - target.changed_at < const.DECREASE_INTERVAL_S:
        return replace(target, reason="is lowered one at a time")
    return _change(target, lower, now, "demand fell")


def count_needed(demand: ZoneDemand) -> int:
    """Return the instances that a demand needs.

    A single report adds at most one instance to what the others need.
    """
    others = sum(demand.reports) - max(demand.reports, default=0.0)
    without_largest = _count(others, demand)
    return min(_count(sum(demand.reports), demand), without_largest + 1)


def fits(demand: ZoneDemand, number: int) -> bool:
    """Return whether fewer instances would have room to spare."""
    slots = number * demand.slots_per_instance
    return sum(demand.reports) <= slots * const.USE_AFTER_DECREASE


def _count(slots: float, demand: ZoneDemand) -> int:
    """Return the instances for a number of slots in use."""
    usable = demand.slots_per_instance * const.TARGET_USE
    return math.ceil(slots / usable) if usable > 0 else 0


def _is_held(
    target: ZoneTarget, direction: Direction, rule: ScaleRule, now: float
) -> bool:
    """Return whether a change would turn back the last one too soon."""
    if target.direction in (Direction.NONE, direction):
        return False
    hold_s = max(const.MIN_HOLD_S, const.HOLD_BOOTS * rule.boot_s)
    return now - target.changed_at < hold_s


def _change(
    target: ZoneTarget, number: int, now: float, reason: str
) -> ZoneTarget:
    """Return a changed target."""
    rises = number > target.number
    direction = Direction.UP if rises else Direction.DOWN
    return ZoneTarget(number, direction, now, reason)
