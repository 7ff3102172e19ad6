"""Speed and faults of the fakes of instances, records of what reached them."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from pistachiospar.adapters.http.models import Headers
from pistachiospar.ports.sampler import InstanceLoad
from pistachiospar.ports.sampler import StreamEvent

EVENT_INTERVAL_S = 0.03
LOAD_DURATION_S = 0.9


@dataclass(frozen=True, slots=True)
class SamplerSpeed:
    """The speed of an instance; times are in seconds.

    An event takes `event_interval_s`, and `event_interval_per_slot_s` more for
    each busy slot. A prompt is read once, in `prompt_read_s`. Loads take
    proportionally longer when more than `full_speed_loads` run at once.
    """

    event_interval_s: float = EVENT_INTERVAL_S
    event_interval_per_slot_s: float = 0.0
    prompt_read_s: float = 0.0
    load_duration_s: float = LOAD_DURATION_S
    full_speed_loads: int = 1_000_000

    def compute_event_interval_s(self, busy_slots: int) -> float:
        """Return the time between two events of a text, in seconds."""
        return (
            self.event_interval_s + self.event_interval_per_slot_s * busy_slots
        )

    def compute_load_duration_s(self, running_loads: int) -> float:
        """Return the duration of a load, in seconds.

        `running_loads` includes this load.
        """
        return self.load_duration_s * max(
            1.0, running_loads / self.full_speed_loads
        )


@dataclass(slots=True)
class SamplerFaults:
    """The faults of one instance; shares are probabilities from 0 to 1.

    `slow_factor` multiplies the durations of calls. `truncated_share` is drawn
    for each event and plain response, `error_share` for each call, and
    `lost_order_share` for each load order: its reply is lost, and the order is
    applied later. One that is `leaving` says so and serves on. `limit_per_s`
    is the limit that it names in its responses; it serves on beyond it. One
    that is `silent` takes plain calls, and goes on with them afterwards.
    """

    down: bool = False
    slow_factor: float = 1.0
    truncated_share: float = 0.0
    lost_order_share: float = 0.0
    error_share: float = 0.0
    leaving: bool = False
    limit_per_s: float | None = None
    silent: bool = False


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """A load order as it arrived; the time is in seconds.

    `fence_valid` is false for a token older than the instance's newest.
    """

    received_at: float
    instance: str
    gateway: str
    fence: int
    fence_valid: bool


@dataclass(frozen=True, slots=True)
class RunRecord:
    """The start of a run; the time is in seconds.

    `after_event` is the event that it goes on from, None for a new run;
    `software` the version of the instance's software. `organisation` and
    `urgency` are the call's.
    """

    started_at: float
    call_id: str
    instance: str
    gateway: str
    after_event: int | None = None
    software: str = ""
    organisation: str | None = None
    urgency: int = 0


@dataclass(frozen=True, slots=True)
class ArrivalRecord:
    """A call, order or report as it arrived; the time is in seconds.

    `call_id` is empty for orders and reports.
    """

    arrived_at: float
    instance: str
    gateway: str
    call_id: str = ""


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """The crash of an instance under a call; the time is in seconds."""

    crashed_at: float
    instance: str
    gateway: str
    body: bytes


def make_load(
    queue: int, running: int, waiting: int, slots: int
) -> InstanceLoad | None:
    """Return an instance's load; None unless it has a queue."""
    return InstanceLoad(running, waiting, slots) if queue else None


class FakeResponse:
    """The response to one call."""

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        not_run: bool = False,
        stamp: str = "",
        version: int | None = None,
        events: AsyncIterator[StreamEvent] | None = None,
        load: InstanceLoad | None = None,
    ) -> None:
        """Create a response with a body, or a stream of `events`."""
        self.status = status
        self.headers: Headers = []
        self.not_run = not_run
        self.stamp = stamp
        self.version = version
        self.load = load
        self._body = body
        self._events = events

    async def read_body(self) -> bytes:
        """Return the complete body."""
        return self._body

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        yield self._body

    async def iter_events(self) -> AsyncIterator[StreamEvent]:
        """Yield the events."""
        assert self._events is not None
        async for event in self._events:
            yield event


def make_stamp(call_id: str) -> str:
    """Return the signature of an instance's response."""
    return f"signed-{call_id}"
