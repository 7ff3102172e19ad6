"""Steps on decisions under load and on small fleets of gateways."""

from behave.runner import Context
from behave import then
from behave import when
from support import gateway_cases
from support import policy_cases


@when("it is decided for {pattern}")
def decide(context: Context, pattern: str) -> None:
    """Decide for a pattern of load."""
    decision, context.expected = policy_cases.CASES[pattern]
    context.found = decision()


@then("the decision is the expected one")
def check_decision(context: Context) -> None:
    """Compare."""
    assert context.found == context.expected, context.found


@when("three gateways meet this: {case}")
def meet(context: Context, case: str) -> None:
    """Run a case."""
    context.kept = gateway_cases.run_case(case)


@then("they keep to it")
def check_kept(context: Context) -> None:
    """Check that the case ended as it must."""
    assert context.kept
