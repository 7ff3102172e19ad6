"""HTTP/1.1 client with a pool of keep-alive connections."""

from collections.abc import AsyncIterator
from collections import deque
from contextlib import asynccontextmanager
import re
import socket

import h11
import trio

from .address import Address
from .const import CONNECT_TIMEOUT_S
from .const import KEEP_ALIVE_MARGIN_S
from .const import MAX_EVENTS_PER_TURN
from .const import MAX_INFORMATIONAL_RESPONSES
from .const import MAX_KNOWN_EXCHANGES
from .const import MAX_RESPONSE_BYTES
from .const import MAX_STATUS
from .const import MAX_TINY_CHUNKS
from .const import POOL_IDLE_TIMEOUT_S
from .const import POOL_MAX_IDLE_CONNECTIONS
from .const import RECEIVE_CHUNK_BYTES
from .const import TCP_USER_TIMEOUT_MS
from .const import TINY_CHUNK_BYTES
from .errors import ConnectError
from .errors import ConnectionLostError
from .errors import ConnectTimeoutError
from .errors import InvalidResponseError
from .errors import ResponseTooLargeError
from .errors import UnsendableError
from .models import encode_headers
from .models import Headers
from .models import HttpResponse


_KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout\s*=\s*(\d+)")


class HttpStreamResponse:
    """Response whose head was received and whose body is read on demand.

    `trailers` is filled once the body was read to its end.
    """

    def __init__(
        self, head: h11.Response, connection: "HttpConnection"
    ) -> None:
        """Decode the head."""
        self.status = head.status_code
        self.raw_headers = [
            (name.decode("ascii"), value.decode("latin-1"))
            for name, value in head.headers
        ]
        self.headers = dict(self.raw_headers)
        self.trailers: dict[str, str] = {}
        self._connection = connection

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raises ConnectionLostError when it is truncated, ResponseTooLargeError
        when it has too many tiny chunks.
        """
        tiny_chunks = 0
        while True:
            event = await self._connection.receive_event()
            if isinstance(event, h11.Data):
                tiny_chunks += len(event.data) < TINY_CHUNK_BYTES
                if tiny_chunks > MAX_TINY_CHUNKS:
                    raise ResponseTooLargeError("too many tiny chunks")
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.trailers = {
                    name.decode("ascii"): value.decode("latin-1")
                    for name, value in event.headers
                }
                return
            else:
                raise ConnectionLostError(
                    "connection closed before the end of the body"
                )

    async def read_body(self, max_bytes: int = MAX_RESPONSE_BYTES) -> bytes:
        """Return the complete body.

        Raises ConnectionLostError, and ResponseTooLargeError beyond
        `max_bytes`.
        """
        parts: list[bytes] = []
        size = 0
        async for part in self.iter_chunks():
            size += len(part)
            if size > max_bytes:
                raise ResponseTooLargeError(f"body exceeds {max_bytes} bytes")
            parts.append(part)
        return b"".join(parts)


class HttpConnection:
    """One client connection, used for one request at a time."""

    def __init__(self, stream: trio.abc.Stream, now: float) -> None:
        """Wrap a connected stream; `now` starts its idle time."""
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self.idle_since = now
        self.idle_timeout_s = POOL_IDLE_TIMEOUT_S
        self.is_broken = False
        self._events_in_turn = 0
        self._exchanges: deque[str] = deque(maxlen=MAX_KNOWN_EXCHANGES)

    async def send_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> HttpStreamResponse:
        """Send a request; return its response without the body.

        Raises UnsendableError, ConnectionLostError, ResponseTooLargeError and
        InvalidResponseError.
        """
        try:
            request = h11.Request(
                method=method, target=target, headers=encode_headers(headers)
            )
            data = self._h11.send(request) or b""
        except (UnicodeEncodeError, h11.LocalProtocolError) as error:
            raise UnsendableError(str(error)) from error
        data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLostError(str(error)) from error
        for _ in range(MAX_INFORMATIONAL_RESPONSES):
            event = await self.receive_event()
            if isinstance(event, h11.Response):
                # Lower ones are informational, or refused by h11.
                if event.status_code > MAX_STATUS:
                    raise InvalidResponseError(f"status {event.status_code}")
                response = HttpStreamResponse(event, self)
                self._apply_keep_alive(response.headers)
                return response
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLostError(
                    "connection closed before the response"
                )
        raise ResponseTooLargeError("too many informational responses")

    async def receive_event(self) -> h11.Event:
        """Return the next h11 event; raises ConnectionLostError."""
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionLostError(str(error)) from error
            if isinstance(event, h11.Event):
                self._events_in_turn += 1
                if self._events_in_turn >= MAX_EVENTS_PER_TURN:
                    # One read may have thousands of tiny chunks.
                    self._events_in_turn = 0
                    await trio.lowlevel.checkpoint()
                return event
            self._events_in_turn = 0
            try:
                data = await self._stream.receive_some(RECEIVE_CHUNK_BYTES)
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                raise ConnectionLostError(str(error)) from error
            self._h11.receive_data(bytes(data))

    def prepare_reuse(self, now: float) -> bool:
        """Prepare for another request; return False if that is impossible."""
        if self.is_broken or self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        if self._h11.trailing_data[0]:
            return False
        self._h11.start_next_cycle()
        self.idle_since = now
        return True

    def record_exchange(self, exchange: str) -> None:
        """Record that a response to an exchange may come here."""
        if exchange:
            self._exchanges.append(exchange)

    def may_carry(self, exchange: str) -> bool:
        """Return whether no earlier attempt of an exchange was sent here.

        A late second response to that one would be taken for the next one's.
        """
        return not exchange or exchange not in self._exchanges

    def is_expired(self, now: float) -> bool:
        """Return whether this connection was idle for too long."""
        return now - self.idle_since >= self.idle_timeout_s

    def is_reusable(self, now: float) -> bool:
        """Return whether this idle connection can send another request.

        It can't after its idle timeout, once the server closed it, or when
        unsolicited bytes arrived.
        """
        if self.is_expired(now):
            return False
        if not isinstance(self._stream, trio.SocketStream):
            return True
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            # trio's recv would block; that of the raw socket doesn't.
            _get_raw_socket(self._stream).recv(1, flags)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the socket at once; other kinds of stream stay open."""
        if isinstance(self._stream, trio.SocketStream):
            self._stream.socket.close()

    def _apply_keep_alive(self, headers: dict[str, str]) -> None:
        """Limit the idle time to the server's Keep-Alive timeout."""
        match = _KEEP_ALIVE_TIMEOUT_PATTERN.search(
            headers.get("keep-alive", "")
        )
        if match is not None:
            limit_s = float(match[1]) - KEEP_ALIVE_MARGIN_S
            self.idle_timeout_s = min(POOL_IDLE_TIMEOUT_S, limit_s)


def _get_raw_socket(stream: trio.SocketStream) -> socket.socket:
    """Return the standard library socket that a trio stream wraps."""
    raw: socket.socket = stream.socket._sock  # type: ignore[attr-defined]
    return raw


class HttpPool:
    """Pool of connections to one address."""

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_idle: int = POOL_MAX_IDLE_CONNECTIONS,
    ) -> None:
        """Create an empty pool with room for `max_idle` idle connections."""
        self.address = address
        self.opened_connections = 0
        self._connect_timeout_s = connect_timeout_s
        self._max_idle = max_idle
        self._idle: list[HttpConnection] = []

    @asynccontextmanager
    async def request(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        new_connection: bool = False,
        exchange: str = "",
    ) -> AsyncIterator[HttpStreamResponse]:
        """Send a request; read the response's body within the context.

        `new_connection` bypasses the pool. Requests with the same `exchange`
        are attempts of one call, each on a connection of its own. A Host
        among `headers` replaces the pool's address. Raises ConnectError and
        UnsendableError when nothing was sent and ConnectionLostError when the
        connection ended too soon.
        """
        connection = (
            None
            if new_connection
            else self._pop_idle(trio.current_time(), exchange)
        )
        if connection is None:
            connection = await self._open_connection()
        connection.record_exchange(exchange)
        all_headers = [
            ("Content-Length", str(len(body))),
            *(headers or []),
        ]
        if not any(name.lower() == "host" for name, _ in all_headers):
            all_headers.insert(0, ("Host", str(self.address)))
        is_complete = False
        try:
            yield await connection.send_request(
                method, target, all_headers, body
            )
            is_complete = True
        finally:
            now = trio.current_time()
            if (
                is_complete
                and not new_connection
                and connection.prepare_reuse(now)
            ):
                self._store_idle(connection)
            else:
                connection.close()

    async def fetch(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        new_connection: bool = False,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> HttpResponse:
        """Send a request; return the complete response.

        Raises the errors of `request`, and ResponseTooLargeError beyond
        `max_bytes` of body.
        """
        async with self.request(
            method, target, headers, body, new_connection
        ) as response:
            content = await response.read_body(max_bytes)
            return HttpResponse(response.status, response.headers, content)

    async def is_reachable(self) -> bool:
        """Return whether the address accepts a connection."""
        try:
            connection = await self._open_connection()
        except ConnectError:
            return False
        connection.close()
        return True

    async def open_idle(self) -> None:
        """Open a connection for later requests; raises ConnectError."""
        self._store_idle(await self._open_connection())

    def has_idle(self, now: float) -> bool:
        """Return whether a connection is idle, and not for too long.

        It may have been closed by the server since.
        """
        return any(not connection.is_expired(now) for connection in self._idle)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _pop_idle(self, now: float, exchange: str) -> HttpConnection | None:
        """Return the last used reusable connection, or None.

        Those of earlier attempts of the exchange stay idle.
        """
        for connection in reversed(self._idle):
            if not connection.may_carry(exchange):
                continue
            self._idle.remove(connection)
            if connection.is_reusable(now):
                return connection
            connection.close()
        return None

    def _store_idle(self, connection: HttpConnection) -> None:
        """Keep a connection for reuse, or close it when the pool is full."""
        if len(self._idle) < self._max_idle:
            self._idle.append(connection)
        else:
            connection.close()

    async def _open_connection(self) -> HttpConnection:
        """Open a connection; raises ConnectError, also on timeout."""
        try:
            with trio.fail_after(self._connect_timeout_s):
                stream = await trio.open_tcp_stream(
                    self.address.host, self.address.port
                )
        except trio.TooSlowError as error:
            raise ConnectTimeoutError(f"{self.address}: {error!r}") from error
        except (OSError, ValueError, OverflowError) as error:
            # The last two are an address that names no host or port.
            raise ConnectError(f"{self.address}: {error!r}") from error
        stream.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self.opened_connections += 1
        return HttpConnection(stream, trio.current_time())
