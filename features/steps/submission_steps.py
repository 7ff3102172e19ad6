"""Steps on random submission scenarios; hypothesis draws the seeds."""

from behave.runner import Context
from behave import then
from behave import when
from support import guard_cases
from support.seed_checks import check_seeds
from support.submission_scenarios import run_scenario

DRAW_SEED = 20261205


@when("the submission scenario of seed {number:d} runs")
def run_pinned(context: Context, number: int) -> None:
    """Run one seed."""
    context.outcome = run_scenario(number)


@then("it violates no guarantee")
def check_pinned(context: Context) -> None:
    """Check the guarantees."""
    violations = context.outcome.find_violations()
    assert not violations, violations


@then("at least {count:d} results are listed")
def check_listed(context: Context, count: int) -> None:
    """Check that the scenario was not empty."""
    assert context.outcome.listed >= count, context.outcome.listed


@then("{count:d} random submission scenarios violate no guarantee")
def check_random(context: Context, count: int) -> None:
    """Check seeds that are the same on each run."""

    check_seeds(
        count, DRAW_SEED, lambda number: run_scenario(number).find_violations()
    )


@when("a guard is tested alone: {guard}")
def run_guard(context: Context, guard: str) -> None:
    """Run a case."""
    context.guard_held = guard_cases.run_case(guard)


@then("the guard holds")
def check_guard(context: Context) -> None:
    """Check that the guard held."""
    assert context.guard_held
