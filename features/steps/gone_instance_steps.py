"""Steps on a keyed retry after its instance left the list."""

from behave.runner import Context
from behave import then
from behave import when
from support.gone_instances import retry_after_loss


@when("a keyed record is retried after its instance went")
def retry(context: Context) -> None:
    """Retry through an entry that saw the instance go."""
    context.runs = retry_after_loss(restart_entry=False)


@when("a keyed record is retried by an entry younger than the loss")
def retry_young(context: Context) -> None:
    """Retry through an entry that never saw the instance."""
    context.runs = retry_after_loss(restart_entry=True)


@then("the record ran once")
def check_once(context: Context) -> None:
    """Check the runs."""
    assert context.runs == 1, f"ran {context.runs} times"
