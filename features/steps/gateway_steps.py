"""Step definitions for scheduling decisions and small gateway fleets."""

from behave.runner import Context
from behave import then
from behave import when
from bench.pools import MWL_TBILISI
from bench.pools import run_day
from pistachiospar.submissions import dispatch
from pistachiospar.submissions import scheduling
from support import containment_cases
from support import gateway_cases
from support import policy_cases


@when("the policy decides the case: {pattern}")
def decide_case(context: Context, pattern: str) -> None:
    """Make the decision of a case."""
    decision, context.expected = policy_cases.CASES[pattern]
    context.found = decision()


@then("the decision is the expected one")
def check_decision(context: Context) -> None:
    """Compare with the case's expected decision."""
    assert context.found == context.expected, context.found


@when("three gateways run the case: {case}")
def run_fleet_case(context: Context, case: str) -> None:
    """Run a case in virtual time."""
    context.passed = gateway_cases.run_case(case)


@then("the case passes")
def check_passed(context: Context) -> None:
    """Check the case's own result."""
    assert context.passed


@when("the pool benchmark runs a day: {day}, {policy}")
def run_pool_day(context: Context, day: str, policy: str) -> None:
    """Run a short day of the smaller site."""
    context.day = run_day(MWL_TBILISI, day, policy)


@then("the steps earned at least {min_share:g} of their full worth")
def check_earned(context: Context, min_share: float) -> None:
    """Check the earned share, and that the day had work to do."""
    assert context.day.compute_earned_share() >= min_share, context.day.steps
    assert context.day.events > 1000, context.day.events
    assert any(counts.running for counts in context.day.group_counts)


@then("the product's own policy is in place again")
def check_restored(context: Context) -> None:
    """Check that the benchmark removed its patched policy."""
    assert dispatch.choose_moves is scheduling.choose_moves


@when("an unforeseen error hits one {served}")
def fail_one(context: Context, served: str) -> None:
    """Have one thing fail."""
    context.passed = containment_cases.run_case(served)


@then("it is counted, and the others are served")
def check_containment(context: Context) -> None:
    """Check that only what failed is lost."""
    assert context.passed
