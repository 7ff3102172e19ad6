"""Step definitions for random submission scenarios and guards."""

from behave.runner import Context
from behave import then
from behave import when
from support import commit_cases
from support import guard_cases
from support import outcome_cases
from support.seed_checks import check_seeds
from support import slow_readers
from support.submission_faults import MOVE_FAULTS
from support.submission_faults import STOP_FAULTS
from support.submission_scenarios import run_scenario

DRAW_SEED = 20261205


@when("the submission scenario of seed {number:d} runs")
def run_seed(context: Context, number: int) -> None:
    """Run the scenario of a seed."""
    context.outcome = run_scenario(number)


@then("it violates no guarantee")
def check_seed(context: Context) -> None:
    """Check the guarantees of a seed."""
    violations = context.outcome.find_violations()
    assert not violations, violations


@then("at least {count:d} results are committed")
def check_committed(context: Context, count: int) -> None:
    """Check that the scenario was not empty."""
    assert context.outcome.committed_count >= count, (
        context.outcome.committed_count
    )


@then("{count:d} random submission scenarios violate no guarantee")
def check_random(context: Context, count: int) -> None:
    """Check many seeds; hypothesis draws the same ones in each run."""

    check_seeds(
        count, DRAW_SEED, lambda number: run_scenario(number).find_violations()
    )


@then("{count:d} random scenarios of stopping holders violate no guarantee")
def check_stops(context: Context, count: int) -> None:
    """Check many seeds of holders that stop while commits are under way."""
    check_seeds(
        count,
        DRAW_SEED,
        lambda number: run_scenario(number, STOP_FAULTS).find_violations(),
    )


@then("{count:d} random scenarios of moving routes violate no guarantee")
def check_moves(context: Context, count: int) -> None:
    """Check many seeds of routes that move between two pools."""
    check_seeds(
        count,
        DRAW_SEED,
        lambda number: run_scenario(
            number, MOVE_FAULTS, other_samplers=2
        ).find_violations(),
    )


@when("a guard is tested alone: {guard}")
def run_guard(context: Context, guard: str) -> None:
    """Run the case of a guard."""
    context.guard_held = guard_cases.run_case(guard)


@when("results are committed while {case}")
def run_commits(context: Context, case: str) -> None:
    """Run a case of overlapping commits."""
    context.commits_hold = commit_cases.run_case(case)


@then("each result is stored once, in one order")
def check_commits(context: Context) -> None:
    """Check what is stored against what the holder knows."""
    assert context.commits_hold


@then("the guard holds")
def check_guard(context: Context) -> None:
    """Check that the guard held."""
    assert context.guard_held


@when("{count:d} callers read nothing of a step, from {positions:d} positions")
def block_readers(context: Context, count: int, positions: int) -> None:
    """Let a gateway hold at most ten pages."""
    limit = 10 * slow_readers.PAGE_BYTES + 10_000
    context.costs = slow_readers.block_readers(count, positions, limit)


@then("{pages:d} pages are held and {refused:d} callers are refused")
def check_pages(context: Context, pages: int, refused: int) -> None:
    """Check the pages and that nothing else grows with the callers."""
    grown, held, found = context.costs
    page_bytes = slow_readers.PAGE_BYTES
    assert round(held / page_bytes) == pages, held
    assert found == refused, found
    assert grown < pages * page_bytes + 50 * 200_000, grown


@when("a submission is stored, the store's replies {store}, peers' {peers}")
def store_submission(context: Context, store: str, peers: str) -> None:
    """Store a submission through scripted replies."""
    context.outcome = outcome_cases.store_submission(store, peers)


@then("the outcome is {outcome}")
def check_outcome(context: Context, outcome: str) -> None:
    """Compare what is known of the submission."""
    assert context.outcome == outcome, context.outcome
