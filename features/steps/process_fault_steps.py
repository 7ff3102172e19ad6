"""Step definitions for calls while a process fails, leaves or stops."""

from behave.runner import Context
from behave import then
from behave import when
from support.process_faults import find_last_dispatch
from support.process_faults import run_load


@when("{kind} calls go on while {fault}")
def load_fleet(context: Context, kind: str, fault: str) -> None:
    """Send calls and inject a fault halfway."""
    context.kind = kind
    context.load = run_load(kind, fault, seed=11)


@then("no guarantee is violated")
def check_guarantees(context: Context) -> None:
    """Check the guarantees and outcomes of all calls."""
    repeatable = context.kind in ("lookup", "stream")
    violations = context.load.find_violations(repeatable)
    assert not violations, violations[:5]
    outcomes = context.load.count_outcomes()
    assert "none" not in outcomes, outcomes
    assert "missing" not in outcomes, outcomes


@then("at least {share:d} % are done")
def check_done(context: Context, share: int) -> None:
    """Check the share of calls with a complete response."""
    outcomes = context.load.count_outcomes()
    total = len(context.load.responses)
    assert outcomes.get("done", 0) * 100 >= share * total, outcomes


@then("{name} gets no work after {seconds:g} s")
def check_last_dispatch(context: Context, name: str, seconds: float) -> None:
    """Check when an instance last got work after the fault."""
    last = find_last_dispatch(context.load, name)
    since = last - context.load.fault_at
    assert since <= seconds, f"got work {since:.2f} s after the fault"


@then("{name} gets work again {seconds:g} s later")
def check_work_again(context: Context, name: str, seconds: float) -> None:
    """Check that an instance got work again after the fault."""
    last = find_last_dispatch(context.load, name)
    assert last > context.load.fault_at + seconds, last


@then("there are at most {max_retries:d} retries")
def check_retries(context: Context, max_retries: int) -> None:
    """Check that the fault caused no retry storm."""
    assert context.load.retries <= max_retries, context.load.retries
