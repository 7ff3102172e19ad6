"""Support the entry's side of the link: h11 and pynng."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pynng
from result import Err
from result import Ok
from result import Result
import trio

from ...link.codec import decode_control_reply
from ...link.codec import decode_reply
from ...link.codec import encode_header
from ...link.codec import encode_message
from ...link.const import CONTROL_TIMEOUT_S
from ...link.const import HEADER_ORDER
from ...link.const import HEADER_REPLY
from ...link.const import PATH_RUN
from ...link.errors import LinkLostError
from ...link.errors import LinkNotSentError
from ...link.messages import Answered
from ...link.messages import BundlePull
from ...link.messages import BundlePush
from ...link.messages import ControlReply
from ...link.messages import ControlRequest
from ...link.messages import RunOrder
from ...link.messages import RunReply
from ...link.messages import Settlement
from ...link.messages import SettleOrder
from ...link.messages import Status
from . import const
from ..http.client import Address
from ..http.client import HttpPool
from ..http.client import HttpStreamAnswer
from ..http.errors import ConnectError
from ..http.errors import HttpError


class HttpRunStream:
    """Read the answer to one run order."""

    def __init__(self, reply: RunReply, answer: HttpStreamAnswer) -> None:
        """Take the head."""
        self.reply = reply
        self._answer = answer

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises LinkLostError when it is cut short."""
        try:
            async for chunk in self._answer.chunks():
                yield chunk
        except HttpError as error:
            raise LinkLostError(str(error)) from error

    def final_versions(self) -> list[int]:
        """Return the weight versions known once the body is read."""
        text = self._answer.trailers.get(const.TRAILER_VERSIONS, "")
        if text:
            return [int(part) for part in text.split(",")]
        if isinstance(self.reply, Answered):
            return list(self.reply.versions)
        return []


class NetworkSidecarLink:
    """Reach one sidecar over the network."""

    def __init__(self, data: Address, control: Address) -> None:
        """Begin with no connection."""
        self._pool = HttpPool(data)
        self._control = control
        self._socket: pynng.Req0 | None = None

    @asynccontextmanager
    async def run(
        self, order: RunOrder, body: bytes
    ) -> AsyncIterator[HttpRunStream]:
        """Run an order; raises LinkNotSentError and LinkLostError."""
        headers = [(HEADER_ORDER, encode_header(order))]
        try:
            async with self._pool.request(
                "POST", PATH_RUN, headers, body
            ) as answer:
                yield HttpRunStream(_read_reply(order, answer), answer)
        except ConnectError as error:
            raise LinkNotSentError(str(error)) from error
        except HttpError as error:
            raise LinkLostError(str(error)) from error

    async def send_control(
        self, request: ControlRequest
    ) -> Result[Status, str]:
        """Send a heartbeat or a bundle within the control timeout."""
        reply = await self._ask(request)
        match reply:
            case Ok(Status() as status):
                return Ok(status)
            case Err():
                return reply
        return Err("not a status")

    async def pull_bundle(self, epoch: int) -> Result[BundlePush, str]:
        """Return the sidecar's bundle and the key changes after an epoch."""
        reply = await self._ask(BundlePull(epoch))
        match reply:
            case Ok(BundlePush() as push):
                return Ok(push)
            case Err():
                return reply
        return Err("not a bundle")

    async def settle(self, order: SettleOrder) -> Result[Settlement, str]:
        """Ask over a fresh link what became of a request."""
        socket = _dial(self._control)
        try:
            reply = await _exchange(socket, order)
        finally:
            socket.close()
        match reply:
            case Ok(Settlement() as settlement):
                return Ok(settlement)
            case Err():
                return reply
        return Err("not a settlement")

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()
        self._close_control()

    async def _ask(self, request: ControlRequest) -> Result[ControlReply, str]:
        """Exchange messages over the kept socket."""
        if self._socket is None:
            self._socket = _dial(self._control)
        reply = await _exchange(self._socket, request)
        if isinstance(reply, Err):
            self._close_control()
        return reply

    def _close_control(self) -> None:
        """Close the control socket, so that the next call dials anew."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def _dial(address: Address) -> pynng.Req0:
    """Open a control socket; it connects in the background."""
    return pynng.Req0(
        dial=f"tcp://{address}",
        block_on_dial=False,
        resend_time=const.NEVER_RESEND_MS,
        reconnect_time_min=const.RECONNECT_MIN_MS,
        reconnect_time_max=const.RECONNECT_MAX_MS,
        recv_max_size=const.CONTROL_MAX_BYTES,
    )


async def _exchange(
    socket: pynng.Req0, request: ControlRequest
) -> Result[ControlReply, str]:
    """Send one request and wait for its reply."""
    try:
        with trio.fail_after(CONTROL_TIMEOUT_S):
            await socket.asend(encode_message(request))
            data = await socket.arecv()
    except (pynng.NNGException, trio.TooSlowError) as error:
        return Err(repr(error))
    return decode_control_reply(data)


def _read_reply(order: RunOrder, answer: HttpStreamAnswer) -> RunReply:
    """Read the head; raises LinkLostError when it is another's."""
    reply = decode_reply(answer.headers.get(HEADER_REPLY, ""))
    if isinstance(reply, Err):
        raise LinkLostError(f"unreadable reply: {reply.err_value}")
    if reply.ok_value.request_id != order.request_id:
        raise LinkLostError("the reply belongs to another request")
    return reply.ok_value
