"""Checks over many seeds, which are the same in each run."""

from collections.abc import Callable

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies

MAX_SEED = 2**32


def check_seeds(
    count: int, draw_seed: int, find_violations: Callable[[int], list[str]]
) -> None:
    """Check `count` seeds drawn with `draw_seed`.

    Raise AssertionError with the violations of a failing seed.
    """

    @seed(draw_seed)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(strategies.integers(min_value=0, max_value=MAX_SEED))
    def check(number: int) -> None:
        violations = find_violations(number)
        assert not violations, violations

    check()
