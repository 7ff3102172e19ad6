"""Step definitions for instances that announce that they are leaving."""

from behave.runner import Context
from behave import then
from behave import when
from support import leaving_cases


@when("{path} are made, with contact {contact} and the instance {listed}")
def run_path(context: Context, path: str, contact: str, listed: str) -> None:
    """Run one row of the table of paths."""
    context.held = leaving_cases.run_path_case(path, contact, listed)


@when("{path} are made after it registered again: {lifetime}")
def run_lifetime(context: Context, path: str, lifetime: str) -> None:
    """Run one row of the table of lifetimes."""
    context.held = leaving_cases.run_lifetime_case(path, lifetime)


@when("an instance announces that it leaves: {case}")
def run_case(context: Context, case: str) -> None:
    """Run a single case."""
    context.held = leaving_cases.run_fleet(leaving_cases.CASES[case])


@then("nothing new reaches the leaving instance")
def check_held(context: Context) -> None:
    """Check the outcome of the case."""
    assert context.held
