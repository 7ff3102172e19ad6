"""Step definitions for single calls under link faults."""

from behave.runner import Context
from behave import then
from behave import when
from support.calls import parse_link_faults
from support.calls import run_call_case


@when("a {kind} is sent over a link with faults {faults}")
def call_with_faults(context: Context, kind: str, faults: str) -> None:
    """Run a call under link faults."""
    context.result = run_call_case(kind, parse_link_faults(faults), seed=7)


@then("its outcome is {outcomes}")
def check_outcome(context: Context, outcomes: str) -> None:
    """Check the outcome against the allowed ones."""
    allowed = [part.strip() for part in outcomes.split(" or ")]
    outcome = context.result.response.outcome
    assert outcome in allowed, f"{outcome} is not in {allowed}"


@then("it ran {low:d} to {high:d} times")
def check_runs(context: Context, low: int, high: int) -> None:
    """Check how often the upstream ran the call."""
    runs = context.result.runs
    assert low <= runs <= high, f"ran {runs} times"


@then("the response violates no guarantee")
def check_guarantees(context: Context) -> None:
    """Check what must hold under any fault."""
    result = context.result
    outcome = result.response.outcome
    assert result.response.responses_started <= 1, "more than one response"
    if outcome == "done":
        assert result.is_complete(), f"incomplete: {result.response.body!r}"
    if outcome == "not-run":
        assert result.runs == 0, f"not-run, but ran {result.runs} times"
        assert "retry-after" in result.response.headers


@then("its response arrives within {seconds:g} s")
def check_duration(context: Context, seconds: float) -> None:
    """Check the time, in virtual seconds."""
    assert context.result.took_s <= seconds, context.result.took_s
