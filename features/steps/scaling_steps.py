"""Step definitions for numbers of instances."""

from behave.runner import Context
from behave import when
from support import scaling_cases


@when("numbers of instances follow random demand: {case}")
def run_case(context: Context, case: str) -> None:
    """Check a property; raises AssertionError with an example."""
    scaling_cases.PROPERTIES[case]()
    context.violations = []
