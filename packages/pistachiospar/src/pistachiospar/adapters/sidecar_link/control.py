"""Control messages in frames over one TCP connection.

A frame is a message preceded by its length, four bytes in big-endian order.
"""

from result import Err
from result import Result
import trio

from ...link.codec import decode_control_reply
from ...link.codec import encode_message
from ...link.const import CONTROL_TIMEOUT_S
from ...link.messages import ControlReply
from ...link.messages import ControlRequest
from . import const
from ..http.address import Address


class FrameError(Exception):
    """Failure to receive a frame: connection closed or frame too long."""


class FrameStream:
    """Frames over a byte stream."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        """Wrap a stream of which nothing was read."""
        self._stream = stream
        self._buffer = bytearray()

    async def send_frame(self, message: bytes) -> None:
        """Send a message as one frame."""
        length = len(message).to_bytes(const.FRAME_LENGTH_BYTES, "big")
        await self._stream.send_all(length + message)

    async def receive_frame(self) -> bytes:
        """Return the message of the next frame; raises FrameError."""
        length = int.from_bytes(
            await self._receive_exactly(const.FRAME_LENGTH_BYTES), "big"
        )
        if length > const.MAX_FRAME_BYTES:
            raise FrameError(f"frame too long: {length} bytes")
        return await self._receive_exactly(length)

    async def _receive_exactly(self, length: int) -> bytes:
        """Return exactly `length` bytes; raises FrameError."""
        while len(self._buffer) < length:
            data = await self._stream.receive_some(const.RECEIVE_CHUNK_BYTES)
            if not data:
                raise FrameError("connection closed")
            self._buffer += data
        received = bytes(self._buffer[:length])
        del self._buffer[:length]
        return received


class ControlChannel:
    """Client of one sidecar's control channel; one request at a time."""

    def __init__(self, address: Address) -> None:
        """Create a channel; the first request opens its connection."""
        self.address = address
        self._stream: trio.SocketStream | None = None
        self._frames: FrameStream | None = None
        self._lock = trio.Lock()

    async def send_request(
        self, request: ControlRequest
    ) -> Result[ControlReply, str]:
        """Send a request; return its reply, or Err after the timeout.

        After a fault the connection is closed, so that a late reply is
        never taken for the reply to another request.
        """
        try:
            with trio.fail_after(CONTROL_TIMEOUT_S):
                async with self._lock:
                    data = await self._exchange_frames(encode_message(request))
        except (OSError, FrameError, trio.TooSlowError) as error:
            return Err(repr(error))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            return Err(repr(error))
        return decode_control_reply(data)

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._stream is not None:
            self._stream.socket.close()
        self._stream = None
        self._frames = None

    async def _exchange_frames(self, message: bytes) -> bytes:
        """Send a frame and return the next one; close after a failure."""
        is_complete = False
        try:
            frames = self._frames or await self._connect()
            await frames.send_frame(message)
            data = await frames.receive_frame()
            is_complete = True
        finally:
            if not is_complete:
                self.close()
        return data

    async def _connect(self) -> FrameStream:
        """Open a connection; raises OSError."""
        self._stream = await trio.open_tcp_stream(
            self.address.host, self.address.port
        )
        self._frames = FrameStream(self._stream)
        return self._frames
