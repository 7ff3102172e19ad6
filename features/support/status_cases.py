"""What callers get when a sampler's status is none of HTTP's.

Guards: a status outside of 200 to 599 is passed on as an answer (MIXED), or
a call that may not be repeated is sent again after it (TWICE).
"""

from dataclasses import dataclass

import trio

from .relay_harness import receive_head
from .relay_harness import RESUMABLE
from .relay_harness import run_gateway
from .relay_harness import SAFE
from .relay_harness import send
from .relay_harness import STREAM
from .relay_harness import UNSAFE

BODY = b"id: 1\ndata: a\n\n"
PATHS = (SAFE, UNSAFE, RESUMABLE, STREAM)
# May have run, or took too long.
FAILURES = (502, 504)


@dataclass(slots=True)
class StrangeSampler:
    """A sampler whose responses have a status of their own."""

    status: str
    runs: int = 0

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection, for one request."""
        async with stream:
            headers = await receive_head(stream)
            if headers is None:
                return
            self.runs += 1
            head = (
                f"HTTP/1.1 {self.status} Fine\r\n"
                f"Request-Id: {headers['request-id']}\r\n"
                "Response-Stamp: s\r\nContent-Type: text/event-stream\r\n"
                f"Content-Length: {len(BODY)}\r\n\r\n"
            )
            await stream.send_all(head.encode() + BODY)
            await trio.sleep(0.2)


def find_faults(status: str) -> list[str]:
    """Return what is wrong with the answers to calls of each kind."""

    async def work() -> list[str]:
        faults: list[str] = []
        for path in PATHS:
            sampler = StrangeSampler(status)
            async with run_gateway([sampler.handle]) as gateway:
                got = await send(gateway, path, "c1")
            is_failure = got.is_complete and got.status in FAILURES
            if not is_failure or b"response-stamp" in got.headers:
                faults.append(f"{path}: {got}")
            if path in (UNSAFE, STREAM) and sampler.runs != 1:
                faults.append(f"{path}: {sampler.runs} runs")
        return faults

    return trio.run(work)
