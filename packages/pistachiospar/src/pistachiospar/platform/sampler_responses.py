"""Responses of the platform's samplers, read from HTTP."""

from collections.abc import AsyncIterator
import re
from typing import Final

from ..adapters.http.client import HttpStreamResponse
from ..adapters.http.const import MAX_RESPONSE_BYTES
from ..adapters.http.errors import HttpError
from ..adapters.http.receive_buffer import HeldBytes
from . import const
from ..const import MEBIBYTE
from ..ports.sampler import InstanceLoad
from ..ports.sampler import StreamEvent
from ..ports.upstream import UpstreamError
from .sampler_headers import strip_hop_by_hop_headers

MAX_EVENT_BYTES: Final = MEBIBYTE
STATUS_WRONG_INSTANCE: Final = 421
DECIMAL_PATTERN: Final = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
_EVENT_END: Final = b"\n\n"
_NUMBER_PATTERN: Final = re.compile(r"[0-9]{1,15}")
_COUNT_PATTERN: Final = re.compile(r"[0-9]{1,9}")
_NOT_RUN_STATUSES: Final = frozenset((STATUS_WRONG_INSTANCE,))


class PlatformResponse:
    """A sampler's response, read as it arrives."""

    def __init__(
        self,
        response: HttpStreamResponse,
        held: HeldBytes,
        load: InstanceLoad | None,
    ) -> None:
        """Read the head of the response; `held` is for its body.

        `load` is what the instance reports in it.
        """
        self._response = response
        self._held = held
        self.status = response.status
        self.headers = strip_hop_by_hop_headers(response.raw_headers)
        self.not_run = (
            const.HEADER_NOT_EXECUTED in response.headers
            or response.status in _NOT_RUN_STATUSES
        )
        self.stamp = response.headers.get(const.HEADER_RESPONSE_STAMP, "")
        self.version = _read_number(
            response.headers.get(const.HEADER_WEIGHT_VERSIONS)
        )
        self.load = load

    async def read_body(self) -> bytes:
        """Return the complete body.

        Raises UpstreamError if it is truncated or too large.
        """
        try:
            async for chunk in self._response.iter_chunks():
                self._held.append(chunk)
                if len(self._held) > MAX_RESPONSE_BYTES:
                    raise UpstreamError(f"{len(self._held)} bytes of body")
            return self._held.take()
        except HttpError as error:
            raise UpstreamError(f"response was cut off: {error}") from error

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks; raises UpstreamError if truncated."""
        try:
            async for chunk in self._response.iter_chunks():
                yield chunk
        except HttpError as error:
            raise UpstreamError(f"response was truncated: {error}") from error

    async def iter_events(self) -> AsyncIterator[StreamEvent]:
        """Yield complete events.

        Raises UpstreamError if the stream is truncated, an event is too large
        or the body isn't one of events. An empty one is only where the head
        says so: another response would look like the end of a stream.
        """
        if const.HEADER_CONTENT_ENCODING in self._response.headers:
            raise UpstreamError("stream is encoded")
        is_event_stream = self._is_event_stream()
        async for chunk in self.iter_chunks():
            for block in self._split_off(chunk):
                event = _read_event(block)
                if event is not None:
                    is_event_stream = True
                    yield event
            if len(self._held) > MAX_EVENT_BYTES:
                raise UpstreamError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        if self._held.take().strip():
            raise UpstreamError("stream ended within an event")
        if not is_event_stream:
            raise UpstreamError("response has no events and isn't a stream")

    def _split_off(self, chunk: bytes) -> list[bytes]:
        """Return the events that end in a chunk; raises UpstreamError."""
        try:
            return self._held.split_off(chunk, _EVENT_END)
        except HttpError as error:
            raise UpstreamError(str(error)) from error

    def _is_event_stream(self) -> bool:
        """Return whether the head says that the body is a stream."""
        content_type = self._response.headers.get("content-type", "")
        media_type = content_type.partition(";")[0].strip().lower()
        return media_type == const.MEDIA_TYPE_EVENTS


def _read_number(text: str | None) -> int | None:
    """Parse a decimal integer, None for anything else.

    A longer one than any count could not be stored.
    """
    if text is None or not _NUMBER_PATTERN.fullmatch(text.strip()):
        return None
    return int(text)


def parse_load(text: str | None) -> InstanceLoad | None:
    """Parse `running,waiting,slots[,pace]`; further figures are ignored.

    None for anything else. The usual pace is sent as 100.
    """
    parts = [part.strip() for part in (text or "").split(",")]
    counts = parts[:3]
    if len(counts) < 3 or not all(map(_COUNT_PATTERN.fullmatch, counts)):
        return None
    running, waiting, slots = map(int, counts)
    if len(parts) == 3:
        return InstanceLoad(running, waiting, slots)
    if not DECIMAL_PATTERN.fullmatch(parts[3]) or not float(parts[3]):
        return None
    pace = float(parts[3]) / const.USUAL_PACE
    return InstanceLoad(running, waiting, slots, pace)


def _read_event(block: bytes) -> StreamEvent | None:
    """Parse one event, None for a comment.

    Raises UpstreamError for an event without a number, or with a weight
    version that can't be read.
    """
    number: int | None = None
    version: int | None = None
    data: list[str] = []
    for line in block.decode("utf-8", "replace").split("\n"):
        name, _, value = line.rstrip("\r").partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            number = _read_number(value)
        elif name == "data":
            data.append(value)
        elif name == const.HEADER_WEIGHT_VERSIONS:
            version = _read_number(value)
            if version is None:
                raise UpstreamError("event has an unreadable weight version")
    if number is None:
        if all(line.startswith(b":") for line in block.splitlines() if line):
            return None
        raise UpstreamError("stream has an event without a number")
    return StreamEvent(number, "\n".join(data), version, block + b"\n\n")
