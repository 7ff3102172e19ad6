"""Step definitions for open submissions whose route moves."""

from behave.runner import Context
from behave import then
from behave import when
from support import move_cases
from support import ownership_decisions


@when("a route moves under an open submission, seeds 1 to {last:d}: {case}")
def move_route(context: Context, last: int, case: str) -> None:
    """Run a case with each seed."""
    context.failed_seeds = [
        seed
        for seed in range(1, last + 1)
        if not move_cases.run_case(case, seed)
    ]


@then("each item is listed once, where the configuration sends it")
def check_moved(context: Context) -> None:
    """Check that no seed failed."""
    assert not context.failed_seeds, context.failed_seeds


@when(
    "the holder of {pool} at version {version:d} has the route to {route},"
    " the model at {serving}"
)
def describe_holder(
    context: Context, pool: str, version: int, route: str, serving: str
) -> None:
    """Store what a holder knows."""
    context.holder = (
        pool,
        version,
        "" if route == "none" else route,
        "" if serving == "none" else serving,
    )


@then("it decides, with owner {owner} and loaded {loaded}: {step}")
def check_step(context: Context, owner: str, loaded: str, step: str) -> None:
    """Compare the decision with the expected one."""
    name, version = owner.split("-")
    pool, at, route, serving = context.holder
    case = ownership_decisions.OwnerCase(
        pool, at, route, serving, name, int(version), loaded == "yes"
    )
    found = ownership_decisions.decide(case)
    assert found == step, found


@then("pools with the weights 3 and 1 get three and one of four submissions")
def check_split(context: Context) -> None:
    """Allow a twentieth of all more or less."""
    counts = ownership_decisions.count_pools({"a": 3.0, "b": 1.0}, "")
    total = sum(counts.values())
    assert abs(counts["a"] / total - 0.75) < 0.05, counts


@then("a submission stays with its pool when the weights change")
def check_stay(context: Context) -> None:
    """Check that the recorded pool keeps all."""
    counts = ownership_decisions.count_pools({"a": 1.0, "b": 9.0}, "a")
    assert counts["b"] == 0, counts


@then("the pool of a head without owner is the first that serves its model")
def check_earlier_build(context: Context) -> None:
    """Check the choice that earlier builds make."""
    assert ownership_decisions.choose_for_earlier_build("ab") == "a"
