"""Hooks of behave; scenarios share no state."""

from behave.runner import Context
from support.summary import CountReporter


def before_all(context: Context) -> None:
    """Print the number of scenarios after the run."""
    context.config.reporters.append(CountReporter(context.config))
