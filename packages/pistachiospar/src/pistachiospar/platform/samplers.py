"""Calls to the platform's samplers over HTTP."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Final

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ..adapters.http.client import HttpPool
from ..adapters.http.errors import ConnectError
from ..adapters.http.errors import ConnectTimeoutError
from ..adapters.http.errors import HttpError
from ..adapters.http.errors import UnsendableError
from ..adapters.http.receive_buffer import ReceiveBuffer
from . import const
from ..const import MEBIBYTE
from ..helpers.decoding import DECODE_ERRORS
from ..ports.sampler import InstanceLoad
from ..ports.sampler import LimitListener
from ..ports.sampler import LoadOrder
from ..ports.sampler import LoadOrderOutcome
from ..ports.sampler import ProcessState
from ..ports.sampler import SamplerCall
from ..ports.sampler import SamplerReport
from ..ports.upstream import UpstreamError
from ..ports.upstream import UpstreamNotSentError
from ..ports.upstream import UpstreamUnsendableError
from ..routing.instances import ListedInstance
from ..telemetry.logs import log_event
from .instances import HeldModelMessage
from .instances import Number
from .sampler_headers import make_headers
from .sampler_responses import DECIMAL_PATTERN
from .sampler_responses import parse_load
from .sampler_responses import PlatformResponse
from .sampler_responses import STATUS_WRONG_INSTANCE

# The network delay within a region is 1 ms; a retransmission takes 1 s.
CONNECT_TIMEOUT_S: Final = 0.3
ORDER_TIMEOUT_S: Final = 1.0
REPORT_TIMEOUT_S: Final = 0.5
CHECK_TIMEOUT_S: Final = 0.1
MAX_IDLE_CONNECTIONS: Final = 64
MAX_REPORT_BYTES: Final = MEBIBYTE
MAX_LOGGED_HEADER: Final = 64
MAX_TOKENS: Final = 10**12

_ORDER_OUTCOMES: Final = {
    202: LoadOrderOutcome.ACCEPTED,
    200: LoadOrderOutcome.HOLDS,
    409: LoadOrderOutcome.CONFLICT,
    412: LoadOrderOutcome.FENCED,
}


class ReportMessage(msgspec.Struct):
    """A sampler's report; `sequence` counts the orders that it accepted.

    `born` is the Unix time of its start, in ms. `kvUsed` and `kvTotal` count
    the tokens in its memory; what isn't a number there counts as unknown.
    """

    busy: bool = False
    sequence: Number = 0
    waiting: Number = 0
    running: Number = 0
    models: list[HeldModelMessage] = []
    born: Number = 0
    kvUsed: object = None
    kvTotal: object = None


class OrderMessage(msgspec.Struct):
    """An order to load weights; running streams continue."""

    model: str
    version: int
    holder: str
    fence: int
    expected: int
    op: str = "version"
    mode: str = "retain"


class PlatformSamplerClient:
    """Client of all samplers, over persistent connections."""

    def __init__(self) -> None:
        """Set up without connections or a listener."""
        self._pools: dict[str, HttpPool] = {}
        self._buffer = ReceiveBuffer()
        self._unreadable_loads: set[str] = set()
        self.report_leaving: Callable[[ListedInstance], None] = (
            lambda instance: None
        )
        self.report_limit: LimitListener = lambda instance, limit, at: None

    @asynccontextmanager
    async def call(
        self, instance: ListedInstance, call: SamplerCall
    ) -> AsyncIterator[PlatformResponse]:
        """Make a call; leaving the context early cancels it.

        Raises UpstreamNotSentError and UpstreamError.
        """
        pool = self._find_pool(instance)
        headers = make_headers(instance, call)
        sent_at = trio.current_time()
        try:
            async with pool.request(
                call.method,
                call.target,
                headers,
                call.body,
                exchange=call.request_id,
            ) as response:
                response_id = response.headers.get(
                    const.HEADER_REQUEST_ID, call.request_id
                )
                if call.request_id and response_id != call.request_id:
                    raise UpstreamError(
                        f"received the response to request {response_id}"
                    )
                self._read_announcements(
                    instance, response.status, response.headers, sent_at
                )
                load = (
                    None
                    if response.status == STATUS_WRONG_INSTANCE
                    else self._read_load(instance, response.headers)
                )
                with self._buffer.hold() as held:
                    yield PlatformResponse(response, held, load)
        except ConnectError as error:
            raise UpstreamNotSentError(str(error)) from error
        except UnsendableError as error:
            raise UpstreamUnsendableError(str(error)) from error
        except HttpError as error:
            raise UpstreamError(str(error)) from error

    async def order_load(
        self, instance: ListedInstance, order: LoadOrder
    ) -> LoadOrderOutcome:
        """Send an order; after UNKNOWN it may still be carried out."""
        message = OrderMessage(
            order.model,
            order.version,
            order.holder,
            order.fence,
            order.accepted_orders,
        )
        headers = [
            (const.HEADER_EXPECT_INSTANCE, instance.name),
            ("Content-Type", "application/json"),
        ]
        body = msgspec.json.encode(message)
        pool = self._find_pool(instance)
        sent_at = trio.current_time()
        try:
            with trio.fail_after(ORDER_TIMEOUT_S):
                response = await pool.fetch(
                    "POST",
                    const.PATH_ORDER,
                    headers,
                    body,
                    max_bytes=MAX_REPORT_BYTES,
                )
        except ConnectError:
            return LoadOrderOutcome.REFUSED
        except (HttpError, trio.TooSlowError):
            return LoadOrderOutcome.UNKNOWN
        if response.headers.get(const.HEADER_REQUEST_ID):
            # A late second response to a call; orders have no id.
            return LoadOrderOutcome.UNKNOWN
        self._read_announcements(
            instance, response.status, response.headers, sent_at
        )
        return _ORDER_OUTCOMES.get(response.status, LoadOrderOutcome.REFUSED)

    async def fetch_report(
        self, instance: ListedInstance
    ) -> Result[SamplerReport, str]:
        """Return the sampler's report; the Err says what failed."""
        pool = self._find_pool(instance)
        headers = [(const.HEADER_EXPECT_INSTANCE, instance.name)]
        sent_at = trio.current_time()
        try:
            with trio.fail_after(REPORT_TIMEOUT_S):
                response = await pool.fetch(
                    "GET",
                    const.PATH_REPORT,
                    headers,
                    max_bytes=MAX_REPORT_BYTES,
                )
            if response.headers.get(const.HEADER_REQUEST_ID):
                return Err("received the response to a call")
            self._read_announcements(
                instance, response.status, response.headers, sent_at
            )
            if response.status != 200:
                return Err(f"status {response.status}")
            message = msgspec.json.decode(response.body, type=ReportMessage)
        except (HttpError, trio.TooSlowError, *DECODE_ERRORS) as error:
            return Err(repr(error))
        return Ok(
            SamplerReport(
                message.busy,
                message.sequence,
                message.running,
                message.waiting,
                {model.name: model.version for model in message.models},
                message.born,
                _read_tokens(message.kvUsed),
                _read_tokens(message.kvTotal),
            )
        )

    async def check_process(self, instance: ListedInstance) -> ProcessState:
        """Return whether an instance accepts connections.

        A connection that it accepts is kept for the next call.
        """
        try:
            with trio.fail_after(CHECK_TIMEOUT_S):
                await self._find_pool(instance).open_idle()
        except (ConnectTimeoutError, trio.TooSlowError):
            return ProcessState.SILENT
        except ConnectError:
            return ProcessState.GONE
        return ProcessState.RUNNING

    def is_connected(self, instance: ListedInstance) -> bool:
        """Return whether there is an idle connection to a sampler."""
        pool = self._pools.get(instance.name)
        return (
            pool is not None
            and pool.address == instance.address
            and pool.has_idle(trio.current_time())
        )

    def retain_only(self, names: set[str]) -> None:
        """Close the connections to all instances except the named ones."""
        for name in [name for name in self._pools if name not in names]:
            self._pools.pop(name).close()
        self._unreadable_loads &= names

    def _read_load(
        self, instance: ListedInstance, headers: dict[str, str]
    ) -> InstanceLoad | None:
        """Return the load that a response reports; None if it can't be read.

        A malformed report is logged once for each instance.
        """
        text = headers.get(const.HEADER_INSTANCE_LOAD)
        load = parse_load(text)
        if text is None or load is not None:
            return load
        if instance.name not in self._unreadable_loads:
            self._unreadable_loads.add(instance.name)
            log_event(
                "instance_load_unreadable",
                instance=instance.name,
                header=text[:MAX_LOGGED_HEADER],
            )
        return None

    def _read_announcements(
        self,
        instance: ListedInstance,
        status: int,
        headers: dict[str, str],
        sent_at: float,
    ) -> None:
        """Report what a response says of its instance: leaving, limit.

        A 421 is the response of another instance at the same address.
        """
        if status == STATUS_WRONG_INSTANCE:
            return
        leaving = headers.get(const.HEADER_SERVER_LEAVING, "").strip()
        if leaving == const.LEAVING:
            self.report_leaving(instance)
        limit = _read_limit(headers.get(const.HEADER_SERVER_LIMIT))
        self.report_limit(instance, limit, sent_at)

    def _find_pool(self, instance: ListedInstance) -> HttpPool:
        """Return an instance's connections, new ones for a new address."""
        pool = self._pools.get(instance.name)
        if pool is None or pool.address != instance.address:
            pool = HttpPool(
                instance.address, CONNECT_TIMEOUT_S, MAX_IDLE_CONNECTIONS
            )
            self._pools[instance.name] = pool
        return pool


def _read_tokens(value: object) -> int | None:
    """Return a number of tokens, None for anything else."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    return int(value) if 0 <= value < MAX_TOKENS else None


def _read_limit(text: str | None) -> float | None:
    """Parse a number of requests a second, None for anything else."""
    if text is None or not DECIMAL_PATTERN.fullmatch(text.strip()):
        return None
    return float(text)
