"""Step definitions for streams and texts of two software versions."""

from behave.runner import Context
from behave import then
from behave import when
from support import origin_decisions
from support import stream_cases


@when("a fleet with streams runs the case: {case}")
def run_stream_case(context: Context, case: str) -> None:
    """Run a case of a small fleet in virtual time."""
    context.problems = stream_cases.run_case(case)


@then("every text is whole, in order and of one software version")
def check_texts(context: Context) -> None:
    """Check that the case found no problem."""
    assert not context.problems, context.problems


@when("the software version is decided for: {case}")
def run_decision(context: Context, case: str) -> None:
    """Run one decision of the table."""
    context.decided, context.expected = origin_decisions.run_decision(case)


@then("the decision on the version is right")
def check_decision(context: Context) -> None:
    """Compare the decision with the expected one."""
    assert context.decided == context.expected, context.decided
