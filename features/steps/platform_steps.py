"""Steps on what samplers answer and others write on the platform."""

from behave.runner import Context
from behave import then
from behave import when
from support import platform_input
from support import sampler_answers


@when("a sampler sends {answer}")
def send_answer(context: Context, answer: str) -> None:
    """Let a sampler answer."""
    context.case = sampler_answers.CASES[answer]
    found = sampler_answers.run_case(answer)
    context.found, context.connections, context.sampler = found


@then("the gateway makes of it what it is")
def check_answer(context: Context) -> None:
    """Compare what came, and over how many connections."""
    assert context.found == context.case.expected, context.found
    expected = context.case.connections
    assert context.connections == expected, context.connections


@then("the sampler was asked as the caller asked")
def check_request(context: Context) -> None:
    """Check what the sampler got."""
    head = context.sampler.requests[0].decode()
    lines = head.split("\r\n")
    assert lines[0] == "POST /a?b=c HTTP/1.1", lines
    for line in ("Host: h.example", "X-Own: 1", "Request-Id: c1"):
        assert line in lines, (line, lines)
    assert "Deadline-Ms: 500" in lines and "Deadline-Ms: 900" not in lines
    assert "Expect-Instance: i-1" in lines and head.endswith("body")


@when("{row} is read from the platform")
def read_input(context: Context, row: str) -> None:
    """Read what others wrote."""
    read, context.expected = platform_input.CASES[row]
    context.found = read()


@then("it is read as what it is")
def check_input(context: Context) -> None:
    """Compare."""
    assert context.found.startswith(context.expected), context.found
