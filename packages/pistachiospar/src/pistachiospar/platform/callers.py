"""Requests of the platform's consumers, and the responses to them."""

from base64 import b64decode
from base64 import b64encode
import binascii
from collections.abc import Collection
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import unquote

import msgspec
from result import Err
from result import Ok
from result import Result

from ..adapters.http.models import HttpRequest
from ..adapters.http.validation import find_unsendable_part
from . import const
from ..helpers.decoding import DECODE_ERRORS
from ..submissions.models import Item
from ..submissions.models import ResultPage
from ..submissions.models import ScoreCall
from ..submissions.models import Submission

# Larger integers can't be stored.
Count = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]

_LENGTH_HINT = "length-hint"
_TOKEN_COUNTS = "token-counts"
_ORGANISATION_HEADERS = (const.HEADER_AUTHORIZATION, const.HEADER_TENANT)


class ScorerMessage(msgspec.Struct):
    """The call that scores an item; `body` is base64."""

    id: str
    host: str
    path: str
    body: str = ""


class ItemMessage(msgspec.Struct):
    """An item of a submission; `body` is base64."""

    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    group: str = ""
    tokens: float = 0
    scorer: ScorerMessage | None = None


class SubmissionMessage(msgspec.Struct):
    """A lot: the items that a consumer submits together."""

    items: list[ItemMessage]
    step: Count = 0
    model: str = ""
    minVersion: Count = 0
    targetGroups: Count = 0


class ResultMessage(msgspec.Struct):
    """The result of one item."""

    id: str
    state: str
    text: str
    versions: list[int]
    score: str


class ResultsMessage(msgspec.Struct):
    """Results from a position on; the next request starts at `next`."""

    total: int
    next: int
    results: list[ResultMessage]


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Headers of a caller; `deadline_s` counts from the arrival.

    `tokens` is how many the call is expected to read and generate, 0 when it
    doesn't say.
    """

    id: str
    host: str
    deadline_s: float | None
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class StreamPosition:
    """Where a caller resumes a stream.

    `stream` is the id of the request that brought its first event, empty
    when the caller doesn't name it; `after_event` the last event's number.
    """

    stream: str
    after_event: int


@dataclass(frozen=True, slots=True)
class ResultsRequest:
    """Request for results from position `after` on.

    Without new results the response waits for up to `wait_s` seconds.
    """

    submission: str
    after: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class ItemBodyRequest:
    """Request for the body of an item."""

    submission: str
    item: str


@dataclass(frozen=True, slots=True)
class EndRequest:
    """Request to end a submission."""

    submission: str


SubmissionRequest = ResultsRequest | ItemBodyRequest | EndRequest


def read_identity(request: HttpRequest, organisation: str | None) -> str:
    """Return what names the caller in a request, empty without.

    That is the organisation's name, so that any of its keys will do. None:
    no organisations are configured; empty: a public call.
    """
    if organisation:
        return f"organisation\0{organisation}"
    if organisation is not None:
        return request.headers.get(const.HEADER_API_KEY, "")
    return "\0".join(
        request.headers.get(name, "") for name in const.CALLER_HEADERS
    )


def read_caller_headers(request: HttpRequest) -> CallerHeaders:
    """Read the headers that concern this service."""
    deadline_ms = _read_float(request.headers.get(const.HEADER_DEADLINE_MS))
    return CallerHeaders(
        request.headers.get(const.HEADER_REQUEST_ID, ""),
        request.headers.get("host", ""),
        None if deadline_ms is None else deadline_ms / 1000,
        _sum_tokens(request.headers),
    )


def read_stream_position(
    request: HttpRequest,
) -> Result[StreamPosition | None, str]:
    """Return where a caller resumes a stream, None for a new one.

    The Err says which header is invalid.
    """
    event = request.headers.get(const.HEADER_LAST_EVENT_ID.lower())
    stream = request.headers.get(const.HEADER_RESUMES)
    if event is None:
        if stream is not None:
            return Err("Resumes needs Last-Event-Id")
        return Ok(None)
    event = event.strip()
    if not (event.isascii() and event.isdecimal()) or (
        len(event) > const.MAX_EVENT_NUMBER_DIGITS
    ):
        return Err(f"Last-Event-Id is not an event's number: {event[:40]!r}")
    if stream is not None:
        stream = stream.strip()
        if not stream or len(stream) > const.MAX_REQUEST_ID_CHARACTERS:
            return Err("Resumes is empty or too long")
    return Ok(StreamPosition(stream or "", int(event)))


def read_submission_request(request: HttpRequest) -> SubmissionRequest | None:
    """Read a request on a submission, None if it is another request."""
    parameters = request.parse_query()
    if request.path.startswith(const.PATH_LOTS):
        name = unquote(request.path.removeprefix(const.PATH_LOTS))
        if request.method == "DELETE":
            return EndRequest(name)
        if request.method == "GET":
            after = _read_float(parameters.get("after")) or 0.0
            wait_ms = _read_float(request.headers.get(const.HEADER_WAIT_MS))
            return ResultsRequest(name, int(after), (wait_ms or 0.0) / 1000)
    if request.path.startswith(const.PATH_ITEMS) and request.method == "GET":
        name = unquote(request.path.removeprefix(const.PATH_ITEMS))
        return ItemBodyRequest(name, parameters.get("id", ""))
    return None


def read_submission(
    request: HttpRequest,
    caller: CallerHeaders,
    arrived_s: float,
    organisation: str | None = None,
) -> Result[Submission, str]:
    """Read a submission that arrived at a wall-clock time in seconds.

    With organisations its items lose the headers that name one or have a
    key, which must not be stored.
    """
    dropped = _ORGANISATION_HEADERS if organisation is not None else ()
    try:
        message = msgspec.json.decode(request.body, type=SubmissionMessage)
        items = [_read_item(item, dropped) for item in message.items]
    except (*DECODE_ERRORS, binascii.Error) as error:
        return Err(str(error))
    for index, item in enumerate(items):
        problem = _find_problem(item)
        if problem:
            return Err(f"items[{index}]: {problem}")
    return Ok(
        Submission(
            caller.id,
            caller.host,
            request.path,
            message.model,
            message.step,
            message.minVersion,
            message.targetGroups,
            items,
            arrived_s,
            organisation or "",
        )
    )


def encode_results(page: ResultPage, after: int) -> bytes:
    """Encode a page of results that starts at position `after`."""
    results = [
        ResultMessage(
            result.id,
            "completed" if result.completed else "down",
            result.text,
            result.versions,
            result.score,
        )
        for result in page.results
    ]
    message = ResultsMessage(page.total, after + len(results), results)
    return msgspec.json.encode(message)


def encode_submission(submission: Submission) -> bytes:
    """Encode a submission as consumers send it, for stand-ins and tests."""
    items = [
        ItemMessage(
            item.id,
            item.path,
            dict(item.headers),
            b64encode(item.body).decode(),
            item.group,
            item.expected_tokens,
            _make_scorer(item.scorer),
        )
        for item in submission.items
    ]
    return msgspec.json.encode(
        SubmissionMessage(
            items,
            submission.step,
            submission.model,
            submission.min_version,
            submission.target_groups,
        )
    )


def _read_item(message: ItemMessage, dropped: Collection[str]) -> Item:
    """Convert an item; raises binascii.Error for a bad body.

    The headers `dropped` are left out.
    """
    scorer = message.scorer
    headers = {name.lower(): v for name, v in message.headers.items()}
    prompt, _, output = headers.get(_TOKEN_COUNTS, "").rpartition(",")
    expected = _read_float(headers.get(_LENGTH_HINT)) or _read_float(output)
    return Item(
        message.id,
        message.path,
        [
            (n, v)
            for n, v in message.headers.items()
            if n.lower() not in dropped
        ],
        b64decode(message.body, validate=True),
        message.group or message.id,
        expected or message.tokens,
        None
        if scorer is None
        else ScoreCall(
            scorer.id,
            scorer.host,
            scorer.path,
            b64decode(scorer.body, validate=True),
        ),
        int(_read_float(prompt) or 0.0),
        int(_read_float(output) or 0.0),
    )


def _find_problem(item: Item) -> str:
    """Return why an item or its scoring call can't be sent, empty if it can.

    What is refused here is not stored: each holder would fail to run it.
    """
    if not item.id:
        return "the id is empty"
    part = find_unsendable_part(
        item.path, [(const.HEADER_REQUEST_ID, item.id), *item.headers]
    )
    scorer = item.scorer
    if not part and scorer is not None:
        part = find_unsendable_part(
            scorer.path, [(const.HEADER_REQUEST_ID, scorer.id)]
        )
        part = part and f"scorer's {part}"
    return part and f"HTTP can't carry its {part}"


def _sum_tokens(headers: dict[str, str]) -> int:
    """Return the tokens that a call is expected to read and generate."""
    prompt, _, output = headers.get(_TOKEN_COUNTS, "").partition(",")
    expected = _read_float(headers.get(_LENGTH_HINT)) or _read_float(output)
    return int((_read_float(prompt) or 0.0) + (expected or 0.0))


def _make_scorer(scorer: ScoreCall | None) -> ScorerMessage | None:
    """Return the message of a scoring call."""
    if scorer is None:
        return None
    body = b64encode(scorer.body).decode()
    return ScorerMessage(scorer.id, scorer.host, scorer.path, body)


def _read_float(text: str | None) -> float | None:
    """Parse a number from 0 to 1e12, None for anything else."""
    try:
        value = float(text) if text else None
    except ValueError:
        return None
    return value if value is not None and 0 <= value < 1e12 else None
