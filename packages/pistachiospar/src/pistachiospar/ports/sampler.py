"""Port of upstream instances that are called without a sidecar."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Protocol

from result import Result

from ..adapters.http.models import Headers
from ..routing.instances import ListedInstance


@dataclass(frozen=True, slots=True)
class SamplerCall:
    """One call as it is sent to an instance.

    `headers` are the caller's own; `remaining_s` is the time that the
    instance has. An instance that holds other weights than
    `expected_version` refuses the call. `after_event` resumes a stream after
    that event. At an instance that named a limit, calls with a lower
    `urgency` number go first, and this one waits for at most `max_wait_s`.
    `organisation` is the name of the one it belongs to: empty for a public
    call, None when no organisations are configured.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    remaining_s: float
    expected_version: int | None = None
    after_event: int | None = None
    priority: int | None = None
    urgency: int = 0
    max_wait_s: float = 0.0
    organisation: str | None = None


@dataclass(frozen=True, slots=True)
class InstanceLoad:
    """The number of calls that run and wait at an instance.

    `slots` is how many it runs at once. `pace` is how long work takes there
    at present as a multiple of the usual time.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One server-sent event; `version` is set where the weights changed.

    `raw` has the bytes as received, for forwarding.
    """

    number: int
    data: str
    version: int | None = None
    raw: bytes = b""


class SamplerResponse(Protocol):
    """An instance's response, read as it arrives.

    `not_run` is set if the instance declared that it did not and will not run
    the call; `stamp` is its signature, empty when there is none.
    """

    status: int
    headers: Headers
    not_run: bool
    stamp: str
    version: int | None
    load: InstanceLoad | None

    async def read_body(self) -> bytes:
        """Return the complete body; raises UpstreamError."""

    def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises UpstreamError when it is truncated."""

    def iter_events(self) -> AsyncIterator[StreamEvent]:
        """Yield complete events; raises UpstreamError when truncated."""


class LoadOrderOutcome(Enum):
    """An instance's reaction to a load order; UNKNOWN without a response."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load a version of a model's weights.

    The instance refuses it unless the number of orders that it has accepted
    is still `accepted_orders`.
    """

    model: str
    version: int
    holder: str
    fence: int
    accepted_orders: int


@dataclass(frozen=True, slots=True)
class SamplerReport:
    """An instance's own status report, some 100 ms old.

    `started_ms` is the Unix time of its start, 0 when it doesn't say.
    `kv_used` and `kv_total` count the tokens in its memory, None likewise.
    """

    busy: bool
    accepted_orders: int
    running: int
    waiting: int
    versions: dict[str, int] = field(default_factory=dict)
    started_ms: int = 0
    kv_used: int | None = None
    kv_total: int | None = None


# An instance, the calls a second that its response names as its limit, None
# when it names none, and when that call was sent, in monotonic seconds.
LimitListener = Callable[[ListedInstance, float | None, float], None]


class ProcessState(Enum):
    """Whether an instance's process runs; SILENT tells neither."""

    RUNNING = "running"
    GONE = "gone"
    SILENT = "silent"


class SamplerClient(Protocol):
    """Client of all upstream instances.

    `report_leaving` is called with each instance that announces in a
    response to any call, order or report that it is leaving; `report_limit`
    is called for each response.
    """

    report_leaving: Callable[[ListedInstance], None]
    report_limit: LimitListener

    def call(
        self, instance: ListedInstance, call: SamplerCall
    ) -> AbstractAsyncContextManager[SamplerResponse]:
        """Make a call; leaving the context early cancels it.

        Raises UpstreamNotSentError and UpstreamError.
        """

    async def order_load(
        self, instance: ListedInstance, order: LoadOrder
    ) -> LoadOrderOutcome:
        """Send an order; after UNKNOWN it may still be carried out."""

    async def fetch_report(
        self, instance: ListedInstance
    ) -> Result[SamplerReport, str]:
        """Fetch the instance's status report."""

    async def check_process(self, instance: ListedInstance) -> ProcessState:
        """Return whether an instance still accepts connections."""

    def is_connected(self, instance: ListedInstance) -> bool:
        """Return whether a call there needs no new connection."""

    def retain_only(self, names: set[str]) -> None:
        """Close the connections to all instances but the named ones."""
