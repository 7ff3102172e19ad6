"""Step definitions for a short soak test of gateway processes."""

from behave.runner import Context
from behave import then
from behave import when
from bench.soak import run_soak
from support import soak_cases


@when("gateways are soaked for {seconds:g} s with seed {seed:d}")
def run_short_soak(context: Context, seconds: float, seed: int) -> None:
    """Run one seed under faults for the given time."""
    context.run_result = run_soak(seed, seconds)


@when("gateways are soaked in series for {seconds:g} s with seed {seed:d}")
def run_series(context: Context, seconds: float, seed: int) -> None:
    """Run one seed whose faults overlap, with kept connections."""
    context.run_result = run_soak(seed, seconds, series=True)


@then("what callers and instances saw violates no guarantee")
def check_soak(context: Context) -> None:
    """Check the guarantees, and that some results were committed."""
    assert not context.run_result.violations, (
        context.run_result.find_violations()
    )
    assert context.run_result.committed_count > 0


@when("a soak is killed while its gateways run")
def kill_soak(context: Context) -> None:
    """Kill a soak's own process with SIGKILL."""
    context.survivors = soak_cases.find_survivors()


@then("they have ended within 2 s")
def check_survivors(context: Context) -> None:
    """Check that no gateway of the soak still runs."""
    assert not context.survivors, context.survivors
