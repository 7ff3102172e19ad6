"""The response to one request of the HTTP server."""

from collections.abc import Callable

import h11
import trio

from ...helpers.problems import Problem
from .const import SEND_PIECE_BYTES
from .models import encode_headers
from .models import Headers


class Exchange:
    """Response to one request, sent at once or in chunks."""

    def __init__(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Wrap a connection whose request was read."""
        self._is_stopping = is_stopping
        self._connection = connection
        self._stream = stream
        self.is_started = False
        self.closes_connection = False
        self._head: bytes = b""

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete response, a large one piece by piece.

        Of a body that the caller reads slowly, no second copy is held.
        """
        length = ("Content-Length", str(len(body)))
        self._encode_head(status, [*headers, length])
        view = memoryview(body)
        for start in range(0, max(1, len(body)), SEND_PIECE_BYTES):
            piece = h11.Data(
                data=bytes(view[start : start + SEND_PIECE_BYTES])
            )
            data = self._connection.send(piece) or b""
            if start + SEND_PIECE_BYTES >= len(body):
                data += self._connection.send(h11.EndOfMessage()) or b""
            await self._stream.send_all(self._pop_head() + data)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose length is not known yet."""
        self.defer_start(status, headers)
        await self._stream.send_all(self._pop_head())

    def defer_start(self, status: int, headers: Headers) -> None:
        """Start a response; its head is sent with the first chunk."""
        self._encode_head(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Send one chunk of the body."""
        data = self._connection.send(h11.Data(data=chunk)) or b""
        await self._stream.send_all(self._pop_head() + data)

    async def finish(self, trailers: Headers | None = None) -> None:
        """End the body; without this call the response looks truncated."""
        end = h11.EndOfMessage(headers=trailers or [])
        data = self._connection.send(end) or b""
        await self._stream.send_all(self._pop_head() + data)

    async def send_problem(
        self, problem: Problem, headers: Headers | None = None
    ) -> None:
        """Send a problem document as a complete response."""
        all_headers = [*problem.make_headers(), *(headers or [])]
        await self.send_response(
            problem.status, all_headers, problem.encode_body()
        )

    def _pop_head(self) -> bytes:
        """Return the head if it is not sent yet, else nothing."""
        head, self._head = self._head, b""
        return head

    def _encode_head(self, status: int, headers: Headers) -> None:
        """Encode the head; add Connection: close when it is the last."""
        self.is_started = True
        if self.closes_connection or self._is_stopping():
            headers = [*headers, ("Connection", "close")]
        response = h11.Response(
            status_code=status, headers=encode_headers(headers)
        )
        self._head = self._connection.send(response) or b""
