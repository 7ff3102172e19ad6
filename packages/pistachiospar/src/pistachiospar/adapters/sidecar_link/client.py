"""The entry's side of the link to a sidecar."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from result import Err
from result import Result

from ...link.codec import decode_reply
from ...link.codec import encode_header
from ...link.const import HEADER_ORDER
from ...link.const import HEADER_REPLY
from ...link.const import PATH_RUN
from ...link.errors import LinkLostError
from ...link.errors import LinkNotSentError
from ...link.messages import Answered
from ...link.messages import BundlePull
from ...link.messages import BundlePush
from ...link.messages import ControlRequest
from ...link.messages import RunOrder
from ...link.messages import RunReply
from ...link.messages import Settlement
from ...link.messages import SettleOrder
from ...link.messages import Status
from ...link.reply_types import expect_bundle
from ...link.reply_types import expect_settlement
from ...link.reply_types import expect_status
from . import const
from ..http.address import Address
from ..http.client import HttpPool
from ..http.client import HttpStreamResponse
from ..http.errors import ConnectError
from ..http.errors import HttpError
from .control import ControlChannel


class HttpRunStream:
    """Response to one run order, read as it arrives."""

    def __init__(self, reply: RunReply, response: HttpStreamResponse) -> None:
        """Wrap a response whose head was received."""
        self.reply = reply
        self._response = response

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises LinkLostError when it is truncated."""
        try:
            async for chunk in self._response.iter_chunks():
                yield chunk
        except HttpError as error:
            raise LinkLostError(str(error)) from error

    def read_final_versions(self) -> list[int]:
        """Return the weight versions, known once the body has been read."""
        text = self._response.trailers.get(const.TRAILER_VERSIONS, "")
        if text:
            return [int(part) for part in text.split(",")]
        if isinstance(self.reply, Answered):
            return list(self.reply.versions)
        return []


class NetworkSidecarLink:
    """Client of one sidecar over the network."""

    def __init__(self, data: Address, control: Address) -> None:
        """Create a client; connections are opened when they are needed."""
        self._pool = HttpPool(data)
        self._control = ControlChannel(control)

    @asynccontextmanager
    async def run(
        self, order: RunOrder, body: bytes
    ) -> AsyncIterator[HttpRunStream]:
        """Run an order; leaving the context early cancels it.

        Raises LinkNotSentError and LinkLostError.
        """
        headers = [(HEADER_ORDER, encode_header(order))]
        try:
            async with self._pool.request(
                "POST", PATH_RUN, headers, body
            ) as response:
                yield HttpRunStream(_read_reply(order, response), response)
        except ConnectError as error:
            raise LinkNotSentError(str(error)) from error
        except HttpError as error:
            raise LinkLostError(str(error)) from error

    async def send_control(
        self, request: ControlRequest
    ) -> Result[Status, str]:
        """Send a control request; Err after the control timeout."""
        reply = await self._control.send_request(request)
        return expect_status(reply)

    async def pull_bundle(self, epoch: int) -> Result[BundlePush, str]:
        """Return the sidecar's bundle and the key changes after an epoch."""
        reply = await self._control.send_request(BundlePull(epoch))
        return expect_bundle(reply)

    async def settle(self, order: SettleOrder) -> Result[Settlement, str]:
        """Query the outcome of a request over a new connection."""
        channel = ControlChannel(self._control.address)
        try:
            reply = await channel.send_request(order)
        finally:
            channel.close()
        return expect_settlement(reply)

    def close(self) -> None:
        """Close all connections to the sidecar."""
        self._pool.close()
        self._control.close()


def _read_reply(order: RunOrder, response: HttpStreamResponse) -> RunReply:
    """Decode the reply; raises LinkLostError unless it is for the order."""
    reply = decode_reply(response.headers.get(HEADER_REPLY, ""))
    if isinstance(reply, Err):
        raise LinkLostError(f"unreadable reply: {reply.err_value}")
    if reply.ok_value.request_id != order.request_id:
        raise LinkLostError("the reply belongs to another request")
    return reply.ok_value
