"""Samplers that accept a stream and send nothing, or stop midway.

Guard: a stream waited for its sampler without limit; its caller got neither
an answer at the route's timeout nor the next sampler's text (CONFIG).
"""

from dataclasses import dataclass
import math
import time

from pistachiospar.costs.decisions import LogAverage
from pistachiospar.forwarding.silences import choose_limit_s
from pistachiospar.forwarding.silences import SilenceKey
from pistachiospar.forwarding.silences import SilenceTable
import trio

from .relay_cases import EVENTS
from .relay_cases import STREAM_HEAD
from .relay_cases import WHOLE
from .relay_harness import receive_head
from .relay_harness import RESUMABLE
from .relay_harness import run_gateway
from .relay_harness import Sampler
from .relay_harness import send
from .relay_harness import STREAM

# The harness's callers give 1.5 s, its routes 2 s.
TIME_S = 2.0
STREAMS = 6


@dataclass(slots=True)
class HangingSampler:
    """A sampler that sends some events of each stream, then nothing."""

    events: int
    runs: int = 0

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection, for one request."""
        async with stream:
            headers = await receive_head(stream)
            if headers is None:
                return
            self.runs += 1
            if self.events:
                head = STREAM_HEAD % headers["request-id"].encode()
                body = b"".join(EVENTS[: self.events])
                await stream.send_all(
                    head + b"%x\r\n%s\r\n" % (len(body), body)
                )
            await stream.receive_some(1)


async def serve_soundly(stream: trio.SocketStream) -> None:
    """Send the rest of each stream."""
    async with stream:
        headers = await receive_head(stream)
        if headers is None:
            return
        rest = b"".join(EVENTS[int(headers.get("last-event-id", "0")) :])
        head = STREAM_HEAD % headers["request-id"].encode()
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(rest), rest)
        await stream.send_all(head + chunks)


def find_faults(events: int, beside: bool) -> list[str]:
    """Request streams at a hanging sampler; return what is wrong.

    `beside` puts a sound one beside it.
    """

    async def work() -> list[str]:
        faults: list[str] = []
        hanging = HangingSampler(events)
        samplers: list[Sampler] = [hanging.handle]
        samplers += [serve_soundly] * beside
        async with run_gateway(samplers) as gateway:

            async def request(path: str, number: int) -> None:
                began_at = time.monotonic()
                got = await send(gateway, path, f"c{number}")
                took_s = time.monotonic() - began_at
                whole = got.status == 200 and got.body == WHOLE
                if path == RESUMABLE and beside and not whole:
                    faults.append(f"{path}{number}: {got.status} {got.body!r}")
                if took_s > TIME_S:
                    faults.append(f"{path}{number}: {took_s:.1f} s")
                if got.is_complete and got.status == 200 and not whole:
                    faults.append(f"{path}{number} looks whole")

            async with trio.open_nursery() as nursery:
                for number in range(STREAMS):
                    path = (RESUMABLE, STREAM)[number % 2]
                    nursery.start_soon(request, path, number)
        if not hanging.runs:
            faults.append("nothing hung")
        return faults

    return trio.run(work)


def _learn(waits: list[float]) -> LogAverage | None:
    """Return what a table knows after some waits, one each second."""
    table = SilenceTable()
    key = SilenceKey("u", "r", True)
    for number, waited_s in enumerate(waits):
        table.record(key, waited_s, float(number))
    return table.find(key)


# Waits before, the caller's time, whether no slot was free, whether it is the
# first event; the least and the most that the limit may be.
LIMITS: dict[str, tuple[list[float], float, bool, bool, float, float]] = {
    "all are fast": ([0.05] * 50, 9.0, False, True, 1.2, 1.2),
    "all are slow alike": ([1.5] * 50, 60.0, False, True, 3.0, 60.0),
    "one of seven is slow": (
        [0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.5] * 9,
        9.0,
        False,
        True,
        1.2,
        3.0,
    ),
    "prompts take long to read": (
        [0.2, 0.6, 1.8] * 20,
        20.0,
        False,
        True,
        3.6,
        20.0,
    ),
    "nothing is known": ([], 2.0, False, True, 1.2, 1.2),
    "nothing is known, and time is long": ([], 30.0, False, True, 15.0, 15.0),
    "no slot was free": ([0.05] * 50, 9.0, True, True, 9.0, 9.0),
    "little time is left": ([0.05] * 50, 0.4, False, True, 0.4, 0.4),
    "a text that has begun": ([0.05] * 50, 0.4, False, False, 1.2, 1.2),
}


def is_limit_right(case: str) -> bool:
    """Return whether the limit of a load is within its bounds."""
    waits, remaining_s, is_queued, is_first, least, most = LIMITS[case]
    limit_s = choose_limit_s(_learn(waits), remaining_s, is_queued, is_first)
    return least - 1e-9 <= limit_s <= most + 1e-9 and not math.isnan(limit_s)
