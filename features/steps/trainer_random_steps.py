"""Steps on random steps of trainers: hypothesis draws the seeds."""

from behave.runner import Context
from behave import then
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies
from support.random_steps import find_broken
from support.random_steps import run_random_step

DRAW_SEED = 20261205
SAMPLES = 32


@then("{count:d} random steps keep every promise")
def check_random_steps(context: Context, count: int) -> None:
    """Check many seeds, drawn alike on each run."""

    @seed(DRAW_SEED)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(strategies.integers(min_value=0, max_value=2**32))
    def check(number: int) -> None:
        broken = find_broken(run_random_step(number), SAMPLES)
        assert not broken, broken

    check()


@then("the random step of seed {number:d} keeps every promise")
def check_pinned_step(context: Context, number: int) -> None:
    """Check one seed."""
    broken = find_broken(run_random_step(number), SAMPLES)
    assert not broken, broken
