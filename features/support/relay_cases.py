"""What callers get when samplers break off or answer out of turn.

Guards: a stream that holds bytes of no event, or that ends as if it were
complete; a response whose head or body was cut and that looks whole.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from .relay_harness import receive_head
from .relay_harness import Received
from .relay_harness import reset
from .relay_harness import RESUMABLE
from .relay_harness import run_gateway
from .relay_harness import SAFE
from .relay_harness import send
from .relay_harness import STREAM
from .relay_harness import UNSAFE

EVENTS = [b"id: %d\ndata: part %d\n\n" % (n, n) for n in range(1, 5)]
WHOLE = b"".join(EVENTS)
EVENT_STREAM = "Content-Type: text/event-stream\r\n"
STAMP = "Response-Stamp: s\r\n"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def _encode_head(status: str, call_id: str, *lines: str) -> bytes:
    """Return a response's head with the request's id."""
    extra = "".join(lines)
    return (
        f"HTTP/1.1 {status}\r\nRequest-Id: {call_id}\r\n{extra}\r\n"
    ).encode()


def _encode_plain(
    status: str, call_id: str, body: bytes, *lines: str
) -> bytes:
    """Return a response with a length."""
    length = f"Content-Length: {len(body)}\r\n"
    return _encode_head(status, call_id, *lines, length) + body


def _encode_chunks(
    call_id: str, parts: list[bytes], *lines: str, end: bool = True
) -> bytes:
    """Return a response of status 200 in chunks."""
    chunked = "Transfer-Encoding: chunked\r\n"
    body = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
    head = _encode_head("200 OK", call_id, *lines, chunked)
    return head + body + b"0\r\n\r\n" * end


def _stream(call_id: str, parts: list[bytes], end: bool = True) -> bytes:
    """Return a sound sampler's stream."""
    return _encode_chunks(call_id, parts, STAMP, EVENT_STREAM, end=end)


# What the next sampler sends to a request that goes on after an event.
Answer = Callable[[str, int], bytes]
ANSWERS: dict[str, Answer] = {
    "the rest": lambda c, n: _stream(c, EVENTS[n:]),
    "an error with a text": lambda c, n: _encode_plain(
        "500 Error", c, b"out of memory\n\n", STAMP
    ),
    "an error like an event": lambda c, n: _encode_plain(
        "500 Error", c, b"id: %d\ndata: error\n\n" % (n + 1), STAMP
    ),
    "a refusal": lambda c, n: _encode_plain(
        "503 Full", c, b"full\n\n", "Not-Executed: 1\r\n"
    ),
    "a 503 that doesn't say it was not run": lambda c, n: _encode_plain(
        "503 Busy", c, b"busy\n\n", STAMP
    ),
    "a 422": lambda c, n: _encode_plain("422 No", c, b"no\n\n", STAMP),
    "a redirect": lambda c, n: _encode_plain(
        "302 Found", c, b"", "Location: /x\r\n"
    ),
    "a plain 200": lambda c, n: _encode_plain("200 OK", c, b"done", STAMP),
    "a plain 200 of blocks": lambda c, n: _encode_plain(
        "200 OK", c, b"all done\n\nand well\n\n", STAMP
    ),
    "an empty 200": lambda c, n: _encode_plain("200 OK", c, b"", STAMP),
    "a 204": lambda c, n: _encode_head("204 No Content", c, STAMP),
    "an empty 200 in chunks": lambda c, n: _encode_chunks(c, [], STAMP),
    "a page": lambda c, n: _encode_chunks(
        c, [b"<p>welcome</p>\n\n"], STAMP, "Content-Type: text/html\r\n"
    ),
    "the stream from its start": lambda c, n: _stream(c, EVENTS),
    "a stream that skips an event": lambda c, n: _stream(c, EVENTS[n + 1 :]),
    "an event without a number": lambda c, n: _stream(c, [b"data: x\n\n"]),
    "an event without a number, then the rest": lambda c, n: _stream(
        c, [b"data: x\n\n", *EVENTS[n:]]
    ),
    "a stream without signature": lambda c, n: _encode_chunks(
        c, EVENTS[n:], EVENT_STREAM
    ),
    "an encoded stream": lambda c, n: _encode_chunks(
        c, [b"\x1f\x8b\n\n"], STAMP, EVENT_STREAM, "Content-Encoding: gzip\r\n"
    ),
    "the rest of another request": lambda c, n: _stream("other", EVENTS[n:]),
    "a head that is cut": lambda c, n: _stream(c, EVENTS[n:])[:40],
    "a part of an event": lambda c, n: _stream(
        c, [EVENTS[min(n, 3)][:9]], end=False
    ),
    "a chunk that is cut": lambda c, n: _stream(c, EVENTS[n:])[:-7],
    "bytes that are not HTTP": lambda c, n: b"\x00\x01out of memory\r\n\r\n",
    "nothing": lambda c, n: b"",
}
# What the first sampler sends before its connection ends.
BREAKS: dict[str, Callable[[str], bytes]] = {
    "after the head": lambda c: _stream(c, [], end=False),
    "after an event": lambda c: _stream(c, EVENTS[:2], end=False),
    "within an event": lambda c: _stream(
        c, [EVENTS[0], EVENTS[1][:8]], end=False
    ),
    "after the last event": lambda c: _stream(c, EVENTS, end=False),
    "after a stream without signature": lambda c: _encode_chunks(
        c, EVENTS, EVENT_STREAM
    ),
}


@dataclass(slots=True)
class Interruption:
    """Samplers of which the first to run a request breaks off."""

    first: Callable[[str], bytes]
    is_reset: bool
    answer: Answer
    runs: int = 0

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection, for one request."""
        async with stream:
            headers = await receive_head(stream)
            if headers is None:
                return
            call_id = headers["request-id"]
            after = int(headers.get("last-event-id", "0"))
            self.runs += 1
            if self.runs > 1:
                await stream.send_all(self.answer(call_id, after))
                return
            await stream.send_all(self.first(call_id))
            if self.is_reset:
                await trio.sleep(0.01)
                reset(stream)


def break_streams(answer: str) -> list[str]:
    """Break streams off; return what is wrong with what callers got."""
    return trio.run(_break_streams, answer)


async def _break_streams(answer: str) -> list[str]:
    """Break a stream off in each way at once."""
    problems: list[str] = []
    async with trio.open_nursery() as nursery:
        for name, first in BREAKS.items():
            for is_reset in (False, True):
                for path in (RESUMABLE, STREAM):
                    case = Interruption(first, is_reset, ANSWERS[answer])
                    label = f"{name}, reset {is_reset}, {path}"
                    nursery.start_soon(
                        _check_stream, case, path, label, answer, problems
                    )
    return problems


async def _check_stream(
    case: Interruption,
    path: str,
    label: str,
    answer: str,
    problems: list[str],
) -> None:
    """Request one stream; add what is wrong with it."""
    async with run_gateway([case.handle, case.handle]) as gateway:
        got = await send(gateway, path, "c1")
    if got.status == 200 and b"response-stamp" not in got.headers:
        problems.append(f"{label}: a 200 without signature")
    if got.status == 200 and not WHOLE.startswith(got.body):
        problems.append(f"{label}: foreign bytes in {got.body!r}")
    if got.status == 200 and got.is_complete and got.body != WHOLE:
        problems.append(f"{label}: {got.body!r} looks complete")
    if answer == "the rest" and path == RESUMABLE and got.body != WHOLE:
        problems.append(f"{label}: {got} is not whole")


@dataclass(slots=True)
class CutResponse:
    """Samplers that all send the same bytes and end the connection."""

    data: bytes
    is_reset: bool

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection, for one request."""
        async with stream:
            headers = await receive_head(stream)
            if headers is None:
                return
            await stream.send_all(self.data)
            if self.is_reset:
                await trio.sleep(0.01)
                reset(stream)


RESPONSES: dict[str, bytes] = {
    "a length": _encode_plain("200 OK", "c1", b"all of it", STAMP),
    "chunks": _encode_chunks("c1", [b"all", b" of it"], STAMP),
    "an end with the connection": _encode_head("200 OK", "c1", STAMP)
    + b"all of it",
}


def cut_responses(framing: str, ending: str) -> list[str]:
    """Cut a response at each byte; return what looked whole to callers."""
    data = RESPONSES[framing]
    ends = len(data)
    if framing == "an end with the connection" and ending == "closes":
        # Nothing tells the end of such a body from a cut.
        ends = data.index(b"\r\n\r\n") + 4
    return trio.run(_cut_responses, data[:ends], ending == "resets")


async def _cut_responses(data: bytes, is_reset: bool) -> list[str]:
    """Cut a response at each byte, before callers of each kind."""
    found: list[str] = []
    limiter = trio.CapacityLimiter(16)

    async def cut(length: int, path: str) -> None:
        async with limiter:
            case = CutResponse(data[:length], is_reset)
            async with run_gateway([case.handle, case.handle]) as gateway:
                got = await send(gateway, path, "c1")
        if not _is_failure(got):
            found.append(f"{path} cut after {length}: {got}")

    async with trio.open_nursery() as nursery:
        for length in range(len(data)):
            nursery.start_soon(cut, length, UNSAFE)
        for length in range(0, len(data), 16):
            nursery.start_soon(cut, length, SAFE)
    return found


def _is_failure(got: Received) -> bool:
    """Return whether a caller learns that the response isn't whole.

    A refusal would be wrong, too: the request may have run.
    """
    return got.status in (502, 504) and got.is_complete


NON_ASCII = "Rīgas Šķirotava".encode()


def pass_header(name: str) -> list[str]:
    """Send a header beyond ASCII; return what is wrong with what arrived."""
    return trio.run(_pass_header, name.encode())


async def _pass_header(name: bytes) -> list[str]:
    """Send the header to a sampler that sends it back."""
    received: list[bytes] = []

    async def handle(stream: trio.SocketStream) -> None:
        async with stream:
            headers = await receive_head(stream)
            if headers is None:
                return
            value = headers.get(name.decode().lower(), "").encode("latin-1")
            call_id = headers["request-id"].encode("latin-1")
            received.append(value)
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nRequest-Id: "
                + call_id
                + b"\r\nX-Back: "
                + value
                + b"\r\nContent-Length: 2\r\n\r\nok"
            )

    async with run_gateway([handle]) as gateway:
        got = await send(gateway, SAFE, "c1", {name: NON_ASCII})
        beside = await send(gateway, SAFE, "c2")
    problems = []
    if received[:1] != [NON_ASCII]:
        problems.append(f"the sampler received {received}")
    if got.status != 200 or got.headers.get(b"x-back") != NON_ASCII:
        problems.append(f"the caller received {got}")
    if beside.status != 200:
        problems.append(f"the next call got {beside}")
    return problems
