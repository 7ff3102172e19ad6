"""Callers of a soak that resume their streams at any gateway."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from random import Random

from pistachiospar.adapters.http.address import Address
from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.errors import ConnectError
from pistachiospar.adapters.http.errors import HttpError
from pistachiospar.adapters.http.models import Headers
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import STREAM_PREFIX
from pistachiospar_standins.fakes.samplers import make_output
import trio

from .soak_keys import AUTHORIZATION

SEPARATOR = "~"
CALLERS = 6
MAX_ATTEMPTS = 8
ATTEMPT_TIMEOUT_S = 6.0
CONNECT_TIMEOUT_S = 0.5
MAX_PAUSE_S = 1.0


def make_stream_output(item: str) -> list[str]:
    """Return the events of a text, the same for each request for it."""
    return make_output(item.split(SEPARATOR)[0])


@dataclass(slots=True)
class ResumedStream:
    """A stream; `received` has the request and the data of each event."""

    name: str
    attempts: int = 0
    first: str = ""
    received: list[tuple[str, str]] = field(default_factory=list)
    whole: bool = False

    def make_headers(self) -> Headers:
        """Return the headers of the next request for the rest."""
        self.attempts += 1
        headers = [
            ("Host", HOST),
            ("Request-Id", f"{self.name}{SEPARATOR}{self.attempts}"),
            ("Deadline-Ms", str(int(ATTEMPT_TIMEOUT_S * 1000))),
            AUTHORIZATION,
        ]
        if self.first:
            headers.append(("Resumes", self.first))
            headers.append(("Last-Event-Id", str(len(self.received))))
        return headers

    def record_event(self, call_id: str, data: str) -> None:
        """Record an event that a request brought."""
        self.first = self.first or call_id
        self.received.append((call_id, data))


class StreamCallers:
    """Callers whose streams break off and go on elsewhere."""

    def __init__(self, addresses: Mapping[str, Address], rng: Random) -> None:
        """Call the gateways at these addresses."""
        self._addresses = addresses
        self._rng = rng
        self.streams: list[ResumedStream] = []

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Read streams until it is over."""
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(self._call, is_over)

    async def _call(self, is_over: Callable[[], bool]) -> None:
        """Read one stream after the other."""
        while not is_over():
            stream = ResumedStream(f"st{len(self.streams)}")
            self.streams.append(stream)
            while not stream.whole and stream.attempts < MAX_ATTEMPTS:
                pause_s = await self._read_once(stream)
                await trio.sleep(pause_s)

    async def _read_once(self, stream: ResumedStream) -> float:
        """Request the rest of a stream; return when to come back."""
        name = self._rng.choice(sorted(self._addresses))
        pool = HttpPool(self._addresses[name], CONNECT_TIMEOUT_S)
        headers = stream.make_headers()
        call_id = dict(headers)["Request-Id"]
        target = f"{STREAM_PREFIX}m0/x"
        pause_s = 0.05
        try:
            with trio.move_on_after(ATTEMPT_TIMEOUT_S):
                async with pool.request(
                    "POST", target, headers, b""
                ) as response:
                    if response.status != 200:
                        text = response.headers.get("retry-after", "0.1")
                        return min(MAX_PAUSE_S, float(text))
                    buffer = b""
                    async for chunk in response.iter_chunks():
                        *blocks, buffer = (buffer + chunk).split(b"\n\n")
                        for block in blocks:
                            _, _, data = block.decode().rpartition("data: ")
                            stream.record_event(call_id, data)
                    stream.whole = True
        except (ConnectError, HttpError):
            pause_s = 0.2
        finally:
            pool.close()
        return pause_s

    def find_violations(
        self, software: Mapping[str, Mapping[int, str]]
    ) -> list[str]:
        """Return what is wrong with the events that callers received.

        `software` has the version that made each event of a request.
        """
        found: list[str] = []
        for stream in self.streams:
            expected = make_output(stream.name)
            data = [data for _, data in stream.received]
            if data != expected[: len(data)]:
                found.append(f"{stream.name} has events out of order")
            if stream.whole and len(data) != len(expected):
                found.append(f"{stream.name} looks complete and is not")
            versions = {
                software[call_id][number]
                for number, (call_id, _) in enumerate(stream.received, 1)
            }
            if len(versions) > 1:
                found.append(f"{stream.name} has events of {versions}")
        return found

    def describe(self) -> str:
        """Return how many streams were resumed and how many are whole."""
        resumed = [s for s in self.streams if s.first and s.attempts > 1]
        whole = sum(stream.whole for stream in resumed)
        return (
            f"{len(self.streams)} streams, {len(resumed)} resumed, "
            f"{whole} of these whole"
        )
