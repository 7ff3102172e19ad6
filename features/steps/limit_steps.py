"""Step definitions for instances that name a limit."""

from behave.runner import Context
from behave import then
from behave import when
from support import limit_cases


@when("instances name a limit: {case}")
def run_case(context: Context, case: str) -> None:
    """Run a case."""
    context.violations = limit_cases.CASES[case]()


@then("no bound is broken")
def check_violations(context: Context) -> None:
    """Check that the case found nothing."""
    assert not context.violations, context.violations
