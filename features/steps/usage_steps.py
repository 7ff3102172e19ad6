"""Step definitions for usage reports."""

from behave.runner import Context
from behave import then
from behave import when
from support import duty_cases
from support.seed_checks import check_seeds
from support import usage_calls
from support import usage_cases
from support.usage_scenarios import run_usage


@when("gateways report usage under faults of {count:d} seeds, {fences}")
def run_faults(context: Context, count: int, fences: str) -> None:
    """Run random faults."""
    require_fence = fences == "fences are checked"
    check_seeds(count, 353445120, lambda seed: run_usage(seed, require_fence))
    context.violations = []


@when("an organisation makes calls: {case}")
def make_calls(context: Context, case: str) -> None:
    """Make the calls of a case."""
    context.counted = usage_calls.run_case(case)


@then("{number:d} calls are counted")
def check_counted(context: Context, number: int) -> None:
    """Check the number of calls that all gateways counted."""
    assert context.counted == number, context.counted


@when("a holder of a duty decides on a call: {case}")
def decide_call(context: Context, case: str) -> None:
    """Decide on a call."""
    context.reason = duty_cases.GUARD_CASES[case]()


@then('its reason is "{reason}"')
def check_reason(context: Context, reason: str) -> None:
    """Check why the call isn't made."""
    assert context.reason == reason, context.reason


@then('its reason is ""')
def check_no_reason(context: Context) -> None:
    """Check that the call may be made."""
    assert not context.reason, context.reason


@when("counts of gateways are merged in random orders")
def merge_counts(context: Context) -> None:
    """Merge counts."""
    context.violations = usage_cases.find_merge_violations()


@when("a count arrives after its window was fixed")
def merge_late(context: Context) -> None:
    """Merge a late count."""
    context.violations = usage_cases.find_late_violations()


@when("the time of day steps by some seconds for a while")
def step_clock(context: Context) -> None:
    """Step the time of day."""
    context.violations = usage_cases.find_clock_violations()


@when("the interface responds to a duty call with status {status:d}")
def call_interface(context: Context, status: int) -> None:
    """Call a stand-in of the interface."""
    context.outcome, context.requests = duty_cases.call_interface(status)


@then('the call\'s outcome is "{outcome}" and its request is complete')
def check_outcome(context: Context, outcome: str) -> None:
    """Check the outcome and what was sent."""
    assert context.outcome == outcome, context.outcome
    assert context.requests == duty_cases.EXPECTED_REQUESTS, context.requests


@when("settings of duties are read: {settings}")
def read_settings(context: Context, settings: str) -> None:
    """Read settings."""
    context.result = duty_cases.read_duty_settings(settings)


@then('their result is "{result}"')
def check_settings(context: Context, result: str) -> None:
    """Check what was read."""
    assert context.result == result, context.result


@when("gateways run without duties in their settings")
def run_without(context: Context) -> None:
    """Run gateways without duties."""
    context.violations = usage_calls.find_idle_violations()
