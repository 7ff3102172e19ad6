"""Support calls to the platform's samplers."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ..adapters.http.client import HttpPool
from ..adapters.http.client import HttpStreamResponse
from ..adapters.http.errors import ConnectError
from ..adapters.http.errors import HttpError
from ..adapters.http.models import Headers
from . import const
from ..ports.sampler import InstanceLoad
from ..ports.sampler import LoadOrder
from ..ports.sampler import LoadOrderOutcome
from ..ports.sampler import SamplerCall
from ..ports.sampler import SamplerReport
from ..ports.sampler import StreamEvent
from ..ports.upstream import UpstreamError
from ..ports.upstream import UpstreamNotSentError
from ..routing.instances import ListedInstance
from .instances import HeldModelMessage

# A path within a region takes 1 ms; a packet sent again takes a second.
CONNECT_TIMEOUT_S: Final = 0.3
ORDER_TIMEOUT_S: Final = 1.0
REPORT_TIMEOUT_S: Final = 0.5
MOST_IDLE: Final = 64

_HOP_HEADERS: Final = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_OWN_HEADERS: Final = _HOP_HEADERS | {
    const.HEADER_DEADLINE,
    const.HEADER_ID,
    const.HEADER_INSTANCE.lower(),
    const.HEADER_EXPECT_VERSION.lower(),
    const.HEADER_LAST_EVENT.lower(),
    const.HEADER_PRIORITY.lower(),
}
_NOT_RUN_STATUSES: Final = frozenset((421,))
_ORDER_REPLIES: Final = {
    202: LoadOrderOutcome.ACCEPTED,
    200: LoadOrderOutcome.HOLDS,
    409: LoadOrderOutcome.CONFLICT,
    412: LoadOrderOutcome.FENCED,
}


class ReportMessage(msgspec.Struct):
    """Hold a sampler's report; `sequence` counts accepted orders."""

    busy: bool = False
    sequence: int = 0
    waiting: int = 0
    running: int = 0
    models: list[HeldModelMessage] = []


class OrderMessage(msgspec.Struct):
    """Hold an order to load weights; running streams go on."""

    model: str
    version: int
    holder: str
    fence: int
    expected: int
    op: str = "version"
    mode: str = "retain"


class PlatformAnswer:
    """Read a sampler's answer."""

    def __init__(self, answer: HttpStreamResponse) -> None:
        """Take the head."""
        self._answer = answer
        self.status = answer.status
        self.headers = strip_hop_headers(answer.raw_headers)
        self.not_run = (
            const.HEADER_NOT_RUN in answer.headers
            or answer.status in _NOT_RUN_STATUSES
        )
        self.stamp = answer.headers.get(const.HEADER_STAMP, "")
        self.version = _read_number(answer.headers.get(const.HEADER_VERSIONS))
        self.load = _read_load(answer.headers.get(const.HEADER_LOAD))

    async def read_body(self) -> bytes:
        """Return the whole body; raises UpstreamError."""
        return b"".join([chunk async for chunk in self.iter_chunks()])

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises UpstreamError when it is cut short."""
        try:
            async for chunk in self._answer.iter_chunks():
                yield chunk
        except HttpError as error:
            raise UpstreamError(f"answer cut short: {error}") from error

    async def iter_events(self) -> AsyncIterator[StreamEvent]:
        """Yield whole events; raises UpstreamError when cut short."""
        buffer = b""
        async for chunk in self.iter_chunks():
            *blocks, buffer = (buffer + chunk).split(b"\n\n")
            for block in blocks:
                event = _read_event(block)
                if event is not None:
                    yield event
        if buffer.strip():
            raise UpstreamError("stream ended within an event")


class PlatformSamplers:
    """Reach all samplers, over kept-alive connections."""

    def __init__(self) -> None:
        """Begin with no connection."""
        self._pools: dict[str, HttpPool] = {}

    @asynccontextmanager
    async def call(
        self, instance: ListedInstance, call: SamplerCall
    ) -> AsyncIterator[PlatformAnswer]:
        """Make a call; leaving the context early cancels it."""
        pool = self._find_pool(instance)
        headers = _make_headers(instance, call)
        try:
            async with pool.request(
                call.method, call.target, headers, call.body
            ) as answer:
                told_id = answer.headers.get(const.HEADER_ID, call.request_id)
                if call.request_id and told_id != call.request_id:
                    raise UpstreamError(f"answer to {told_id} came instead")
                yield PlatformAnswer(answer)
        except ConnectError as error:
            raise UpstreamNotSentError(str(error)) from error
        except HttpError as error:
            raise UpstreamError(str(error)) from error

    async def order_load(
        self, instance: ListedInstance, order: LoadOrder
    ) -> LoadOrderOutcome:
        """Give an order; UNKNOWN may be carried out later."""
        message = OrderMessage(
            order.model,
            order.version,
            order.holder,
            order.fence,
            order.accepted_orders,
        )
        headers = [
            (const.HEADER_INSTANCE, instance.name),
            ("Content-Type", "application/json"),
        ]
        body = msgspec.json.encode(message)
        pool = self._find_pool(instance)
        try:
            with trio.fail_after(ORDER_TIMEOUT_S):
                answer = await pool.fetch(
                    "POST", const.PATH_ORDER, headers, body
                )
        except ConnectError:
            return LoadOrderOutcome.REFUSED
        except (HttpError, trio.TooSlowError):
            return LoadOrderOutcome.UNKNOWN
        return _ORDER_REPLIES.get(answer.status, LoadOrderOutcome.REFUSED)

    async def fetch_report(
        self, instance: ListedInstance
    ) -> Result[SamplerReport, str]:
        """Return what the sampler says of itself."""
        pool = self._find_pool(instance)
        headers = [(const.HEADER_INSTANCE, instance.name)]
        try:
            with trio.fail_after(REPORT_TIMEOUT_S):
                answer = await pool.fetch("GET", const.PATH_REPORT, headers)
            if answer.status != 200:
                return Err(f"status {answer.status}")
            message = msgspec.json.decode(answer.body, type=ReportMessage)
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError) as error:
            return Err(repr(error))
        return Ok(
            SamplerReport(
                message.busy,
                message.sequence,
                message.running,
                message.waiting,
                {model.name: model.version for model in message.models},
            )
        )

    def retain_only(self, names: set[str]) -> None:
        """Close the connections to all instances but these."""
        for name in [name for name in self._pools if name not in names]:
            self._pools.pop(name).close()

    def _find_pool(self, instance: ListedInstance) -> HttpPool:
        """Return the connections to an instance, not to its address."""
        pool = self._pools.get(instance.name)
        if pool is None or pool.address != instance.address:
            pool = HttpPool(instance.address, CONNECT_TIMEOUT_S, MOST_IDLE)
            self._pools[instance.name] = pool
        return pool


def strip_hop_headers(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection."""
    return [(n, v) for n, v in headers if n.lower() not in _HOP_HEADERS]


def _make_headers(instance: ListedInstance, call: SamplerCall) -> Headers:
    """Make the headers of a call."""
    headers = [
        (n, v) for n, v in call.headers if n.lower() not in _OWN_HEADERS
    ]
    if call.request_id:
        headers.append(("Request-Id", call.request_id))
    headers.append((const.HEADER_INSTANCE, instance.name))
    headers.append(("Deadline-Ms", str(max(1, int(call.remaining_s * 1000)))))
    if call.expected_version is not None:
        version = str(call.expected_version)
        headers.append((const.HEADER_EXPECT_VERSION, version))
    if call.after_event is not None:
        headers.append((const.HEADER_LAST_EVENT, str(call.after_event)))
    if call.priority is not None:
        headers.append((const.HEADER_PRIORITY, str(call.priority)))
    return headers


def _read_number(text: str | None) -> int | None:
    """Read a whole number; None for anything else."""
    if text is None or not text.strip().isdecimal():
        return None
    return int(text)


def _read_load(text: str | None) -> InstanceLoad | None:
    """Read running, waiting and slots; None for anything else."""
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(p.strip().isdecimal() for p in parts):
        return None
    return InstanceLoad(int(parts[0]), int(parts[1]))


def _read_event(block: bytes) -> StreamEvent | None:
    """Read one event; None when it has no number."""
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
        elif name == const.HEADER_VERSIONS:
            version = _read_number(value)
    if number is None:
        return None
    return StreamEvent(number, "\n".join(data), version, block + b"\n\n")
