"""Second copies of a rejection that come after the call was sent again.

Guard: the copy is taken for the answer to the second sending, which runs:
the call is sent a third time (TWICE) or refused as not run (REFUSED).
"""

from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field

import trio

from .relay_harness import receive_head
from .relay_harness import run_gateway
from .relay_harness import SAFE
from .relay_harness import send
from .relay_harness import UNSAFE

CALLS = 12
RUN_S = 0.05


@dataclass(slots=True)
class CopyingSampler:
    """A sampler that rejects each call once, and does so again late.

    The copy is sent in place of the answer to the next request on the same
    connection; that request runs, and its answer follows.
    """

    rejected: set[str] = field(default_factory=set)
    runs: Counter[str] = field(default_factory=Counter)

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        late = b""
        with suppress(trio.BrokenResourceError):
            while (headers := await receive_head(stream)) is not None:
                call_id = headers["request-id"]
                if not call_id.startswith("warm") and (
                    call_id not in self.rejected
                ):
                    self.rejected.add(call_id)
                    late = _answer(call_id, "503 Full", "Not-Executed: 1\r\n")
                    await stream.send_all(late)
                    continue
                self.runs[call_id] += 1
                await stream.send_all(late)
                late = b""
                await trio.sleep(RUN_S)
                await stream.send_all(_answer(call_id, "200 OK"))
        await stream.aclose()


def _answer(call_id: str, status: str, more: str = "") -> bytes:
    """Return a response without a body."""
    return (
        f"HTTP/1.1 {status}\r\nRequest-Id: {call_id}\r\n{more}"
        "Response-Stamp: s\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def find_faults() -> list[str]:
    """Make unsafe calls one after the other; return what is wrong."""

    async def work() -> list[str]:
        sampler = CopyingSampler()
        faults: list[str] = []
        async with run_gateway([sampler.handle]) as gateway:
            await send(gateway, SAFE, "warm")
            for number in range(CALLS):
                got = await send(gateway, UNSAFE, f"c{number}")
                runs = sampler.runs[f"c{number}"]
                if runs > 1 or (runs and got.status == 503):
                    faults.append(f"c{number}: {got.status}, {runs} runs")
        if not sum(sampler.runs.values()) > 1:
            faults.append("no call ran")
        return faults

    return trio.run(work)
