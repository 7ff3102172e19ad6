"""Many samplers' responses without end at once, beside sound calls.

Guard: the machine that called kept all the bytes, ran out of memory and took
the requests of its other callers with it (own ends, LOST).
"""

from contextlib import suppress
import tracemalloc

from pistachiospar.adapters.http.client import HttpConnection
import trio
import trio.testing

from .relay_harness import receive_head
from .relay_harness import RelayGateway
from .relay_harness import RESUMABLE
from .relay_harness import run_gateway
from .relay_harness import SAFE
from .relay_harness import send
from .relay_harness import STREAM
from .relay_harness import UNSAFE

ENDLESS_CALLS = 60
# Those of many small parts take far more processor time than their bytes.
SMALL = ("tiny chunks", "lines of an event", "comments")
SMALL_CALLS = 24
STALLED = "events that stall before their end"
STALLED_CALLS = 300
# Most are streams, of which each may hold an event of 1 MiB.
PATHS = (RESUMABLE, STREAM, STREAM, RESUMABLE, SAFE, UNSAFE)
SOUND_CALLS = 10
SOUND_PAUSE_S = 0.05
SOUND_TIME_S = 6.0
# A gateway has 300 MB for everything, and takes some 60 MB when idle.
MAX_GROWTH_BYTES = 96 * 1024 * 1024
TINY_COUNT = 4000
TINY = b"3\r\nabc\r\n"
CHUNK = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
CHUNKED = (
    "Response-Stamp: s\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
)
# The start of a response after its status line, and what comes without end.
ENDLESS: dict[str, tuple[str, bytes]] = {
    "a head": ("X-A: ", b"b" * 4096),
    "lines of a head": ("", b"X-A: b\r\n" * 512),
    "a body": ("Response-Stamp: s\r\n\r\n", b"no answer " * 4096),
    "an event": (CHUNKED, CHUNK),
    "tiny chunks": (CHUNKED, TINY * 4096),
    "lines of an event": (CHUNKED, b"e\r\nid: 1\ndata: a\n\r\n" * 512),
    "comments": (CHUNKED, b"4\r\n: \n\n\r\n" * 512),
    STALLED: (
        CHUNKED + "e0000\r\n",
        b"x" * 0xE0000,
    ),
    "trailers": (CHUNKED + "0\r\n", b"X-A: b\r\n" * 512),
}


def _answer(call_id: str) -> bytes:
    """Return a sound response."""
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {call_id}\r\n"
        "Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
    ).encode()


async def _serve_soundly(stream: trio.SocketStream) -> None:
    """Answer each call on a connection."""
    async with stream:
        while (headers := await receive_head(stream)) is not None:
            await stream.send_all(_answer(headers["request-id"]))


async def _serve(stream: trio.SocketStream, sent: str) -> None:
    """Answer sound calls; send to the others until the gateway closes."""
    head, block = ENDLESS[sent]
    async with stream:
        while (headers := await receive_head(stream)) is not None:
            call_id = headers["request-id"]
            if call_id.startswith("sound"):
                await stream.send_all(_answer(call_id))
                continue
            start = f"HTTP/1.1 200 OK\r\nRequest-Id: {call_id}\r\n{head}"
            with suppress(trio.BrokenResourceError):
                await stream.send_all(start.encode())
                while True:
                    await stream.send_all(block)
                    if sent == STALLED:
                        # Waits until the gateway closes.
                        await stream.receive_some(1)
                        return


async def _call_soundly(gateway: RelayGateway, lost: list[str]) -> None:
    """Make sound calls one after the other; record those not served.

    One that is refused as not run comes again, as its caller would.
    """
    for number in range(SOUND_CALLS):
        until = trio.current_time() + SOUND_TIME_S
        got = await send(gateway, SAFE, f"sound{number}-0")
        while got.status == 503 and trio.current_time() < until:
            await trio.sleep(SOUND_PAUSE_S)
            tag = f"{trio.current_time():.3f}"
            got = await send(gateway, SAFE, f"sound{number}-{tag}")
        if got.status != 200 or got.body != b"ok":
            lost.append(f"sound{number}: {got}")
        await trio.sleep(SOUND_PAUSE_S)


def run_beside(sent: str) -> tuple[int, list[str]]:
    """Return by how many bytes memory grew at most, and lost sound calls."""
    count = STALLED_CALLS if sent == STALLED else ENDLESS_CALLS
    count = SMALL_CALLS if sent in SMALL else count

    async def handle(stream: trio.SocketStream) -> None:
        await _serve(stream, sent)

    async def work() -> tuple[int, list[str]]:
        lost: list[str] = []
        async with run_gateway([handle, _serve_soundly]) as gateway:
            tracemalloc.start()
            before, _ = tracemalloc.get_traced_memory()
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    path = PATHS[number % len(PATHS)]
                    nursery.start_soon(send, gateway, path, f"bad{number}")
                nursery.start_soon(_call_soundly, gateway, lost)
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
        return peak - before, lost

    return trio.run(work)


def count_turns() -> tuple[int, int]:
    """Read a body of tiny chunks that came at once.

    Returns how many there are, and how often another task ran meanwhile.
    """

    async def work() -> tuple[int, int]:
        near, far = trio.testing.memory_stream_pair()
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        await far.send_all(head + TINY * TINY_COUNT + b"0\r\n\r\n")
        connection = HttpConnection(near, 0.0)
        response = await connection.send_request(
            "GET", "/", [("Host", "h")], b""
        )
        turns = 0

        async def take_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(take_turns)
            chunks = [chunk async for chunk in response.iter_chunks()]
            nursery.cancel_scope.cancel()
        return len(chunks), turns

    return trio.run(work)
