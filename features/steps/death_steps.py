"""Steps on calls while processes die, leave or stop."""

from behave.runner import Context
from behave import then
from behave import when
from support.deaths import find_last_dispatch
from support.deaths import run_load


@when("{kind} calls go on while {blow}")
def load_fleet(context: Context, kind: str, blow: str) -> None:
    """Send calls and strike in the middle."""
    context.kind = kind
    context.load = run_load(kind, blow, seed=11)


@then("no promise breaks")
def check_promises(context: Context) -> None:
    """Check what holds for every call."""
    repeatable = context.kind in ("lookup", "stream")
    broken = context.load.find_broken(repeatable)
    assert not broken, broken[:5]
    outcomes = context.load.count_outcomes()
    assert "none" not in outcomes, outcomes
    assert "missing" not in outcomes, outcomes


@then("at least {share:d} % are done")
def check_done(context: Context, share: int) -> None:
    """Check how many calls were answered whole."""
    outcomes = context.load.count_outcomes()
    total = len(context.load.answers)
    assert outcomes.get("done", 0) * 100 >= share * total, outcomes


@then("{name} gets no work after {seconds:g} s")
def check_last_dispatch(context: Context, name: str, seconds: float) -> None:
    """Check when an instance was last given work."""
    last = find_last_dispatch(context.load, name)
    since = last - context.load.struck_at
    assert since <= seconds, f"given work {since:.2f} s after"


@then("{name} gets work again {seconds:g} s later")
def check_work_again(context: Context, name: str, seconds: float) -> None:
    """Check that an instance was given work again."""
    last = find_last_dispatch(context.load, name)
    assert last > context.load.struck_at + seconds, last


@then("there are at most {most:d} retries")
def check_retries(context: Context, most: int) -> None:
    """Check that no retry storm broke out."""
    assert context.load.retries <= most, context.load.retries
