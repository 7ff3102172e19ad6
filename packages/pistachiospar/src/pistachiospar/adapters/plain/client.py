"""Support calls to any upstream over HTTP."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ...ports.upstream import UpstreamCall
from ...ports.upstream import UpstreamError
from ...ports.upstream import UpstreamNotSentError
from . import const
from ..http.client import Address
from ..http.client import HttpPool
from ..http.client import HttpStreamAnswer
from ..http.errors import ConnectError
from ..http.errors import HttpError
from ..http.models import Headers


class HttpUpstreamAnswer:
    """Read an upstream's answer."""

    def __init__(self, answer: HttpStreamAnswer) -> None:
        """Take the head."""
        self._answer = answer
        self.status = answer.status
        self.content_type = answer.headers.get(
            "content-type", const.DEFAULT_CONTENT_TYPE
        )

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises UpstreamError when it is cut short."""
        try:
            async for chunk in self._answer.chunks():
                yield chunk
        except HttpError as error:
            raise UpstreamError(f"answer cut short: {error}") from error


class HttpUpstream:
    """Reach an upstream over HTTP."""

    def __init__(self, address: Address) -> None:
        """Begin with no connection."""
        self.pool = HttpPool(address)

    @asynccontextmanager
    async def call(
        self, call: UpstreamCall
    ) -> AsyncIterator[HttpUpstreamAnswer]:
        """Make a call; leaving the context early closes its connection."""
        headers = _make_headers(call)
        try:
            async with self.pool.request(
                call.method, "/" + call.path, headers, call.body
            ) as answer:
                yield HttpUpstreamAnswer(answer)
        except ConnectError as error:
            raise UpstreamNotSentError(str(error)) from error
        except HttpError as error:
            raise UpstreamError(str(error)) from error

    async def is_reachable(self) -> bool:
        """Return whether the upstream takes connections."""
        return await self.pool.probe()


def _make_headers(call: UpstreamCall) -> Headers:
    """Make the headers of a call."""
    headers: Headers = [
        (const.HEADER_REQUEST_ID, call.request_id),
        (const.HEADER_PRIORITY, str(call.priority)),
    ]
    if call.content_type:
        headers.append(("Content-Type", call.content_type))
    if call.key:
        headers.append((const.HEADER_KEY, call.key))
    return headers
