"""Steps on single calls under faults."""

from behave.runner import Context
from behave import then
from behave import when
from support.calls import parse_faults
from support.calls import run_call


@when("a {kind} meets {faults}")
def meet_faults(context: Context, kind: str, faults: str) -> None:
    """Run a call that meets link faults."""
    context.result = run_call(kind, parse_faults(faults), seed=7)


@then("the caller is told {outcomes}")
def check_outcome(context: Context, outcomes: str) -> None:
    """Check the outcome against the allowed ones."""
    allowed = [part.strip() for part in outcomes.split(" or ")]
    outcome = context.result.answer.outcome
    assert outcome in allowed, f"{outcome} is not in {allowed}"


@then("it ran {low:d} to {high:d} times")
def check_runs(context: Context, low: int, high: int) -> None:
    """Check how often the upstream ran the call."""
    runs = context.result.runs
    assert low <= runs <= high, f"run {runs} times"


@then("the answer keeps every promise")
def check_promises(context: Context) -> None:
    """Check what holds whatever happened."""
    result = context.result
    outcome = result.answer.outcome
    assert result.answer.answers <= 1, "answered twice"
    if outcome == "done":
        assert result.is_whole(), f"not whole: {result.answer.body!r}"
    if outcome == "not-run":
        assert result.runs == 0, f"not-run, and run {result.runs} times"
        assert "retry-after" in result.answer.headers


@then("it is answered within {seconds:g} s")
def check_duration(context: Context, seconds: float) -> None:
    """Check the time, in virtual seconds."""
    assert context.result.took_s <= seconds, context.result.took_s
