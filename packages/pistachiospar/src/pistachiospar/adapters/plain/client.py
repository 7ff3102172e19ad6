"""HTTP client of any upstream."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ...ports.upstream import UpstreamCall
from ...ports.upstream import UpstreamError
from ...ports.upstream import UpstreamNotSentError
from . import const
from ..http.address import Address
from ..http.client import HttpPool
from ..http.client import HttpStreamResponse
from ..http.errors import ConnectError
from ..http.errors import HttpError
from ..http.models import Headers


class HttpUpstreamResponse:
    """An upstream's response, read as it arrives."""

    def __init__(self, response: HttpStreamResponse) -> None:
        """Wrap a response whose head was received."""
        self._response = response
        self.status = response.status
        self.content_type = response.headers.get(
            "content-type", const.DEFAULT_CONTENT_TYPE
        )

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises UpstreamError when it is truncated."""
        try:
            async for chunk in self._response.iter_chunks():
                yield chunk
        except HttpError as error:
            raise UpstreamError(f"response truncated: {error}") from error


class HttpUpstream:
    """Client of an upstream over HTTP."""

    def __init__(self, address: Address) -> None:
        """Create a client; connections are opened when they are needed."""
        self.pool = HttpPool(address)

    @asynccontextmanager
    async def call(
        self, call: UpstreamCall
    ) -> AsyncIterator[HttpUpstreamResponse]:
        """Make a call; leaving the context early closes its connection.

        Raises UpstreamNotSentError and UpstreamError.
        """
        headers = _make_headers(call)
        try:
            async with self.pool.request(
                call.method, "/" + call.path, headers, call.body
            ) as response:
                yield HttpUpstreamResponse(response)
        except ConnectError as error:
            raise UpstreamNotSentError(str(error)) from error
        except HttpError as error:
            raise UpstreamError(str(error)) from error

    async def is_reachable(self) -> bool:
        """Return whether the upstream accepts connections."""
        return await self.pool.is_reachable()


def _make_headers(call: UpstreamCall) -> Headers:
    """Return the headers; content type and key only if the call has them."""
    headers: Headers = [
        (const.HEADER_REQUEST_ID, call.request_id),
        (const.HEADER_PRIORITY, str(call.priority)),
    ]
    if call.content_type:
        headers.append(("Content-Type", call.content_type))
    if call.key:
        headers.append((const.HEADER_IDEMPOTENCY_KEY, call.key))
    return headers
