"""Support behave: scenarios share nothing; a closing line counts them."""

from behave.runner import Context
from support.summary import CountReporter


def before_all(context: Context) -> None:
    """Add the closing line."""
    context.config.reporters.append(CountReporter(context.config))
