"""Structs of submissions and results, in their stored form."""

import msgspec

HeaderList = list[tuple[str, str]]


class ScoreCall(msgspec.Struct, frozen=True, array_like=True):
    """Call that scores an item's complete text."""

    id: str
    host: str
    path: str
    body: bytes


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A requested sample.

    `expected_tokens` estimates the length of its text, `max_tokens` bounds
    it, `prompt_tokens` counts what it reads; they are 0 when unknown.
    """

    id: str
    path: str
    headers: HeaderList
    body: bytes
    group: str
    expected_tokens: float
    scorer: ScoreCall | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """Items that a trainer requests for one step.

    `min_version` is the oldest weight version that may generate them;
    `arrived_s` is the wall-clock time of the first arrival, in seconds.
    `organisation` is empty when none was configured then, or on a public
    route; builds before this one don't write it.
    """

    id: str
    host: str
    path: str
    model: str
    step: int
    min_version: int
    target_groups: int
    items: list[Item]
    arrived_s: float
    organisation: str = ""


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """The pool that runs a submission.

    `configuration` is the version of the configuration that named it.
    """

    pool: str
    configuration: int


class SubmissionHead(msgspec.Struct, frozen=True, array_like=True):
    """First row of a submission's record.

    It tells whether the parts have to be read. `owner` is the first one;
    builds before this one write neither it nor `host` and `path`.
    """

    parts: int
    model: str
    arrived_s: float
    organisation: str = ""
    host: str = ""
    path: str = ""
    owner: OwnerRecord = OwnerRecord("", 0)


class SampleResult(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of one item.

    `versions` lists the weight versions that generated its text; `score` is
    the signature of its scoring call.
    """

    id: str
    completed: bool
    text: str
    versions: list[int]
    score: str


class ResultPage(msgspec.Struct, frozen=True, array_like=True):
    """Results from a position on; `total` is the number of items.

    `organisation` is the submission's, None from a gateway of an older build.
    `configuration` is the version that the holder knows, None likewise.
    """

    total: int
    results: list[SampleResult]
    organisation: str | None = None
    configuration: int | None = None
