"""Step definitions for trainers' steps under faults drawn by seed."""

from behave.runner import Context
from behave import then
from support.random_step_cases import find_violations
from support.random_step_cases import run_random_step
from support.seed_checks import check_seeds

DRAW_SEED = 20261205
SAMPLE_COUNT = 32


@then("{count:d} random steps violate no guarantee")
def check_random_steps(context: Context, count: int) -> None:
    """Check many seeds; hypothesis draws the same ones in each run."""

    check_seeds(
        count,
        DRAW_SEED,
        lambda number: find_violations(run_random_step(number), SAMPLE_COUNT),
    )


@then("the random step of seed {number:d} violates no guarantee")
def check_known_seed(context: Context, number: int) -> None:
    """Check a seed that once failed."""
    violations = find_violations(run_random_step(number), SAMPLE_COUNT)
    assert not violations, violations
