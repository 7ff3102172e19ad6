"""Step definitions for the watch relay."""

from behave.runner import Context
from behave import then
from behave import when
from support.seed_checks import check_seeds
from support import watch_cases
from support import watch_scenarios

DRAW_SEED = 20261204


@when("the watch relay decides: {pattern}")
def decide(context: Context, pattern: str) -> None:
    """Make the decision of a pattern."""
    decision, context.expected = watch_cases.DECISIONS[pattern]
    context.found = decision()


@when("twenty gateways run the case: {case}")
def run_case(context: Context, case: str) -> None:
    """Run a case in virtual time."""
    context.passed = watch_cases.run_case(case)


@when("the watch scenario of seed {number:d} runs")
def run_seed(context: Context, number: int) -> None:
    """Run the scenario of a seed."""
    context.outcome = watch_scenarios.run_scenario(number)


@then("{count:d} random watch scenarios violate no guarantee")
def check_random(context: Context, count: int) -> None:
    """Check many seeds, the same ones in each run."""

    check_seeds(
        count,
        DRAW_SEED,
        lambda number: watch_scenarios.run_scenario(number).find_violations(),
    )
