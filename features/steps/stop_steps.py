"""Step definitions for planned stops of gateway processes."""

from behave.runner import Context
from behave import then
from behave import when
from support import stop_cases


@when("gateway processes are called while {case}")
def run_stop(context: Context, case: str) -> None:
    """Stop gateways under calls."""
    context.stop = stop_cases.run_case(case)


@then("no call that was read is left without an answer")
def check_stop(context: Context) -> None:
    """Check what callers and samplers saw, and that both saw something."""
    answered = [a for a in context.stop.attempts if a.status == 200]
    assert not context.stop.problems, "\n".join(context.stop.problems)
    assert len(answered) > 50, len(answered)
