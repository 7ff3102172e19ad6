"""HTTP/1.1 server with one task per connection."""

from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
import traceback

import h11
import trio

from ...const import OUTCOME_UNKNOWN
from ...helpers.problems import Problem
from ...helpers.problems import refuse_input
from ...helpers.problems import refuse_not_run
from ...telemetry.containment import contain_errors
from ...telemetry.logs import log_event
from .const import IDLE_TIMEOUT_S
from .const import MAX_BODY_BYTES
from .const import MAX_BUFFERED_BYTES
from .const import MAX_CONNECTIONS
from .const import MAX_HEAD_BYTES
from .const import READ_TIMEOUT_S
from .const import RECEIVE_CHUNK_BYTES
from .errors import ConnectionLostError
from .exchange import Exchange
from .models import HttpRequest


@dataclass(slots=True)
class BufferedBody:
    """Number of bytes buffered for one request's body."""

    size_bytes: int = 0


Handler = Callable[[HttpRequest, Exchange], Awaitable[None]]


@dataclass(slots=True)
class ServerLimits:
    """Limits on what callers may send and how long they may take.

    `max_connections` and `max_buffered_bytes` apply to all callers together.
    """

    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    read_timeout_s: float = READ_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    max_connections: int = MAX_CONNECTIONS
    max_buffered_bytes: int = MAX_BUFFERED_BYTES


class HttpServer:
    """Server of HTTP/1.1 connections; the limits may change at any time."""

    def __init__(
        self, handler: Handler, limits: ServerLimits | None = None
    ) -> None:
        """Create a server that passes each request to `handler`."""
        self._handler = handler
        self.limits = limits or ServerLimits()
        self._idle_scopes: set[trio.CancelScope] = set()
        self._handler_scopes: set[trio.CancelScope] = set()
        self.is_stopping = False
        self.active_requests = 0
        self.open_connections = 0
        self._buffered_bytes = 0

    def stop(self) -> None:
        """Close idle connections; the others close after their response."""
        self.is_stopping = True
        for scope in list(self._idle_scopes):
            scope.cancel()

    def finish(self) -> int:
        """End the requests in flight; return how many there are.

        Callers without a response get one that says that the outcome isn't
        known; responses that were started are broken off.
        """
        for scope in self._handler_scopes:
            scope.cancel()
        return len(self._handler_scopes)

    async def handle_connection(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until either side closes it."""
        if self.open_connections >= self.limits.max_connections:
            # Nothing is read, so the caller can safely retry elsewhere.
            await trio.aclose_forcefully(stream)
            return
        self.open_connections += 1
        connection = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.limits.max_head_bytes,
        )
        try:
            with contain_errors("connection"):
                await self._serve_requests(connection, stream)
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_requests(
        self, connection: h11.Connection, stream: trio.abc.Stream
    ) -> None:
        """Serve one request after the other."""
        try:
            while await self._serve_request(connection, stream):
                connection.start_next_cycle()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.LocalProtocolError,
            ConnectionLostError,
        ):
            pass

    async def _serve_request(
        self, connection: h11.Connection, stream: trio.abc.Stream
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        buffered = BufferedBody()
        try:
            return await self._serve_exchange(connection, stream, buffered)
        finally:
            self._buffered_bytes -= buffered.size_bytes

    async def _serve_exchange(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        buffered: "BufferedBody",
    ) -> bool:
        """Serve one request; count its body towards `max_buffered_bytes`."""
        exchange = Exchange(connection, stream, lambda: self.is_stopping)
        try:
            request = await self._read_request(connection, stream, buffered)
        except h11.RemoteProtocolError as error:
            await self._refuse_malformed(exchange, connection, error)
            return False
        if request is None:
            return False
        if isinstance(request, Problem):
            exchange.closes_connection = True
            await exchange.send_problem(request)
            return False
        self.active_requests += 1
        try:
            await self._run_until_disconnect(
                connection, stream, request, exchange
            )
        finally:
            self.active_requests -= 1
        if connection.our_state is not h11.DONE:
            return False
        return connection.their_state is h11.DONE and not self.is_stopping

    async def _refuse_malformed(
        self,
        exchange: Exchange,
        connection: h11.Connection,
        error: h11.RemoteProtocolError,
    ) -> None:
        """Refuse a malformed request, unless a response was started."""
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        exchange.closes_connection = True
        status = error.error_status_hint
        kind = "oversized-head" if status == 431 else "malformed-request"
        await exchange.send_problem(refuse_input(kind, str(error), status))

    async def _run_until_disconnect(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        request: HttpRequest,
        exchange: Exchange,
    ) -> None:
        """Run the handler; cancel it when the caller disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_on_disconnect,
                connection,
                stream,
                nursery.cancel_scope,
            )
            with trio.CancelScope() as scope:
                self._handler_scopes.add(scope)
                try:
                    await self._call_handler(request, exchange)
                finally:
                    self._handler_scopes.discard(scope)
            if scope.cancelled_caught:
                await _send_last(exchange, _ENDED_BY_STOP)
            nursery.cancel_scope.cancel()

    async def _call_handler(
        self, request: HttpRequest, exchange: Exchange
    ) -> None:
        """Run the handler; an exception ends only this request."""
        try:
            await self._handler(request, exchange)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.LocalProtocolError,
        ):
            return
        except Exception as error:
            log_event("handler_failed", path=request.path, error=repr(error))
            traceback.print_exc()
            await _send_last(exchange, _INTERNAL_ERROR)

    async def _cancel_on_disconnect(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        scope: trio.CancelScope,
    ) -> None:
        """Cancel the scope when the caller closes the connection."""
        try:
            data = await stream.receive_some(RECEIVE_CHUNK_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
        connection.receive_data(bytes(data))
        if not data:
            scope.cancel()

    async def _read_request(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        buffered: "BufferedBody",
    ) -> HttpRequest | Problem | None:
        """Read a complete request; None on timeout or disconnect.

        A Problem says which limit the request exceeds.
        """
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                if connection.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    await stream.send_all(
                        connection.send(continue_response) or b""
                    )
                if not await self._receive(connection, stream, head is None):
                    return None
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                buffered.size_bytes += len(event.data)
                self._buffered_bytes += len(event.data)
                if self._buffered_bytes > self.limits.max_buffered_bytes:
                    return refuse_not_run(
                        "busy", "too many request bytes are buffered"
                    )
                if len(body) > self.limits.max_body_bytes:
                    detail = f"over {self.limits.max_body_bytes} bytes"
                    return refuse_input("oversized-body", detail, 413)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _build_request(head, bytes(body))
            else:
                return None

    async def _receive(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        is_idle: bool,
    ) -> bool:
        """Receive bytes; return False on timeout or when closed while idle."""
        limits = self.limits
        timeout_s = limits.idle_timeout_s if is_idle else limits.read_timeout_s
        with trio.move_on_after(timeout_s) as idle_scope:
            if is_idle:
                self._idle_scopes.add(idle_scope)
                if self.is_stopping:
                    idle_scope.cancel()
            try:
                data = await stream.receive_some(RECEIVE_CHUNK_BYTES)
            finally:
                self._idle_scopes.discard(idle_scope)
            connection.receive_data(bytes(data))
            return bool(data) or not is_idle
        return False


_ENDED_BY_STOP = Problem(504, "stopping", "the process stops", OUTCOME_UNKNOWN)
_INTERNAL_ERROR = Problem(
    500, "internal-error", "see the process log", OUTCOME_UNKNOWN
)


async def _send_last(exchange: Exchange, problem: Problem) -> None:
    """Send a problem unless a response was started or the caller is gone."""
    if exchange.is_started:
        return
    exchange.closes_connection = True
    with suppress(
        trio.BrokenResourceError,
        trio.ClosedResourceError,
        h11.LocalProtocolError,
    ):
        await exchange.send_problem(problem)


def _build_request(head: h11.Request, body: bytes) -> HttpRequest:
    """Decode the head and join it with the body."""
    target = head.target.decode("ascii", "replace")
    path, _, query = target.partition("?")
    raw_headers = [
        (name.decode("ascii"), value.decode("latin-1"))
        for name, value in head.headers.raw_items()
    ]
    headers = {name.lower(): value for name, value in raw_headers}
    method = head.method.decode("ascii")
    return HttpRequest(method, path, query, headers, body, raw_headers, target)
