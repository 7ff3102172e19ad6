"""Bytes of samplers' responses, and what gateways are to read of them."""

from dataclasses import dataclass


def make_response(
    call_id: str, body: bytes, status: str = "200 OK", extra: str = ""
) -> bytes:
    """Return the bytes of a complete response with a length."""
    head = (
        f"HTTP/1.1 {status}\r\nRequest-Id: {call_id}\r\n"
        f"Response-Stamp: s\r\nWeight-Versions: 4\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def make_stream(*parts: bytes, end: bool = True) -> bytes:
    """Return the bytes of a chunked stream, with or without its end."""
    head = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: c1\r\nResponse-Stamp: s\r\n"
        b"Weight-Versions: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    body = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
    return head + body + (b"0\r\n\r\n" if end else b"")


UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: c1\r\nResponse-Stamp: s\r\n\r\n"
TWO_EVENTS = (b"id: 1\ndata: a\n\nid: 2\nda", b"ta: b\n\n")
CHANGED = (b"id: 1\ndata: a\n\n", b"weight-versions: 5\nid: 2\ndata: b\n\n")


@dataclass(frozen=True, slots=True)
class ResponseCase:
    """The responses of a sampler and the results that are expected.

    After each response the sampler resets or closes the connection if
    `is_reset` or `is_closed` says so; `endless` is sent after it until the
    gateway closes the connection. The calls are made one after the other, on
    the same connection where that is safe.
    """

    responses: tuple[bytes, ...]
    expected: list[str]
    connections: int = 1
    is_reset: bool = False
    is_closed: bool = False
    calls: int = 1
    is_stream: bool = False
    operation: str = "call"
    endless: bytes = b""


EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
# Responses with few or no events.
STREAM_CASES: dict[str, ResponseCase] = {
    "a stream of no events": ResponseCase(
        (make_stream().replace(b"\r\n", b"\r\n" + EVENT_STREAM, 1),),
        ["4: end"],
        is_stream=True,
    ),
    "an empty response in place of a stream": ResponseCase(
        (make_response("c1", b""),), ["4: may have run"], is_stream=True
    ),
    "a comment between events": ResponseCase(
        (make_stream(b"id: 1\ndata: a\n\n: wait\n\nid: 2\ndata: b\n\n"),),
        ["4: 1 a", "2 b", "end"],
        is_stream=True,
    ),
    "an event without a number": ResponseCase(
        (make_stream(TWO_EVENTS[0], TWO_EVENTS[1], b"data: c\n\n"),),
        ["4: 1 a", "2 b", "may have run"],
        is_stream=True,
    ),
}

# Statuses that are none of HTTP's, and bodies that don't fit their status.
STATUS_CASES: dict[str, ResponseCase] = {
    "an order's response with the status 600": ResponseCase(
        (make_response("", b"{}", "600 Fine"),),
        ["unknown"],
        operation="order",
    ),
    "an order's response with the status 000": ResponseCase(
        (make_response("", b"{}", "000 Fine"),),
        ["unknown"],
        operation="order",
    ),
    "an order's response that is a call's": ResponseCase(
        (make_response("c1", b"{}"),), ["unknown"], operation="order"
    ),
    "a report that is a call's response": ResponseCase(
        (make_response("c1", b"{}"),), ["no report"], operation="report"
    ),
    "a report with the status 600": ResponseCase(
        (make_response("", b"{}", "600 Fine"),),
        ["no report"],
        operation="report",
    ),
    "a refusal with the status 600": ResponseCase(
        (make_response("c1", b"", "600 Full", "Not-Executed: 1\r\n"),),
        ["may have run"],
    ),
    "a 204 with a body": ResponseCase(
        (
            make_response("c1", b"more", "204 No Content"),
            make_response("c2", b"too"),
        ),
        ["204 ", "200 too"],
        connections=2,
        calls=2,
    ),
    "a 304 with a body": ResponseCase(
        (
            make_response("c1", b"more", "304 Not Modified"),
            make_response("c2", b"too"),
        ),
        ["304 ", "200 too"],
        connections=2,
        calls=2,
    ),
}


def _make_versioned(version: str) -> bytes:
    """Return a stream whose head names a weight version."""
    named = f"Weight-Versions: {version}".encode()
    return make_stream(*TWO_EVENTS).replace(b"Weight-Versions: 4", named)


# Numbers that nothing counts up to. Results with one could not be stored,
# which ended the holder of the pool.
NUMBER_CASES: dict[str, ResponseCase] = {
    "a weight version of 31 digits": ResponseCase(
        (_make_versioned("9" * 31),),
        ["None: 1 a", "2 b", "end"],
        is_stream=True,
    ),
    "a weight version of 5000 digits": ResponseCase(
        (_make_versioned("9" * 5000),),
        ["None: 1 a", "2 b", "end"],
        is_stream=True,
    ),
    "a weight version of other digits": ResponseCase(
        (_make_versioned("\u0663"),),
        ["None: 1 a", "2 b", "end"],
        is_stream=True,
    ),
    "an event whose weight version can't be read": ResponseCase(
        (make_stream(b"id: 1\nweight-versions: 5x\ndata: a\n\n"),),
        ["4: may have run"],
        is_stream=True,
    ),
    "an event's number of 5000 digits": ResponseCase(
        (make_stream(b"id: %s\ndata: a\n\n" % (b"9" * 5000)),),
        ["4: may have run"],
        is_stream=True,
    ),
}
