"""Steps on bundles, operators and the key-value service."""

from behave.runner import Context
from behave import then
from behave import when
from support.draws import check_seeds
from support.kv_contract import EXPECTED
from support.kv_contract import find_compaction
from support.kv_contract import run_on_adapter
from support.kv_contract import run_on_fake
from support.kv_contract import run_on_platform
from support.races import rotate_keys_case
from support.races import run_race
from support.rollouts import count_calls
from support.rollouts import run_rollout
import trio

DRAW_SEED = 20261204
FULL_ENTRIES = 410


@when("{row} is tried on the {service}")
def try_row(context: Context, row: str, service: str) -> None:
    """Run a row of the contract."""
    runs = {
        "fake": run_on_fake,
        "adapter": run_on_adapter,
        "platform": run_on_platform,
    }
    context.row = row
    context.found = runs[service](row)


@when("the platform's store drops its history under a watch")
def drop_history(context: Context) -> None:
    """Watch from a revision that is gone."""
    context.found = trio.run(find_compaction)


@then("the watch fails and a listing tells what is there")
def check_dropped(context: Context) -> None:
    """Check that nothing is missed."""
    assert context.found == [True, 1, True], context.found


@then("it does what the contract says")
def check_row(context: Context) -> None:
    """Compare with the contract."""
    expected = EXPECTED[context.row]
    assert context.found == expected, f"{context.found} is not {expected}"


@then("{count:d} races of three operators keep every promise")
def check_races(context: Context, count: int) -> None:
    """Check many seeds, drawn alike on each run."""

    check_seeds(
        count,
        DRAW_SEED,
        lambda number: run_race(number).find_broken(),
    )


@when("a partner's key is rotated")
def rotate(context: Context) -> None:
    """Rotate a key."""
    context.found = rotate_keys_case()


@then("the steps end with {text}")
def check_steps(context: Context, text: str) -> None:
    """Compare the outcomes."""
    expected = [part.strip() for part in text.split(",")]
    assert context.found == expected, context.found


@when("a bundle is rolled and {blow}")
def roll_around(context: Context, blow: str) -> None:
    """Roll a bundle around a blow."""
    context.rollout = run_rollout(blow)


@then("it is in force everywhere within {seconds:g} s")
def check_in_force(context: Context, seconds: float) -> None:
    """Check the version and the time, in virtual seconds."""
    rollout = context.rollout
    assert set(rollout.versions.values()) == {2}, rollout.versions
    assert rollout.took_s <= seconds, rollout.took_s


@then("{entries:d} idle entries stay within the budget at full size")
def check_budget(context: Context, entries: int) -> None:
    """Check reads and writes a second, scaled to the full size."""
    calls = count_calls(120.0, entries)
    reads = (calls["read"] + calls["watch"]) / entries * FULL_ENTRIES
    writes = calls["write"] / entries * FULL_ENTRIES
    assert reads <= 500, f"{reads:.0f} reads/s"
    assert writes <= 100, f"{writes:.0f} writes/s"
