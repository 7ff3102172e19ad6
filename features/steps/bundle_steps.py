"""Step definitions for bundles, operators and the key-value service."""

from behave.runner import Context
from behave import then
from behave import when
from support.bundle_races import rotate_partner_key
from support.bundle_races import run_race
from support.bundle_rollouts import measure_call_rates
from support.bundle_rollouts import run_rollout
from support.kv_contract import EXPECTED_RESULTS
from support.kv_contract import run_on_adapter
from support.kv_contract import run_on_fake
from support.kv_contract import run_on_platform
from support.kv_contract import watch_compacted_history
from support.seed_checks import check_seeds
import trio

DRAW_SEED = 20261204
FULL_SIZE_ENTRIES = 410


@when("{case_name} is run on the {service}")
def run_kv_case(context: Context, case_name: str, service: str) -> None:
    """Run a case of the key-value contract."""
    runs = {
        "fake": run_on_fake,
        "adapter": run_on_adapter,
        "platform": run_on_platform,
    }
    context.case_name = case_name
    context.result = runs[service](case_name)


@when("the platform's store compacts its history during a watch")
def compact_history(context: Context) -> None:
    """Watch from a revision that was compacted away."""
    context.result = trio.run(watch_compacted_history)


@then("the watch fails and a listing returns the current items")
def check_compacted(context: Context) -> None:
    """Check the watch's error and the listing after it."""
    assert context.result == [True, 1, True], context.result


@then("the result is as the contract requires")
def check_kv_case(context: Context) -> None:
    """Compare the result with the contract."""
    expected = EXPECTED_RESULTS[context.case_name]
    assert context.result == expected, f"{context.result} is not {expected}"


@then("{count:d} races of three operators violate no guarantee")
def check_races(context: Context, count: int) -> None:
    """Check many seeds; hypothesis draws the same ones in each run."""

    check_seeds(
        count,
        DRAW_SEED,
        lambda number: run_race(number).find_violations(),
    )


@when("a partner's key is rotated")
def rotate_key(context: Context) -> None:
    """Rotate one partner's key and roll with several sets of signatures."""
    context.result = rotate_partner_key()


@then("the outcomes are {text}")
def check_outcomes(context: Context, text: str) -> None:
    """Compare the outcomes."""
    expected = [part.strip() for part in text.split(",")]
    assert context.result == expected, context.result


@when("a bundle is rolled and {fault}")
def roll_under_fault(context: Context, fault: str) -> None:
    """Roll a bundle before or after a fault."""
    context.rollout = run_rollout(fault)


@then("it is in force everywhere within {seconds:g} s")
def check_in_force(context: Context, seconds: float) -> None:
    """Check the version at all processes and the virtual time it took."""
    rollout = context.rollout
    assert set(rollout.versions.values()) == {2}, rollout.versions
    assert rollout.took_s <= seconds, rollout.took_s


@then(
    "{entries:d} idle entries, scaled to full size, "
    "stay within the call budget"
)
def check_budget(context: Context, entries: int) -> None:
    """Check the reads and writes per second at full size."""
    calls = measure_call_rates(120.0, entries)
    reads = (calls["read"] + calls["watch"]) / entries * FULL_SIZE_ENTRIES
    writes = calls["write"] / entries * FULL_SIZE_ENTRIES
    assert reads <= 500, f"{reads:.0f} reads/s"
    assert writes <= 100, f"{writes:.0f} writes/s"
