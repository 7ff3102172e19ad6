"""Support HTTP/1.1 calls over kept-alive connections."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
import re
import socket

import h11
import trio

from .const import CONNECT_TIMEOUT_S
from .const import KEEP_ALIVE_MARGIN_S
from .const import POOL_IDLE_S
from .const import POOL_MAX_IDLE
from .const import RECEIVE_BYTES
from .const import UNACKED_TIMEOUT_MS
from .errors import ConnectError
from .errors import LostError
from .models import Headers
from .models import HttpAnswer


@dataclass(frozen=True, slots=True)
class Address:
    """Name a process by IP number and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`."""
        return f"{self.host}:{self.port}"


_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)")


def parse_address(text: str) -> Address:
    """Parse `host:port`; raises ValueError."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


class HttpStreamAnswer:
    """Hold the head of an answer; iterate to read the body."""

    def __init__(
        self, head: h11.Response, connection: "HttpConnection"
    ) -> None:
        """Take the head."""
        self.status = head.status_code
        self.raw_headers = [
            (name.decode("ascii"), value.decode("latin-1"))
            for name, value in head.headers
        ]
        self.headers = dict(self.raw_headers)
        self.trailers: dict[str, str] = {}
        self._connection = connection

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises LostError when it is cut short."""
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.trailers = {
                    name.decode("ascii"): value.decode("latin-1")
                    for name, value in event.headers
                }
                return
            else:
                raise LostError("connection closed within the body")

    async def read(self) -> bytes:
        """Return the whole body; raises LostError."""
        parts = [part async for part in self.chunks()]
        return b"".join(parts)


class HttpConnection:
    """Hold one client connection."""

    def __init__(self, stream: trio.abc.Stream, now: float) -> None:
        """Begin idle."""
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self.idle_since = now
        self.idle_limit_s = POOL_IDLE_S
        self.poisoned = False

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> HttpStreamAnswer:
        """Send a request and return the head of its answer."""
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._h11.send(request) or b""
        data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LostError(str(error)) from error
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Response):
                answer = HttpStreamAnswer(event, self)
                self._learn_idle_limit(answer.headers)
                return answer
            if not isinstance(event, h11.InformationalResponse):
                raise LostError("connection closed before the answer")

    async def next_event(self) -> h11.Event:
        """Return the next event; raises LostError."""
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise LostError(str(error)) from error
            if isinstance(event, h11.Event):
                return event
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                raise LostError(str(error)) from error
            self._h11.receive_data(bytes(data))

    def recycle(self, now: float) -> bool:
        """Make ready for the next request; return whether that works."""
        if self.poisoned or self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        if self._h11.trailing_data[0]:
            return False
        self._h11.start_next_cycle()
        self.idle_since = now
        return True

    def is_fresh(self, now: float) -> bool:
        """Return whether the idle connection may take a request.

        One that the other side closed, or on which bytes arrived that
        belong to no request, must not.
        """
        if now - self.idle_since >= self.idle_limit_s:
            return False
        if not isinstance(self._stream, trio.SocketStream):
            return True
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            # trio's own recv would wait; the plain socket's does not.
            _raw_socket(self._stream).recv(1, flags)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close at once."""
        if isinstance(self._stream, trio.SocketStream):
            self._stream.socket.close()

    def _learn_idle_limit(self, headers: dict[str, str]) -> None:
        """Take the time for which the other side keeps it open."""
        found = _KEEP_ALIVE_TIMEOUT.search(headers.get("keep-alive", ""))
        if found is not None:
            limit_s = float(found[1]) - KEEP_ALIVE_MARGIN_S
            self.idle_limit_s = min(POOL_IDLE_S, limit_s)


def _raw_socket(stream: trio.SocketStream) -> socket.socket:
    """Return a view of the socket below a stream."""
    raw: socket.socket = stream.socket._sock  # type: ignore[attr-defined]
    return raw


class HttpPool:
    """Hold the connections to one address."""

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        most_idle: int = POOL_MAX_IDLE,
    ) -> None:
        """Begin with no connection."""
        self.address = address
        self.connects = 0
        self._connect_timeout_s = connect_timeout_s
        self._most_idle = most_idle
        self._idle: list[HttpConnection] = []

    @asynccontextmanager
    async def request(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        fresh: bool = False,
    ) -> AsyncIterator[HttpStreamAnswer]:
        """Send a request; the body of the answer may be read inside.

        `fresh` asks for a new connection. A Host among `headers` stands for
        the address. Raises ConnectError when nothing was sent and LostError
        when the connection ended too soon.
        """
        connection = None if fresh else self._take_idle(trio.current_time())
        if connection is None:
            connection = await self._connect()
        all_headers = [
            ("Content-Length", str(len(body))),
            *(headers or []),
        ]
        if not any(name.lower() == "host" for name, _ in all_headers):
            all_headers.insert(0, ("Host", str(self.address)))
        done = False
        try:
            yield await connection.send(method, target, all_headers, body)
            done = True
        finally:
            now = trio.current_time()
            if done and not fresh and connection.recycle(now):
                self._put_idle(connection)
            else:
                connection.close()

    async def fetch(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        fresh: bool = False,
    ) -> HttpAnswer:
        """Send a request and return the whole answer."""
        async with self.request(
            method, target, headers, body, fresh
        ) as answer:
            content = await answer.read()
            return HttpAnswer(answer.status, answer.headers, content)

    async def probe(self) -> bool:
        """Return whether a connection can be made."""
        try:
            connection = await self._connect()
        except ConnectError:
            return False
        connection.close()
        return True

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take_idle(self, now: float) -> HttpConnection | None:
        """Return the connection used last, if one is still young."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_fresh(now):
                return connection
            connection.close()
        return None

    def _put_idle(self, connection: HttpConnection) -> None:
        """Keep a connection for the next request."""
        if len(self._idle) < self._most_idle:
            self._idle.append(connection)
        else:
            connection.close()

    async def _connect(self) -> HttpConnection:
        """Open a connection; raises ConnectError."""
        try:
            with trio.fail_after(self._connect_timeout_s):
                stream = await trio.open_tcp_stream(
                    self.address.host, self.address.port
                )
        except (OSError, trio.TooSlowError) as error:
            raise ConnectError(f"{self.address}: {error!r}") from error
        stream.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS
        )
        self.connects += 1
        return HttpConnection(stream, trio.current_time())
