"""Step definitions for organisations and their keys."""

from behave.runner import Context
from behave import then
from behave import when
from support import organisation_cases
from support import organisation_decisions


@when("a gateway decides on organisations: {decision}")
def decide(context: Context, decision: str) -> None:
    """Make a decision."""
    decide_case, context.expected = organisation_decisions.CASES[decision]
    context.found = decide_case()


@then("the decision on organisations is as expected")
def check_decision(context: Context) -> None:
    """Compare the decision."""
    assert context.found == context.expected, context.found


@when("organisations call gateways: {case}")
def run_case(context: Context, case: str) -> None:
    """Run a case."""
    context.violations = organisation_cases.run_case(case)


@then("nothing about organisations is wrong")
def check_violations(context: Context) -> None:
    """Check that the case found nothing."""
    assert not context.violations, context.violations
