"""Data classes of steps; the structures double as wire formats."""

from typing import Annotated

import msgspec
from msgspec import Meta

from . import const
from ..sidecar.models import Segment

Text = Annotated[str, Meta(min_length=1)]


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask for several samples of one prompt."""

    group: Annotated[str, Meta(min_length=1, max_length=256)]
    prompt: str
    samples: Annotated[int, Meta(ge=1, le=const.MAX_SAMPLES)]


class StepBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a step, as a trainer puts it."""

    upstream: Text
    weight_version: Annotated[int, Meta(ge=0)]
    max_tokens: Annotated[int, Meta(ge=1, le=const.MAX_TOKENS)]
    groups: Annotated[
        list[Group], Meta(min_length=1, max_length=const.MAX_GROUPS)
    ]


class WeightsBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announce new weights, as a trainer posts them."""

    version: Annotated[int, Meta(ge=1)]
    source: Text


class Sample(msgspec.Struct, frozen=True):
    """Hold one whole sample with its labels."""

    group: str
    index: int
    text: str
    segments: list[Segment]

    def oldest_version(self) -> int:
        """Return the oldest weight version that took part."""
        return min((s.weight_version for s in self.segments), default=0)

    def tokens(self) -> int:
        """Return the number of tokens."""
        return sum(segment.tokens for segment in self.segments)


class PullAnswer(msgspec.Struct, frozen=True):
    """Answer a pull of samples."""

    samples: list[Sample]
    cursor: str
    complete: bool


class StepOwner(msgspec.Struct, frozen=True):
    """Tell which entry runs a step."""

    entry: str
    peer: str


class SampleJob(msgspec.Struct, frozen=True, array_like=True):
    """Ask for one sample."""

    ordinal: int
    group: str
    index: int
    prompt: str


class JobsOrder(msgspec.Struct, frozen=True, array_like=True):
    """Ask a peer entry to run samples of a step."""

    trainer: str
    step: str
    upstream: str
    weight_version: int
    max_tokens: int
    jobs: list[SampleJob]


class JobDone(msgspec.Struct, frozen=True, array_like=True):
    """Hand a sample over from a peer entry."""

    ordinal: int
    sample: Sample
    wasted_tokens: int = 0
