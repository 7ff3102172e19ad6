"""Support serving HTTP/1.1: one task for each connection."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
import traceback
from typing import Final

import h11
import trio

from ...const import OUTCOME_UNKNOWN
from ...helpers.problems import Problem
from ...helpers.problems import refuse_input
from ...helpers.problems import refuse_not_run
from ...telemetry.logs import log_event
from .const import IDLE_TIMEOUT_S
from .const import MAX_BODY_BYTES
from .const import MAX_BUFFERED_BYTES
from .const import MAX_CONNECTIONS
from .const import MAX_HEAD_BYTES
from .const import READ_TIMEOUT_S
from .const import RECEIVE_BYTES
from .errors import LostError
from .models import Headers
from .models import HttpRequest

SERVER_ERROR: Final = 500


class Exchange:
    """Answer one request."""

    def __init__(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Begin with nothing sent."""
        self._is_stopping = is_stopping
        self._connection = connection
        self._stream = stream
        self.started = False
        self.closing = False
        self._head: bytes = b""

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole answer in one segment."""
        length = ("Content-Length", str(len(body)))
        self._begin(status, [*headers, length])
        data = self._connection.send(h11.Data(data=body)) or b""
        end = self._connection.send(h11.EndOfMessage()) or b""
        await self._stream.send_all(self._take_head() + data + end)

    async def start(self, status: int, headers: Headers) -> None:
        """Start an answer whose length is not known."""
        self.hold(status, headers)
        await self._stream.send_all(self._take_head())

    def hold(self, status: int, headers: Headers) -> None:
        """Start an answer; the head goes with the first part of the body."""
        self._begin(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        data = self._connection.send(h11.Data(data=chunk)) or b""
        await self._stream.send_all(self._take_head() + data)

    async def finish(self, trailers: Headers | None = None) -> None:
        """End the body; without this call the answer never looks whole."""
        end = h11.EndOfMessage(headers=trailers or [])
        data = self._connection.send(end) or b""
        await self._stream.send_all(self._take_head() + data)

    async def send_problem(
        self, problem: Problem, headers: Headers | None = None
    ) -> None:
        """Send a problem document."""
        all_headers = [*problem.make_headers(), *(headers or [])]
        await self.send_response(
            problem.status, all_headers, problem.encode_body()
        )

    def _take_head(self) -> bytes:
        """Return the head that is not sent yet."""
        head, self._head = self._head, b""
        return head

    def _begin(self, status: int, headers: Headers) -> None:
        """Encode the head."""
        self.started = True
        if self.closing or self._is_stopping():
            headers = [*headers, ("Connection", "close")]
        response = h11.Response(status_code=status, headers=headers)
        self._head = self._connection.send(response) or b""


@dataclass(slots=True)
class Buffered:
    """Hold how many bytes a request's body takes."""

    size: int = 0


Handler = Callable[[HttpRequest, Exchange], Awaitable[None]]


@dataclass(slots=True)
class ServerLimits:
    """Bound what callers may send and how long they may take, in seconds.

    `max_connections` and `max_buffered_bytes` hold for all of them together.
    """

    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    read_timeout_s: float = READ_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    max_connections: int = MAX_CONNECTIONS
    max_buffered_bytes: int = MAX_BUFFERED_BYTES


class HttpServer:
    """Serve HTTP/1.1 connections until told to stop."""

    def __init__(
        self, handler: Handler, limits: ServerLimits | None = None
    ) -> None:
        """Begin with no connection; the limits may change meanwhile."""
        self._handler = handler
        self.limits = limits or ServerLimits()
        self._idle: set[trio.CancelScope] = set()
        self.stopping = False
        self.active = 0
        self.connections = 0
        self._buffered = 0

    def stop(self) -> None:
        """Close idle connections; the others close after their answer."""
        self.stopping = True
        for scope in list(self._idle):
            scope.cancel()

    async def handle_connection(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it ends."""
        if self.connections >= self.limits.max_connections:
            # Not read, so that the caller may come again elsewhere.
            await trio.aclose_forcefully(stream)
            return
        self.connections += 1
        connection = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.limits.max_head_bytes,
        )
        try:
            while await self._serve_one(connection, stream):
                connection.start_next_cycle()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.LocalProtocolError,
            LostError,
        ):
            pass
        finally:
            self.connections -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_one(
        self, connection: h11.Connection, stream: trio.abc.Stream
    ) -> bool:
        """Serve one request; return whether the connection lives on."""
        held = Buffered()
        try:
            return await self._serve_buffered(connection, stream, held)
        finally:
            self._buffered -= held.size

    async def _serve_buffered(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        held: "Buffered",
    ) -> bool:
        """Serve one request whose body counts against the bound."""
        exchange = Exchange(connection, stream, lambda: self.stopping)
        try:
            request = await self._read_request(connection, stream, held)
        except h11.RemoteProtocolError as error:
            await self._refuse(exchange, connection, error)
            return False
        if request is None:
            return False
        if isinstance(request, Problem):
            exchange.closing = True
            await exchange.send_problem(request)
            return False
        self.active += 1
        try:
            await self._run_handler(connection, stream, request, exchange)
        finally:
            self.active -= 1
        if connection.our_state is not h11.DONE:
            return False
        return connection.their_state is h11.DONE and not self.stopping

    async def _refuse(
        self,
        exchange: Exchange,
        connection: h11.Connection,
        error: h11.RemoteProtocolError,
    ) -> None:
        """Answer a malformed request."""
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        exchange.closing = True
        status = error.error_status_hint
        kind = "oversized-head" if status == 431 else "malformed-request"
        await exchange.send_problem(refuse_input(kind, str(error), status))

    async def _run_handler(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        request: HttpRequest,
        exchange: Exchange,
    ) -> None:
        """Run the handler; cancel it when the caller goes away."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._watch_caller, connection, stream, nursery.cancel_scope
            )
            await self._run_guarded(request, exchange)
            nursery.cancel_scope.cancel()

    async def _run_guarded(
        self, request: HttpRequest, exchange: Exchange
    ) -> None:
        """Run the handler; a fault of it ends only this request."""
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
            if not exchange.started:
                exchange.closing = True
                problem = Problem(SERVER_ERROR, "internal-error", "see log")
                await exchange.send_problem(
                    replace(problem, outcome=OUTCOME_UNKNOWN)
                )

    async def _watch_caller(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        scope: trio.CancelScope,
    ) -> None:
        """Cancel the scope when the caller closes its side."""
        try:
            data = await stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
        connection.receive_data(bytes(data))
        if not data:
            scope.cancel()

    async def _read_request(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        held: "Buffered",
    ) -> HttpRequest | Problem | None:
        """Read a whole request; None when the caller is gone."""
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                if connection.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    await stream.send_all(connection.send(go_on) or b"")
                if not await self._receive(connection, stream, head is None):
                    return None
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                held.size += len(event.data)
                self._buffered += len(event.data)
                if self._buffered > self.limits.max_buffered_bytes:
                    return refuse_not_run("busy", "too much is being read")
                if len(body) > self.limits.max_body_bytes:
                    detail = f"over {self.limits.max_body_bytes} bytes"
                    return refuse_input("oversized-body", detail, 413)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _make_request(head, bytes(body))
            else:
                return None

    async def _receive(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        idle: bool,
    ) -> bool:
        """Receive bytes; return whether to go on."""
        limits = self.limits
        timeout = limits.idle_timeout_s if idle else limits.read_timeout_s
        with trio.move_on_after(timeout) as scope:
            if idle:
                self._idle.add(scope)
                if self.stopping:
                    scope.cancel()
            try:
                data = await stream.receive_some(RECEIVE_BYTES)
            finally:
                self._idle.discard(scope)
            connection.receive_data(bytes(data))
            return bool(data) or not idle
        return False


def _make_request(head: h11.Request, body: bytes) -> HttpRequest:
    """Make the request from its parts."""
    target = head.target.decode("ascii", "replace")
    path, _, query = target.partition("?")
    raw = [
        (name.decode("ascii"), value.decode("latin-1"))
        for name, value in head.headers.raw_items()
    ]
    headers = {name.lower(): value for name, value in raw}
    method = head.method.decode("ascii")
    return HttpRequest(method, path, query, headers, body, raw, target)
