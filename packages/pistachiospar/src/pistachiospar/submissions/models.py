"""Data classes of submissions, as they are stored and used."""

import msgspec

HeaderList = list[tuple[str, str]]


class ScoreCall(msgspec.Struct, frozen=True, array_like=True):
    """Hold the call that scores a sample's whole text."""

    id: str
    host: str
    path: str
    body: bytes


class Item(msgspec.Struct, frozen=True, array_like=True):
    """Hold one sample that is asked for.

    `expected_tokens` estimates the length of its text, 0 when unknown.
    """

    id: str
    path: str
    headers: HeaderList
    body: bytes
    group: str
    expected_tokens: float
    scorer: ScoreCall | None = None


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """Hold what a trainer submitted for one step.

    `arrived_s` is the wall-clock time, in seconds, of its first arrival;
    `min_version` names the oldest weights that may be used.
    """

    id: str
    host: str
    path: str
    model: str
    step: int
    min_version: int
    wanted_groups: int
    items: list[Item]
    arrived_s: float


class SubmissionHead(msgspec.Struct, frozen=True, array_like=True):
    """Hold what tells whether a submission's parts are worth reading."""

    parts: int
    model: str
    arrived_s: float


class SampleResult(msgspec.Struct, frozen=True, array_like=True):
    """Hold what became of an item.

    `versions` lists the weights that made its text, `score` the signature
    of its scoring call.
    """

    id: str
    completed: bool
    text: str
    versions: list[int]
    score: str


class ResultPage(msgspec.Struct, frozen=True, array_like=True):
    """Hold the results from a position on and the number of items."""

    total: int
    results: list[SampleResult]
