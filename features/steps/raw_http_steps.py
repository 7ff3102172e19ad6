"""Steps on bad input."""

from behave.runner import Context
from behave import then
from behave import when
from support.raw_http import send_raw


@when("an entry is sent {name}")
def send_bad(context: Context, name: str) -> None:
    """Send a bad request."""
    context.raw = send_raw(name)


@then("it answers {status:d} {kind}")
def check_answer(context: Context, status: int, kind: str) -> None:
    """Check the status and the kind of the problem document."""
    raw = context.raw
    assert raw.status == status, raw.text[:300]
    if kind != "-":
        assert f"urn:pistachiospar:problem:{kind}" in raw.text, raw.text[:300]
        assert "application/problem+json" in raw.text, raw.text[:300]


@then("it serves the next request")
def check_next(context: Context) -> None:
    """Check that the process lives on."""
    assert context.raw.next_status == 200, context.raw.next_status
