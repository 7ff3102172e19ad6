"""Step definitions for random interleavings of calls and faults."""

from behave.runner import Context
from behave import then
from behave import when
from support.interleavings import run_interleaving
from support.seed_checks import check_seeds

DRAW_SEED = 20261203


@when("the interleaving of seed {number:d} runs")
def run_known_seed(context: Context, number: int) -> None:
    """Run a seed that once failed."""
    context.interleaving = run_interleaving(number)


@then("the interleaving violates no guarantee")
def check_known_seed(context: Context) -> None:
    """Check a seed that once failed."""
    violations = context.interleaving.find_violations()
    assert not violations, violations


@then("{count:d} random interleavings violate no guarantee")
def check_random_seeds(context: Context, count: int) -> None:
    """Check many seeds; hypothesis draws the same ones in each run."""

    check_seeds(
        count,
        DRAW_SEED,
        lambda number: run_interleaving(number).find_violations(),
    )
