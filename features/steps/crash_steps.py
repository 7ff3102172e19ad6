"""Step definitions for requests that crash instances."""

from behave.runner import Context
from behave import then
from behave import when
from support import crash_cases


@when("a request crashes the instances that run it: {case}")
def run_case(context: Context, case: str) -> None:
    """Run a case."""
    context.violations = crash_cases.run_case(case)


@then("it is sent no more than allowed")
def check_violations(context: Context) -> None:
    """Check that the case found nothing."""
    assert not context.violations, context.violations
