"""Cases of the estimates of what calls cost."""

from collections.abc import Callable
from collections.abc import Iterable

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies
from pistachiospar.costs.const import HALF_LIFE_S
from pistachiospar.costs.models import CallClass
from pistachiospar.costs.models import classify_call
from pistachiospar.costs.table import CostTable

NOW = 100.0
SMALL = CallClass("u", "r", 5)
LARGE = CallClass("u", "r", 15)


def make_table(
    costs_s: Iterable[float],
    call: CallClass = SMALL,
    table: CostTable | None = None,
) -> CostTable:
    """Record costs at a moment each 10 ms, the last at `NOW`."""
    table = table or CostTable()
    found = list(costs_s)
    for number, cost_s in enumerate(found):
        at = NOW + 0.01 * (number + 1 - len(found))
        table.record(call, cost_s, at)
    return table


def estimate_s(
    table: CostTable, call: CallClass = SMALL, later_s: float = 0.0
) -> float:
    """Return the cost of a call, rounded to ms."""
    return round(table.estimate(call, NOW + later_s).typical_s, 3)


def estimate_of_two_classes(later_s: float) -> float:
    """Return the cost of a class that was seldom seen, some time later."""
    table = make_table([0.1] * 100)
    for _ in range(2):
        table.record(LARGE, 1.0, NOW)
    for number in range(100):
        table.record(SMALL, 0.1, NOW + later_s * number / 100)
    return estimate_s(table, LARGE, later_s)


def estimate_of_queued_calls() -> str:
    """Return estimates where all calls may have waited."""
    table = CostTable()
    found = []
    for duration_s in (0.9, 0.1, 2.0):
        table.record(SMALL, duration_s, NOW, is_upper_bound=True)
        found.append(estimate_s(table))
    return " ".join(map(str, found))


def count_averages() -> str:
    """Return how many averages are kept of many classes, and which."""
    table = CostTable(max_classes=10)
    for number in range(99):
        table.record(CallClass("u", "r", number), 0.1, NOW)
    newest = table.estimate(CallClass("u", "r", 98), NOW).age_s == 0.0
    return f"{len(table)} {newest}"


def find_age(call: CallClass) -> float | None:
    """Return the age of a class's estimate 3 s after it was seen."""
    return make_table([0.1]).estimate(call, NOW + 3.0).age_s


CASES: dict[str, tuple[Callable[[], object], object]] = {
    "an upstream that was never called": (
        lambda: estimate_s(CostTable()),
        0.02,
    ),
    "a class that was seen": (lambda: estimate_s(make_table([0.1])), 0.1),
    "a new class of a known route": (
        lambda: estimate_s(make_table([0.1] * 9), LARGE),
        0.1,
    ),
    "a new route of a known upstream": (
        lambda: estimate_s(make_table([0.1] * 9), CallClass("u", "s")),
        0.1,
    ),
    "another upstream": (
        lambda: estimate_s(make_table([0.1] * 9), CallClass("v", "r")),
        0.02,
    ),
    "two classes of a route": (
        lambda: (
            estimate_s(make_table([1.0] * 99, LARGE, make_table([0.1] * 99)))
            < 0.2
        ),
        True,
    ),
    "a class of two calls is between them and its route": (
        lambda: 0.2 < estimate_of_two_classes(0.0) < 0.5,
        True,
    ),
    "a class that wasn't seen for long is near its route again": (
        lambda: estimate_of_two_classes(10 * HALF_LIFE_S) < 0.105,
        True,
    ),
    "a single class keeps its estimate": (
        lambda: estimate_s(make_table([0.1] * 9), later_s=99 * HALF_LIFE_S),
        0.1,
    ),
    "calls that may have waited": (
        estimate_of_queued_calls,
        "0.9 0.482 0.482",
    ),
    "many classes": (count_averages, "10 True"),
    "the age of a class": (lambda: find_age(SMALL), 3.0),
    "the age of what a new class starts from": (lambda: find_age(LARGE), 3.0),
    "the age of nothing": (lambda: find_age(CallClass("v", "r")), None),
    "bodies of 1,000 and 1,023 bytes": (
        lambda: (
            classify_call("u", "r", 1000, 9)
            == classify_call("u", "r", 1023, 15)
        ),
        True,
    ),
}

_costs = strategies.floats(min_value=0.002, max_value=5.0)
_noise = strategies.lists(
    strategies.floats(min_value=0.8, max_value=1.25), min_size=60, max_size=60
)


def check_heavy_tail(cost_s: float, noise: list[float]) -> None:
    """Every twelfth call takes forty times as long, two in a row at the end.

    Guards against a mean: it would be four times the typical cost.
    """
    costs_s = [
        cost_s * factor * (40.0 if number % 12 == 5 or number > 57 else 1.0)
        for number, factor in enumerate(noise)
    ]
    found = make_table(costs_s).estimate(SMALL, NOW).typical_s
    assert cost_s / 1.5 < found < cost_s * 2.0, (cost_s, found)


def check_change(cost_s: float, noise: list[float]) -> None:
    """A release makes all calls six times as long, or as short."""
    for change in (6.0, 1 / 6):
        table = make_table([cost_s * factor for factor in noise])
        make_table([cost_s * change * f for f in noise], table=table)
        found = table.estimate(SMALL, NOW).typical_s / (cost_s * change)
        assert 0.6 < found < 1.6, (cost_s, change, found)


def check_ageing(cost_s: float, noise: list[float]) -> None:
    """After a pause, the first calls count more than those before it."""
    table = make_table([cost_s * factor for factor in noise])
    at = NOW + 10 * HALF_LIFE_S
    for factor in noise[:8]:
        table.record(SMALL, cost_s * 1.6 * factor, at)
    found = table.estimate(SMALL, at).typical_s / (cost_s * 1.6)
    assert 0.75 < found < 1.3, (cost_s, found)


def check_new_class(cost_s: float, noise: list[float]) -> None:
    """A new class has its route's estimate, and its own after ten calls."""
    table = make_table([cost_s * factor for factor in noise])
    usual = table.estimate(SMALL, NOW).typical_s
    assert abs(table.estimate(LARGE, NOW).typical_s / usual - 1.0) < 0.01
    make_table([cost_s * 8.0 * f for f in noise[:10]], LARGE, table)
    found = table.estimate(LARGE, NOW).typical_s / (cost_s * 8.0)
    assert 0.6 < found < 1.4, (cost_s, found)


PROPERTIES = {
    "a heavy tail": check_heavy_tail,
    "a change of cost": check_change,
    "ageing": check_ageing,
    "a new class": check_new_class,
}


def check_property(name: str, count: int) -> None:
    """Check a property with the same costs in each run."""
    check = given(cost_s=_costs, noise=_noise)(PROPERTIES[name])
    seed(4)(
        settings(max_examples=count, deadline=None, database=None)(check)
    )()
