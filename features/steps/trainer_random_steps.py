"""Steps on random steps of trainers: hypothesis draws the seeds."""

from behave.runner import Context
from behave import then
from support.draws import check_seeds
from support.random_steps import find_broken
from support.random_steps import run_random_step

DRAW_SEED = 20261205
SAMPLES = 32


@then("{count:d} random steps keep every promise")
def check_random_steps(context: Context, count: int) -> None:
    """Check many seeds, drawn alike on each run."""

    check_seeds(
        count,
        DRAW_SEED,
        lambda number: find_broken(run_random_step(number), SAMPLES),
    )


@then("the random step of seed {number:d} keeps every promise")
def check_pinned_step(context: Context, number: int) -> None:
    """Check one seed."""
    broken = find_broken(run_random_step(number), SAMPLES)
    assert not broken, broken
