"""Steps on decisions under load and on small fleets of gateways."""

from behave.runner import Context
from behave import then
from behave import when
from bench.pools import MWL_TBILISI
from bench.pools import play_day
from pistachiospar.submissions import dispatch
from pistachiospar.submissions import scheduling
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


@when("a day of a pool is played: {day}, {policy}")
def play(context: Context, day: str, policy: str) -> None:
    """Play a short day."""
    context.day = play_day(MWL_TBILISI, day, policy)


@then("its groups earned at least {least:g} of what they owed")
def check_earned(context: Context, least: float) -> None:
    """Check the share, and that it was no empty day."""
    assert context.day.find_share() >= least, context.day.steps
    assert context.day.events > 1000, context.day.events
    assert any(moment.running for moment in context.day.moments)


@then("its decisions are the product's own again")
def check_restored(context: Context) -> None:
    """Check that no plain policy stayed in place."""
    assert dispatch.choose_moves is scheduling.choose_moves
