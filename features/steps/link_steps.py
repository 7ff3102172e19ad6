"""Step definitions for links, messages, disconnects and shutdown."""

from behave.runner import Context
from behave import then
from behave import when
import msgspec
from pistachiospar.link.codec import decode_control_reply
from pistachiospar.link.codec import decode_control_request
from pistachiospar.link.codec import encode_message
from pistachiospar.link.messages import Heartbeat
from pistachiospar.link.messages import Status
from support.link_contract import EXPECTED_RESULTS
from support.link_contract import run_on_adapter
from support.link_contract import run_on_fake
from support.shutdown_cases import disconnect_callers
from support.shutdown_cases import Occupancy
from support.shutdown_cases import stop_entry


@when("{case_name} over the {kind} link")
def run_link_case(context: Context, case_name: str, kind: str) -> None:
    """Run a case of the link contract."""
    run = run_on_fake if kind == "fake" else run_on_adapter
    context.case_name = case_name
    context.result = run(case_name)


@then("the link behaves as the contract requires")
def check_link_case(context: Context) -> None:
    """Compare the result with the contract."""
    expected = EXPECTED_RESULTS[context.case_name]
    assert context.result == expected, f"{context.result} is not {expected}"


@then("the first encoding of {name} is still decoded: {text}")
def check_old_encoding(context: Context, name: str, text: str) -> None:
    """Decode bytes that an older process would send."""
    decode = decode_control_request
    if name == "status":
        decode = decode_control_reply  # type: ignore[assignment]
    message = decode(bytes.fromhex(text))
    assert message.is_ok(), message


@then("fields that a newer peer adds are ignored")
def check_newer_encoding(context: Context) -> None:
    """Decode messages with unknown fields at the end."""
    heartbeat = Heartbeat("e", 7)
    fields = [*msgspec.msgpack.decode(encode_message(heartbeat)), "new", 1]
    result = decode_control_request(msgspec.msgpack.encode(fields))
    assert result.unwrap() == heartbeat, result
    status = Status("s", "i", True, False, 1.0, 7, 1, 0, 0, 0)
    fields = [*msgspec.msgpack.decode(encode_message(status)), {"new": 1}]
    reply = decode_control_reply(msgspec.msgpack.encode(fields))
    assert reply.unwrap() == status, reply


@when("three callers compete for one slot and disconnect")
def disconnect(context: Context) -> None:
    """Disconnect callers that run and wait."""
    context.result = disconnect_callers()


@then("the slot, the queue and the engine are free")
def check_free(context: Context) -> None:
    """Check the occupancy before and after the callers disconnect."""
    before, after = context.result
    assert before == Occupancy(1, 2, 1), before
    assert after == Occupancy(0, 0, 0), after


@when("an entry's server is stopped while a call runs")
def stop_server(context: Context) -> None:
    """Stop an entry's server with a busy and an idle connection."""
    context.result = stop_entry()


@then(
    "the call gets a complete response with connection close, "
    "idle connections are closed"
)
def check_stopped(context: Context) -> None:
    """Check the busy and the idle connection."""
    stopped = context.result
    assert stopped.response.startswith("HTTP/1.1 200"), stopped.response
    assert "connection: close" in stopped.response.lower(), stopped.response
    assert stopped.response.endswith("plain-1 x "), stopped.response
    assert stopped.idle_closed
    assert stopped.active_after == 0
