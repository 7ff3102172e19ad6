"""Hooks of behave: scenarios share no state; a last line counts them."""

from behave.runner import Context
from support.scenario_counts import CountReporter


def before_all(context: Context) -> None:
    """Add the reporter that prints the counts."""
    context.config.reporters.append(CountReporter(context.config))
