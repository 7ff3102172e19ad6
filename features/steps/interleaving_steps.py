"""Steps on random interleavings: hypothesis draws the seeds."""

from behave.runner import Context
from behave import then
from behave import when
from support.draws import check_seeds
from support.interleavings import run_interleaving

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

    check_seeds(
        count,
        DRAW_SEED,
        lambda number: run_interleaving(number).find_broken(),
    )
