"""Step definitions for invalid input."""

from behave.runner import Context
from behave import then
from behave import when
from support.raw_http import send_invalid_request


@when("an entry is sent {name}")
def send_invalid(context: Context, name: str) -> None:
    """Send an invalid request."""
    context.raw = send_invalid_request(name)


@then("it responds with {status:d} {kind}")
def check_response(context: Context, status: int, kind: str) -> None:
    """Check the status and the kind of the problem document."""
    raw = context.raw
    assert raw.status == status, raw.text[:300]
    if kind != "-":
        assert f"urn:pistachiospar:problem:{kind}" in raw.text, raw.text[:300]
        assert "application/problem+json" in raw.text, raw.text[:300]


@then("it serves the next request")
def check_next_request(context: Context) -> None:
    """Check that a valid request succeeds afterwards."""
    assert context.raw.next_status == 200, context.raw.next_status
