"""Data classes of forwarding."""

from dataclasses import dataclass
from enum import Enum

from ..adapters.http.models import Headers
from ..routing.models import Route


@dataclass(frozen=True, slots=True)
class ForwardCall:
    """A request to one upstream.

    `give_up_at` is the deadline for the response, in monotonic seconds.
    `fingerprint` recognises the request when it comes again; empty for calls
    that are owed whatever instances they crash. A caller resumes the stream
    that began with the request `stream` after the event `after_event`.
    `organisation` is None without organisations, "" on public routes.
    """

    request_id: str
    route: Route
    method: str
    target: str
    headers: Headers
    body: bytes
    give_up_at: float
    max_attempts: int
    hedged: bool = True
    fingerprint: str = ""
    stream: str = ""
    after_event: int = 0
    organisation: str | None = None


@dataclass(frozen=True, slots=True)
class CallResponse:
    """An instance's complete response; `stamp` is its signature."""

    status: int
    headers: Headers
    body: bytes
    stamp: str
    instance: str


class FailureKind(Enum):
    """Why an attempt got no response.

    NOT_RUN: no instance ran the call. LOST: an instance may have run it.
    SUSPENDED: not run, since it crashes the instances that run it.
    ORIGIN_UNKNOWN, VERSION_GONE: a stream that the caller resumes was not
    run, since it isn't known which software version began it, or since no
    instance of that version is left. OTHER_STREAM: the caller resumes the
    stream of another request.
    """

    NOT_RUN = "not-run"
    LOST = "lost"
    SUSPENDED = "suspended"
    ORIGIN_UNKNOWN = "stream-origin-unknown"
    VERSION_GONE = "stream-version-gone"
    OTHER_STREAM = "other-stream"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """The result of an attempt, or of a whole call, without a response.

    `expected_s` is after how many seconds an instance may accept the call,
    None when that is not known.
    """

    kind: FailureKind
    detail: str
    expected_s: float | None = None


CallOutcome = CallResponse | CallFailure


def describe_outcome(outcome: CallOutcome) -> str:
    """Return a short text on a call's outcome, for the log."""
    match outcome:
        case CallResponse(status=status, instance=instance):
            return f"{status} from {instance}"
        case CallFailure(kind=kind, detail=detail):
            return f"{kind.value}: {detail}"
