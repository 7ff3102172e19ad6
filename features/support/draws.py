"""Support checks over many seeds, drawn alike on each run."""

from collections.abc import Callable

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies

MOST_SEED = 2**32


def check_seeds(
    count: int, draw_seed: int, find_broken: Callable[[int], list[str]]
) -> None:
    """Check so many seeds; raises AssertionError with what broke."""

    @seed(draw_seed)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(strategies.integers(min_value=0, max_value=MOST_SEED))
    def check(number: int) -> None:
        broken = find_broken(number)
        assert not broken, broken

    check()
