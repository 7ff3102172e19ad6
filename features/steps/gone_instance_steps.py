"""Step definitions for a keyed retry after its instance left the list."""

from behave.runner import Context
from behave import then
from behave import when
from support.gone_instances import retry_after_loss


@when("a keyed record is retried after its instance left")
def retry_through_informed_entry(context: Context) -> None:
    """Retry through an entry that saw the instance leave."""
    context.runs = retry_after_loss(restart_entry=False)


@when("a keyed record is retried by an entry started after the loss")
def retry_through_new_entry(context: Context) -> None:
    """Retry through an entry that never saw the instance."""
    context.runs = retry_after_loss(restart_entry=True)


@then("the record ran once")
def check_once(context: Context) -> None:
    """Check that the upstream ran the record exactly once."""
    assert context.runs == 1, f"ran {context.runs} times"
