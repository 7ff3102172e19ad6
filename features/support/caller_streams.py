"""Callers that resume their streams at small fleets of gateways."""

from dataclasses import dataclass
from dataclasses import field

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import POOL
from pistachiospar_standins.fakes.gateway_fleet import STREAM_PREFIX
from pistachiospar_standins.fakes.recorders import ResponseRecorder
from pistachiospar_standins.fakes.samplers import make_output
import trio

ATTEMPT_SEPARATOR = "~"
LISTING_S = 1.5
MIN_EVENTS = 12


@dataclass(slots=True)
class CallerStream:
    """A stream of a caller that is resumed over several requests.

    `first` is the id of the request that brought its first event.
    """

    name: str
    attempts: int = 0
    first: str = ""
    events: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)

    def make_request(self) -> HttpRequest:
        """Return the next request for the rest of the stream."""
        self.attempts += 1
        headers = {
            "host": HOST,
            "request-id": f"{self.name}{ATTEMPT_SEPARATOR}{self.attempts}",
            "deadline-ms": "9000",
        }
        if self.first:
            headers["resumes"] = self.first
            headers["last-event-id"] = str(len(self.events))
        target = f"{STREAM_PREFIX}m0/x"
        return HttpRequest("POST", target, "", headers, target=target)

    def record(self, request: HttpRequest, response: ResponseRecorder) -> int:
        """Add what a request brought; return the number of new events."""
        self.statuses.append(response.status)
        if response.status != 200:
            return 0
        found = read_events(response.body)
        if found and not self.first:
            self.first = request.headers["request-id"]
        self.events.extend(found)
        return len(found)


def make_stream_output(item: str) -> list[str]:
    """Return the events of a stream, the same for each of its requests."""
    return make_output(item.split(ATTEMPT_SEPARATOR)[0])


def read_events(body: bytes) -> list[str]:
    """Return the data of the events in a body."""
    return [
        line.removeprefix("data: ")
        for line in body.decode().split("\n")
        if line.startswith("data: ")
    ]


def make_stream_name(number: int) -> str:
    """Return the id of a stream with at least MIN_EVENTS events."""
    while len(make_output(f"c{number}")) < MIN_EVENTS:
        number += 1000
    return f"c{number}"


async def request_stream(
    fleet: GatewayFleet,
    gateway: str,
    stream: CallerStream,
    cut_after: int | None = None,
) -> ResponseRecorder:
    """Request a stream; leave it once `cut_after` events have come."""
    request = stream.make_request()
    recorder = ResponseRecorder()
    running = fleet.running[gateway]
    scope = trio.CancelScope(deadline=trio.current_time() + 10.0)
    running.requests.add(scope)

    async def watch() -> None:
        while len(read_events(recorder.body)) < (cut_after or 1_000_000):
            await trio.sleep(0.002)
        scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        with scope:
            await running.coordinator.handler.handle(request, recorder)
        nursery.cancel_scope.cancel()
    running.requests.discard(scope)
    stream.record(request, recorder)
    return recorder


def find_problems(
    fleet: GatewayFleet, streams: list[CallerStream]
) -> list[str]:
    """Return what is wrong with the events that callers received."""
    problems = []
    for stream in streams:
        expected = make_output(stream.name)
        if stream.events != expected:
            problems.append(
                f"{stream.name}: {len(stream.events)} events of "
                f"{len(expected)}, statuses {stream.statuses}"
            )
    return problems + find_mixed_texts(fleet)


def find_mixed_texts(fleet: GatewayFleet) -> list[str]:
    """Return the texts that instances of several versions generated."""
    software: dict[str, set[str]] = {}
    for call_id, made in fleet.cluster.generated_software.items():
        text = call_id.split(ATTEMPT_SEPARATOR)[0]
        software.setdefault(text, set()).update(made.values())
    return [
        f"{text}: events of {sorted(found)}"
        for text, found in software.items()
        if len(found) > 1
    ]


def make_streams(count: int) -> list[CallerStream]:
    """Return new streams of callers."""
    return [CallerStream(make_stream_name(n)) for n in range(count)]


def add_newer_samplers(fleet: GatewayFleet, count: int = 2) -> None:
    """Add instances of a newer software version to the pool."""
    for number in range(count):
        fleet.add_sampler(f"n{number}", POOL, "v2")
