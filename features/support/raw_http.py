"""Invalid requests to an entry's HTTP server, in virtual time."""

from dataclasses import dataclass

from pistachiospar.adapters.http.server import HttpServer
from pistachiospar_standins.fakes.entry_fleet import FleetPlan
from pistachiospar_standins.fakes.entry_fleet import MemoryFleet
from pistachiospar_standins.fakes.entry_fleet import run_virtual
import trio
import trio.testing

from .bundles import make_bundle

MAX_VIRTUAL_S = 300.0
STEP_BODY = (
    b'{"upstream": "engine", "weight_version": 0, "max_tokens": 4, '
    b'"groups": [{"group": "g", "prompt": "p", "samples": 1}]}'
)


@dataclass(frozen=True, slots=True)
class RawResponse:
    """A response, and the status of a valid request after it."""

    status: int
    text: str
    next_status: int


def make_request(
    head: str, headers: tuple[str, ...] = (), body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{head} HTTP/1.1", "Host: entry", *headers]
    if body and not any("ransfer" in line for line in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


CALLER_HEADERS = ("Pistachiospar-Caller: app",)
CHUNKED_HEADERS = (*CALLER_HEADERS, "Transfer-Encoding: chunked")
VALID_REQUEST = make_request("GET /upstreams/plain/lookup", CALLER_HEADERS)
SAMPLES_PATH = "/trainers/routes/steps/s/samples"
COMPLETION_LINE = "POST /upstreams/engine/v1/completions"

REQUESTS: dict[str, bytes] = {
    "a malformed request line": b"GET  two  spaces\r\n\r\n",
    "a request that is not HTTP": b"\x16\x03\x01\x02\x00\r\n\r\n",
    "no Host header": b"GET /upstreams/plain/x HTTP/1.1\r\n\r\n",
    "an unknown path": make_request("GET /nowhere"),
    "an unknown upstream": make_request(
        "GET /upstreams/none/x", CALLER_HEADERS
    ),
    "no caller": make_request("GET /upstreams/plain/x"),
    "an unknown caller": make_request(
        "GET /upstreams/plain/x", ("Pistachiospar-Caller: nobody",)
    ),
    "a bad timeout": make_request(
        "GET /upstreams/plain/x",
        (*CALLER_HEADERS, "Pistachiospar-Timeout-Ms: soon"),
    ),
    "a timeout of 0": make_request(
        "GET /upstreams/plain/x",
        (*CALLER_HEADERS, "Pistachiospar-Timeout-Ms: 0"),
    ),
    "a huge timeout": make_request(
        "GET /upstreams/plain/x",
        (*CALLER_HEADERS, "Pistachiospar-Timeout-Ms: 99999999999999999999"),
    ),
    "an oversized header": make_request(
        "GET /upstreams/plain/x", (*CALLER_HEADERS, "X-Big: " + "x" * 70_000)
    ),
    "an oversized key": make_request(
        "POST /upstreams/plain/x",
        (*CALLER_HEADERS, "Idempotency-Key: " + "k" * 300),
    ),
    "an oversized body": make_request(
        "POST /upstreams/plain/x", CALLER_HEADERS, b"x" * 17_000_000
    ),
    "a truncated chunk": make_request(
        "POST /upstreams/plain/x", CHUNKED_HEADERS, b"10\r\nabc"
    ),
    "a bad chunk": make_request(
        "POST /upstreams/plain/x", CHUNKED_HEADERS, b"zz\r\nabc\r\n"
    ),
    "a completion that is not JSON": make_request(
        COMPLETION_LINE, CALLER_HEADERS, b"{prompt"
    ),
    "a completion without prompt": make_request(
        COMPLETION_LINE, CALLER_HEADERS, b"{}"
    ),
    "a completion of no tokens": make_request(
        COMPLETION_LINE, CALLER_HEADERS, b'{"prompt": "p", "max_tokens": 0}'
    ),
    "a completion by GET": make_request(
        "GET " + COMPLETION_LINE[5:], CALLER_HEADERS
    ),
    "an unknown trainer": make_request(
        "PUT /trainers/nobody/steps/s", (), STEP_BODY
    ),
    "a step that is not JSON": make_request(
        "PUT /trainers/routes/steps/s", (), b"[1,"
    ),
    "a step with a misspelt field": make_request(
        "PUT /trainers/routes/steps/s",
        (),
        STEP_BODY.replace(b"max_tokens", b"max_token"),
    ),
    "a step for another's upstream": make_request(
        "PUT /trainers/routes/steps/s",
        (),
        STEP_BODY.replace(b"engine", b"plain"),
    ),
    "a step without samples": make_request(
        "PUT /trainers/routes/steps/s",
        (),
        STEP_BODY.replace(b'"samples": 1', b'"samples": 0'),
    ),
    "a step by POST": make_request(
        "POST /trainers/routes/steps/s", (), STEP_BODY
    ),
    "a pull of an unknown step": make_request(
        "GET /trainers/routes/steps/none/samples"
    ),
    "a pull with a bad cursor": make_request(
        "PUT /trainers/routes/steps/s", (), STEP_BODY
    )
    + make_request(f"GET {SAMPLES_PATH}?cursor=abc"),
    "a pull with a forged cursor": make_request(
        "PUT /trainers/routes/steps/s", (), STEP_BODY
    )
    + make_request(f"GET {SAMPLES_PATH}?cursor=AAAAAAAAAACTAaFhoWI="),
    "a pull with a bad wait": make_request(f"GET {SAMPLES_PATH}?wait_ms=-1"),
    "weights that are not JSON": make_request(
        "POST /trainers/routes/weights", (), b"41"
    ),
    "weights of an unknown trainer": make_request(
        "POST /trainers/nobody/weights", (), b'{"version":1,"source":"s"}'
    ),
    "weights of version 0": make_request(
        "POST /trainers/routes/weights", (), b'{"version":0,"source":"s"}'
    ),
}


def send_invalid_request(name: str) -> RawResponse:
    """Send an invalid request, then a valid one on a new connection."""

    async def run_case() -> RawResponse:
        plan = FleetPlan(make_bundle(), 1, {"plain": 1, "engine": 1})
        fleet = MemoryFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            handler = fleet.entries["entry-1"].handler
            server = HttpServer(handler.handle)
            text = await _send_and_receive(server, nursery, REQUESTS[name])
            valid_response = await _send_and_receive(
                server, nursery, VALID_REQUEST
            )
            nursery.cancel_scope.cancel()
        last = text[text.rindex("HTTP/1.1 ") :]
        return RawResponse(
            _read_status(last), last, _read_status(valid_response)
        )

    return run_virtual(run_case, 3, MAX_VIRTUAL_S)


def _read_status(text: str) -> int:
    """Return the status of a response."""
    return int(text.split(" ", 2)[1])


async def _send_and_receive(
    server: HttpServer, nursery: trio.Nursery, data: bytes
) -> str:
    """Send bytes, close the sending side after 1 s, return the response."""
    near, far = trio.testing.memory_stream_pair()
    nursery.start_soon(server.handle_connection, far)
    received = bytearray()

    async def receive() -> None:
        while True:
            try:
                part = await near.receive_some(65536)
            except trio.BrokenResourceError:
                return
            if not part:
                return
            received.extend(part)

    async with trio.open_nursery() as reading:
        reading.start_soon(receive)
        try:
            await near.send_all(data)
        except trio.BrokenResourceError:
            pass
        with trio.move_on_after(2.0):
            await trio.sleep(1.0)
            await near.send_eof()
            await trio.sleep(1.0)
        reading.cancel_scope.cancel()
    return received.decode("utf-8", "replace")
