"""Steps on a short soak of real processes."""

from behave.runner import Context
from behave import then
from behave import when
from bench.soak import run_soak


@when("gateways are soaked for {seconds:g} s with seed {seed:d}")
def soak_shortly(context: Context, seconds: float, seed: int) -> None:
    """Run one seed."""
    context.tale = run_soak(seed, seconds)


@then("what callers and instances saw keeps every promise")
def check_soak(context: Context) -> None:
    """Check the promises, and that the soak was no empty one."""
    assert not context.tale.violations, context.tale.find_violations()
    assert context.tale.listed > 0
