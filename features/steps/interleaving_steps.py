"""Steps on random interleavings: hypothesis draws the seeds."""

from behave.runner import Context
from behave import then
from behave import when
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies
from support.interleavings import run_interleaving

MOST_SEED = 2**32
DRAW_SEED = 20261203


@when("the interleaving of seed {number:d} runs")
def run_pinned(context: Context, number: int) -> None:
    """Run one seed."""
    context.interleaving = run_interleaving(number)


@then("the interleaving keeps every promise")
def check_pinned(context: Context) -> None:
    """Check one seed."""
    broken = context.interleaving.find_broken()
    assert not broken, broken


@then("{count:d} random interleavings keep every promise")
def check_random(context: Context, count: int) -> None:
    """Check many seeds, drawn alike on each run."""

    @seed(DRAW_SEED)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(strategies.integers(min_value=0, max_value=MOST_SEED))
    def check(number: int) -> None:
        broken = run_interleaving(number).find_broken()
        assert not broken, broken

    check()
