"""Step definitions for the costs of calls and the choice by them."""

from behave.runner import Context
from behave import then
from behave import when
from support import choice_comparison
from support import cost_cases


@when("the cost is estimated of {case}")
def estimate_cost(context: Context, case: str) -> None:
    """Make the estimate of a case."""
    estimate, context.expected = cost_cases.CASES[case]
    context.found = estimate()


@then("the estimate is the expected one")
def check_estimate(context: Context) -> None:
    """Compare with the case's expected estimate."""
    assert context.found == context.expected, context.found


@then("{count:d} series of costs with {name} are estimated well")
def check_property(context: Context, count: int, name: str) -> None:
    """Check many series of costs."""
    cost_cases.check_property(name, count)


@when("old and new choice are compared at {usage:d} % of what there is")
def compare_choices(context: Context, usage: int) -> None:
    """Run both choices with the same calls."""
    context.figures = choice_comparison.compare(usage / 100.0)


@then("the new one's {figure} is at most {percent:d} % of the old one's")
def check_figure(context: Context, figure: str, percent: int) -> None:
    """Compare a figure of both choices."""
    position = ("mean", "p99", "connections").index(figure)
    old, new = (figures[position] for figures in context.figures)
    assert new <= old * percent / 100.0, (figure, old, new)
