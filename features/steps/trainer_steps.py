"""Step definitions for trainers' steps under faults."""

from behave.runner import Context
from behave import then
from behave import when
from support.step_cases import GROUP_COUNT
from support.step_cases import run_step_case
from support.step_cases import SAMPLES_PER_GROUP


@when("a step runs and {fault}, injected after {seconds:g} s")
def run_with_fault(context: Context, fault: str, seconds: float) -> None:
    """Run a step with a fault."""
    context.case = run_step_case(fault, seed=5, fault_after_s=seconds)


@when("a step runs, {share:d} % of the responses are lost, and {fault}")
def run_with_losses(context: Context, share: int, fault: str) -> None:
    """Run a step whose pulls lose responses."""
    context.case = run_step_case(fault, seed=6, loss_share=share / 100)


@then("the step is complete and each sample was delivered once")
def check_complete(context: Context) -> None:
    """Check that no sample is missing or duplicated."""
    case = context.case
    assert case.complete
    names = {(s.group, s.index) for s in case.record.samples}
    assert len(names) == GROUP_COUNT * SAMPLES_PER_GROUP, len(names)
    assert case.record.count_duplicates() == 0, case.record.count_duplicates()


@then("all labels are correct and no sample exceeds the staleness bound")
def check_labels(context: Context) -> None:
    """Check labels against the tokens, and the version lag at delivery."""
    record = context.case.record
    assert record.count_mislabelled() == 0, record.count_mislabelled()
    assert max(record.lags) <= 1, record.lags


@then("it took at most {seconds:g} s")
def check_duration(context: Context, seconds: float) -> None:
    """Check the duration, in virtual seconds."""
    assert context.case.took_s <= seconds, context.case.took_s
