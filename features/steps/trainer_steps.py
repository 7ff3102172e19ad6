"""Steps on trainers' steps."""

from behave.runner import Context
from behave import then
from behave import when
from support.steps_of_trainers import GROUPS
from support.steps_of_trainers import run_step_case
from support.steps_of_trainers import SAMPLES


@when("a step runs and {blow}, struck after {seconds:g} s")
def run_struck(context: Context, blow: str, seconds: float) -> None:
    """Run a step that is struck."""
    context.case = run_step_case(blow, seed=5, strike_after_s=seconds)


@when("a step runs, {share:d} % of the answers are lost, and {blow}")
def run_losing(context: Context, share: int, blow: str) -> None:
    """Run a step whose pulls lose answers."""
    context.case = run_step_case(blow, seed=6, lose_pulls=share / 100)


@then("the step is whole and each sample came once")
def check_whole(context: Context) -> None:
    """Check that nothing was lost or doubled."""
    case = context.case
    assert case.complete
    names = {(s.group, s.index) for s in case.record.samples}
    assert len(names) == GROUPS * SAMPLES, len(names)
    assert case.record.count_doubled() == 0, case.record.count_doubled()


@then("every label is true and no sample is older than the bound")
def check_labels(context: Context) -> None:
    """Check labels against the tokens, and the lag at delivery."""
    record = context.case.record
    assert record.count_mislabelled() == 0, record.count_mislabelled()
    assert max(record.lags) <= 1, record.lags


@then("it took at most {seconds:g} s")
def check_took(context: Context, seconds: float) -> None:
    """Check the duration, in virtual seconds."""
    assert context.case.took_s <= seconds, context.case.took_s
