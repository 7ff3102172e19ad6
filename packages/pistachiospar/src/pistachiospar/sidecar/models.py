"""Data classes of the sidecar."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TypeAlias

import msgspec
import trio

from ..link.messages import RunOrder


class RecordState(Enum):
    """Tell how far a request has come."""

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    LOST = "lost"
    TOMBSTONE = "tombstone"


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Keep an answer for callers that retry with the same key."""

    status: int
    content_type: str
    body: bytes


@dataclass(slots=True, eq=False)
class Record:
    """Hold the at-most-once record of one request."""

    request_id: str
    caller: str
    key: str
    body_digest: str
    state: RecordState = RecordState.WAITING
    expires_at: float = 0.0
    sent: int = 0
    answer: KeptAnswer | None = None
    changed: trio.Event = field(default_factory=trio.Event)


@dataclass(frozen=True, slots=True)
class Admitted:
    """Tell that a request is new; its record is written."""

    record: Record


@dataclass(frozen=True, slots=True)
class Known:
    """Tell that a request with the same key was taken before."""

    record: Record


@dataclass(frozen=True, slots=True)
class Rejected:
    """Tell that a request is not taken, and why."""

    reason: str
    retry_after_s: float


Admission: TypeAlias = Admitted | Known | Rejected


@dataclass(slots=True, eq=False)
class Ticket:
    """Hold a place in the queue; tokens are the expected cost."""

    order: RunOrder
    enqueued_at: float
    deadline: float
    sequence: int = 0
    granted: trio.Event = field(default_factory=trio.Event)
    refused: str = ""


class Segment(msgspec.Struct, frozen=True):
    """Tell how many tokens one weight version produced."""

    weight_version: int
    tokens: int


class GeneratedSample(msgspec.Struct, frozen=True):
    """Hold a sample with its labels; a reclaimed one is not whole."""

    text: str
    segments: list[Segment]
    whole: bool = True

    def tokens(self) -> int:
        """Return the number of tokens."""
        return sum(segment.tokens for segment in self.segments)


class SampleRequest(msgspec.Struct, frozen=True):
    """Hold the body of a sample order.

    `text` and `segments` are what another sampler generated before.
    """

    prompt: str
    max_tokens: int
    text: str = ""
    segments: list[Segment] = []
