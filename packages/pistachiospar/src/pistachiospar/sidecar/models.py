"""Data classes of the sidecar."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TypeAlias

import msgspec
import trio

from ..link.messages import RunOrder


class RecordState(Enum):
    """Progress of a request; LOST was dispatched and has no response."""

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    LOST = "lost"
    TOMBSTONE = "tombstone"


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A response to replay when a caller retries with the same key."""

    status: int
    content_type: str
    body: bytes


@dataclass(slots=True, eq=False)
class Record:
    """Record that makes a request run at most once.

    `expires_at` is a monotonic time in seconds; `sent_bytes` counts the
    body that was sent to the entry.
    """

    request_id: str
    caller: str
    key: str
    body_digest: str
    state: RecordState = RecordState.WAITING
    expires_at: float = 0.0
    sent_bytes: int = 0
    response: StoredResponse | None = None
    state_changed: trio.Event = field(default_factory=trio.Event)


@dataclass(frozen=True, slots=True)
class Admitted:
    """Admission of a new request, whose record is written."""

    record: Record


@dataclass(frozen=True, slots=True)
class KnownKey:
    """An earlier request of the caller with the same idempotency key."""

    record: Record


@dataclass(frozen=True, slots=True)
class Rejected:
    """Refusal of a request that was not run."""

    reason: str
    retry_after_s: float


Admission: TypeAlias = Admitted | KnownKey | Rejected


@dataclass(slots=True, eq=False)
class Ticket:
    """A queued order; times are monotonic, in seconds.

    `decided` is set when a slot is granted, or refused for the reason in
    `refusal`.
    """

    order: RunOrder
    enqueued_at: float
    deadline: float
    sequence: int = 0
    decided: trio.Event = field(default_factory=trio.Event)
    refusal: str = ""


class Segment(msgspec.Struct, frozen=True):
    """Run of tokens that one weight version produced."""

    weight_version: int
    tokens: int


class GeneratedSample(msgspec.Struct, frozen=True):
    """A sample and the weight versions of its tokens.

    `whole` is false for a reclaimed sample, which is continued elsewhere.
    """

    text: str
    segments: list[Segment]
    whole: bool = True

    def count_tokens(self) -> int:
        """Return the number of tokens of all segments."""
        return sum(segment.tokens for segment in self.segments)


class SampleRequest(msgspec.Struct, frozen=True):
    """Body of a sample order.

    `text` and `segments` are the part that another sampler generated.
    """

    prompt: str
    max_tokens: int
    text: str = ""
    segments: list[Segment] = []
