"""Steps, samples and orders; the structs are also the wire format."""

from typing import Annotated

import msgspec
from msgspec import Meta

from . import const
from ..sidecar.models import Segment

NonEmptyText = Annotated[str, Meta(min_length=1)]


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request for several samples of one prompt."""

    group: Annotated[str, Meta(min_length=1, max_length=256)]
    prompt: str
    samples: Annotated[int, Meta(ge=1, le=const.MAX_SAMPLES)]


class StepBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Definition of a step, as the body of a trainer's PUT."""

    upstream: NonEmptyText
    weight_version: Annotated[int, Meta(ge=0)]
    max_tokens: Annotated[int, Meta(ge=1, le=const.MAX_TOKENS)]
    groups: Annotated[
        list[Group], Meta(min_length=1, max_length=const.MAX_GROUPS)
    ]


class WeightsBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announcement of new weights, as the body of a trainer's POST.

    `source` is the URL that the weights are read from.
    """

    version: Annotated[int, Meta(ge=1)]
    source: NonEmptyText


class Sample(msgspec.Struct, frozen=True):
    """Complete sample; the segments label its tokens by weight version."""

    group: str
    index: int
    text: str
    segments: list[Segment]

    def find_oldest_version(self) -> int:
        """Return the oldest weight version of its tokens, 0 without any."""
        return min((s.weight_version for s in self.segments), default=0)

    def count_tokens(self) -> int:
        """Return the number of tokens."""
        return sum(segment.tokens for segment in self.segments)


class PullResponse(msgspec.Struct, frozen=True):
    """Response to a pull: samples, and the cursor after them.

    `complete` is set once that cursor covers the whole step.
    """

    samples: list[Sample]
    cursor: str
    complete: bool


class StepOwner(msgspec.Struct, frozen=True):
    """The entry that runs a step; `peer` is its address for entries."""

    entry: str
    peer: str


class SampleJob(msgspec.Struct, frozen=True, array_like=True):
    """Order for one sample; `ordinal` is its position in the step."""

    ordinal: int
    group: str
    index: int
    prompt: str


class JobsOrder(msgspec.Struct, frozen=True, array_like=True):
    """Order that a peer entry run samples of a step."""

    trainer: str
    step: str
    upstream: str
    weight_version: int
    max_tokens: int
    jobs: list[SampleJob]


class JobDone(msgspec.Struct, frozen=True, array_like=True):
    """A finished sample, as a runner or a peer entry delivers it."""

    ordinal: int
    sample: Sample
    wasted_tokens: int = 0
