"""Step definitions for sampler responses and documents on the platform."""

from behave.runner import Context
from behave import then
from behave import when
from support import foreign_entries
from support import platform_decoding
from support import sampler_responses


@when("a sampler sends {name}")
def send_response(context: Context, name: str) -> None:
    """Make the calls of a case."""
    context.case = sampler_responses.CASES[name]
    found = sampler_responses.run_case(name)
    context.found, context.connections, context.sampler = found


@then("the gateway reads the expected result")
def check_response(context: Context) -> None:
    """Compare the results and the number of connections."""
    assert context.found == context.case.expected, context.found
    expected = context.case.connections
    assert context.connections == expected, context.connections
    sent = context.sampler.endless_bytes
    assert sent <= sampler_responses.MAX_ENDLESS_BYTES, sent


@then("the sampler received the caller's request")
def check_request(context: Context) -> None:
    """Check the request that the sampler received."""
    head = context.sampler.requests[0].decode()
    lines = head.split("\r\n")
    assert lines[0] == "POST /a?b=c HTTP/1.1", lines
    for line in ("Host: h.example", "X-Own: 1", "Request-Id: c1"):
        assert line in lines, (line, lines)
    assert "Deadline-Ms: 500" in lines and "Deadline-Ms: 900" not in lines
    assert "Expect-Instance: i-1" in lines and head.endswith("body")


@when("{row} is read from the platform")
def decode_input(context: Context, row: str) -> None:
    """Decode the document of a case."""
    decode, context.expected = platform_decoding.CASES[row]
    context.found = decode()


@then("it is decoded as expected")
def check_input(context: Context) -> None:
    """Compare the decoded document."""
    assert context.found.startswith(context.expected), context.found


@when("another writer lists an instance with {entry}")
def use_entry(context: Context, entry: str) -> None:
    """Read an entry, and call what it names if it is readable."""
    context.found = foreign_entries.use_entry(entry)


@then("the entry names no instance")
def check_entry(context: Context) -> None:
    """Check that the entry was left out."""
    assert context.found == "unreadable", context.found


@when("a connection is opened to port {port:d} of a host with {name}")
def connect(context: Context, port: int, name: str) -> None:
    """Open a connection to an address that is none."""
    hosts = {"unreadable characters": "\N{REPLACEMENT CHARACTER}"}
    context.found = foreign_entries.connect(hosts.get(name, name), port)


@then("the connection fails, and nothing else")
def check_connection(context: Context) -> None:
    """Check that the error is one that callers of the client expect."""
    assert context.found == "not connected", context.found
