"""Steps on the link, its messages, leaving callers and shutdown."""

from behave.runner import Context
from behave import then
from behave import when
import msgspec
from pistachiospar.link.codec import decode_control_reply
from pistachiospar.link.codec import decode_control_request
from pistachiospar.link.codec import encode_message
from pistachiospar.link.messages import Heartbeat
from pistachiospar.link.messages import Status
from support.link_contract import EXPECTED
from support.link_contract import run_on_adapter
from support.link_contract import run_on_fake
from support.stopping import leave_callers
from support.stopping import Occupancy
from support.stopping import stop_entry


@when("{row} over the {kind} link")
def try_link(context: Context, row: str, kind: str) -> None:
    """Run a row of the contract."""
    run = run_on_fake if kind == "fake" else run_on_adapter
    context.row = row
    context.found = run(row)


@then("the link does what the contract says")
def check_link(context: Context) -> None:
    """Compare with the contract."""
    expected = EXPECTED[context.row]
    assert context.found == expected, f"{context.found} is not {expected}"


@then("the first encoding of {name} is still read: {text}")
def check_old_encoding(context: Context, name: str, text: str) -> None:
    """Decode bytes that an older process would send."""
    decode = decode_control_request
    if name == "status":
        decode = decode_control_reply  # type: ignore[assignment]
    message = decode(bytes.fromhex(text))
    assert message.is_ok(), message


@then("fields that a newer peer adds are skipped")
def check_newer_encoding(context: Context) -> None:
    """Decode messages with fields at the end that are not known."""
    beat = Heartbeat("e", 7)
    fields = [*msgspec.msgpack.decode(encode_message(beat)), "new", 1]
    found = decode_control_request(msgspec.msgpack.encode(fields))
    assert found.unwrap() == beat, found
    status = Status("s", "i", True, False, 1.0, 7, 1, 0, 0, 0)
    fields = [*msgspec.msgpack.decode(encode_message(status)), {"new": 1}]
    reply = decode_control_reply(msgspec.msgpack.encode(fields))
    assert reply.unwrap() == status, reply


@when("three callers wait for one slot and go away")
def leave(context: Context) -> None:
    """Let callers go away."""
    context.found = leave_callers()


@then("the slot, the queue and the engine are free")
def check_free(context: Context) -> None:
    """Compare before and after."""
    before, after = context.found
    assert before == Occupancy(1, 2, 1), before
    assert after == Occupancy(0, 0, 0), after


@when("an entry is stopped while a call runs")
def stop(context: Context) -> None:
    """Stop an entry's server."""
    context.found = stop_entry()


@then("the call is answered whole and told to close, idle ones are closed")
def check_stopped(context: Context) -> None:
    """Check both connections."""
    stopped = context.found
    assert stopped.answer.startswith("HTTP/1.1 200"), stopped.answer
    assert "connection: close" in stopped.answer.lower(), stopped.answer
    assert stopped.answer.endswith("plain-1 x "), stopped.answer
    assert stopped.idle_closed
    assert stopped.active_after == 0
