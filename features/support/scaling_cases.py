"""Properties of the decision on numbers of instances."""

from collections.abc import Callable
import math

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies
from pistachiospar.scaling import const
from pistachiospar.scaling.decisions import count_needed
from pistachiospar.scaling.decisions import decide_target
from pistachiospar.scaling.models import Direction
from pistachiospar.scaling.models import ScaleRule
from pistachiospar.scaling.models import ZoneDemand
from pistachiospar.scaling.models import ZoneTarget

SLOTS = 8.0
REPORTS = strategies.lists(
    strategies.floats(0.0, 60.0), min_size=0, max_size=12
).map(tuple)
RULES = strategies.builds(
    ScaleRule,
    strategies.integers(0, 4),
    strategies.integers(4, 40),
    strategies.sampled_from((2.0, 15.0, 90.0)),
)
STEPS = strategies.lists(
    strategies.tuples(strategies.floats(0.5, 40.0), REPORTS), max_size=40
)
Check = Callable[..., None]
configure = settings(max_examples=200, deadline=None, database=None)


def follow(
    rule: ScaleRule, steps: list[tuple[float, tuple[float, ...]]]
) -> list[tuple[float, ZoneTarget]]:
    """Return the targets over time."""
    now, target = 0.0, ZoneTarget(rule.minimum)
    targets = [(now, target)]
    for pause_s, reports in steps:
        now += pause_s
        target = decide_target(target, ZoneDemand(reports, SLOTS), rule, now)
        targets.append((now, target))
    return targets


@seed(1)
@configure
@given(RULES, STEPS, strategies.integers(0, 60))
def check_limits(rule: ScaleRule, steps: list, start: int) -> None:
    """Check the limits, also right after they changed."""
    for _, target in follow(rule, steps):
        assert rule.minimum <= target.number <= rule.maximum
    demand = ZoneDemand((), SLOTS)
    moved = decide_target(
        ZoneTarget(start, Direction.UP, 0.0), demand, rule, 0
    )
    assert rule.minimum <= moved.number <= rule.maximum


@seed(2)
@configure
@given(RULES, STEPS)
def check_hold(rule: ScaleRule, steps: list) -> None:
    """Check the time between changes in opposite directions."""
    hold_s = max(const.MIN_HOLD_S, const.HOLD_BOOTS * rule.boot_s)
    last: tuple[float, int] | None = None
    targets = follow(rule, steps)
    for (_, before), (now, after) in zip(targets, targets[1:], strict=False):
        change = after.number - before.number
        if not change:
            continue
        if last is not None and last[1] * change < 0:
            assert now - last[0] >= hold_s
        last = now, change


@seed(3)
@configure
@given(
    strategies.floats(3.0, 12.0),
    strategies.integers(3, 12),
    strategies.lists(strategies.floats(-0.06, 0.06), min_size=1, max_size=12),
)
def check_steady(load: float, count: int, noise: list[float]) -> None:
    """Check that noise of 6 % moves the number up only, and then not."""
    rule = ScaleRule(1, 1000, 5.0)
    steps = [
        (10.0, (load * (1.0 + noise[n % len(noise)]),) * count)
        for n in range(120)
    ]
    numbers = [target.number for _, target in follow(rule, steps)]
    changes = [b - a for a, b in zip(numbers[24:], numbers[25:], strict=False)]
    assert not any(changes), numbers


@seed(4)
@configure
@given(REPORTS)
def check_rise(reports: tuple[float, ...]) -> None:
    """Check that a rise takes one decision."""
    rule = ScaleRule(0, 10_000, 5.0)
    demand = ZoneDemand(reports, SLOTS)
    target = decide_target(ZoneTarget(0), demand, rule, 0.0)
    assert target.number == count_needed(demand)
    others = sum(reports) - max(reports, default=0.0)
    assert target.number * SLOTS * const.TARGET_USE >= others - 1e-6


@seed(5)
@configure
@given(REPORTS, strategies.floats(0.0, 1e9))
def check_single_report(reports: tuple[float, ...], bad: float) -> None:
    """Check what one report adds to the others."""
    rule = ScaleRule(0, 10**9, 5.0)
    without = decide_target(
        ZoneTarget(0), ZoneDemand(reports, SLOTS), rule, 0.0
    )
    demand = ZoneDemand((*reports, bad), SLOTS)
    with_bad = decide_target(without, demand, rule, 1.0)
    needed = math.ceil(sum(reports) / (SLOTS * const.TARGET_USE))
    assert with_bad.number <= needed + 1, (without, with_bad)


@seed(6)
@configure
@given(strategies.integers(2, 60), REPORTS)
def check_fall(start: int, reports: tuple[float, ...]) -> None:
    """Check that numbers fall, but not below what is needed."""
    rule = ScaleRule(1, 1000, 5.0)
    demand = ZoneDemand(reports, SLOTS)
    target = ZoneTarget(start, Direction.UP, 0.0)
    for second in range(1, 900):
        before = target
        target = decide_target(target, demand, rule, float(second))
        assert before.number - target.number <= 1
    total = sum(reports)
    spare = (target.number - 1) * SLOTS * const.USE_AFTER_DECREASE
    assert target.number == 1 or spare < total
    assert target.number >= min(start, count_needed(demand))


PROPERTIES: dict[str, Check] = {
    "stays within the limits": check_limits,
    "is not turned back within the hold time": check_hold,
    "stands still under a steady demand with noise": check_steady,
    "rises at once to what several reports need": check_rise,
    "rises by one at most for a single report": check_single_report,
    "falls to what is needed in the end, one at a time": check_fall,
}
