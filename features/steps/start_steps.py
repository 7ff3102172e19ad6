"""Step definitions for the start of a gateway."""

from behave.runner import Context
from behave import then
from behave import when
from support import start_cases

# The interpreter's own socket module needs 15 others.
MAX_MODULES_BEFORE_LISTENING = 40


@when("a caller connects as soon as a launched gateway listens")
def connect_early(context: Context) -> None:
    """Connect during a start and wait for the response."""
    context.start = start_cases.connect_during_start()


@then("it was connected before the gateway had started")
def check_connected(context: Context) -> None:
    """Check that the port was open during the imports."""
    assert context.start.connected_s < context.start.started_s, context.start


@then("it gets a complete response")
def check_response(context: Context) -> None:
    """Check the response: without a store, no configuration is known."""
    assert context.start.response.startswith(b"HTTP/1.1 503"), context.start


@when("a gateway gets SIGHUP while it starts")
def hang_up(context: Context) -> None:
    """Send the signal during the imports."""
    context.passed = start_cases.hang_up_during_start()


@when("a gateway gets a second SIGTERM while it drains")
def terminate_twice(context: Context) -> None:
    """Send the signals."""
    context.passed = start_cases.terminate_twice()


@then("it goes on to its end")
def check_passed(context: Context) -> None:
    """Check that the signal ended nothing."""
    assert context.passed


@when("the modules are listed that load before the port is open")
def list_modules(context: Context) -> None:
    """List the modules in a fresh interpreter."""
    context.modules = start_cases.list_modules_before_listening()


@then("they are few, and none of them is a library or our own")
def check_modules(context: Context) -> None:
    """Check the modules against the bound."""
    modules = context.modules
    roots = {name.split(".")[0] for name in modules}
    assert len(modules) <= MAX_MODULES_BEFORE_LISTENING, modules
    assert "socket" in roots, modules
    assert not roots & {"trio", "msgspec", "eliot", "h11", "pistachiospar"}
