"""Steps on random tales of submissions: hypothesis draws the seeds."""

from behave.runner import Context
from behave import then
from behave import when
from support.draws import check_seeds
from support import guard_cases
from support.submission_stories import run_tale

DRAW_SEED = 20261205


@when("the tale of seed {number:d} runs")
def run_pinned(context: Context, number: int) -> None:
    """Run one seed."""
    context.tale = run_tale(number)


@then("the tale keeps every promise")
def check_pinned(context: Context) -> None:
    """Check one seed."""
    broken = context.tale.find_broken()
    assert not broken, broken


@then("the tale lists at least {count:d} results")
def check_listed(context: Context, count: int) -> None:
    """Check that the tale is no empty one."""
    assert context.tale.listed >= count, context.tale.listed


@then("{count:d} random tales keep every promise")
def check_random(context: Context, count: int) -> None:
    """Check many seeds, drawn alike on each run."""

    check_seeds(
        count, DRAW_SEED, lambda number: run_tale(number).find_broken()
    )


@when("a guard is tried alone: {guard}")
def try_guard(context: Context, guard: str) -> None:
    """Run a case."""
    context.kept = guard_cases.run_case(guard)


@then("the guard holds")
def check_guard(context: Context) -> None:
    """Check that the guard held."""
    assert context.kept
