"""Support control messages: frames over one TCP connection, in turn.

A frame is its length, four bytes with the highest first, and a message.
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
from ..http.client import Address


class FrameError(Exception):
    """Tell that a connection ended or sent what is not a frame."""


class FrameStream:
    """Send and receive frames over a stream."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        """Begin with nothing received."""
        self._stream = stream
        self._buffer = bytearray()

    async def send(self, message: bytes) -> None:
        """Send one frame."""
        size = len(message).to_bytes(const.LENGTH_BYTES, "big")
        await self._stream.send_all(size + message)

    async def receive(self) -> bytes:
        """Return one frame; raises FrameError."""
        size = int.from_bytes(await self._take(const.LENGTH_BYTES), "big")
        if size > const.CONTROL_MAX_BYTES:
            raise FrameError(f"a frame of {size} bytes")
        return await self._take(size)

    async def _take(self, size: int) -> bytes:
        """Return so many bytes; raises FrameError."""
        while len(self._buffer) < size:
            data = await self._stream.receive_some(const.RECEIVE_BYTES)
            if not data:
                raise FrameError("connection closed")
            self._buffer += data
        taken = bytes(self._buffer[:size])
        del self._buffer[:size]
        return taken


class ControlChannel:
    """Exchange control messages with one sidecar."""

    def __init__(self, address: Address) -> None:
        """Begin without a connection."""
        self.address = address
        self._stream: trio.SocketStream | None = None
        self._frames: FrameStream | None = None
        self._turn = trio.Lock()

    async def exchange(
        self, request: ControlRequest
    ) -> Result[ControlReply, str]:
        """Send a request and return its reply within the timeout.

        After a fault the connection is closed, so that a late reply is
        never taken for another's.
        """
        try:
            with trio.fail_after(CONTROL_TIMEOUT_S):
                async with self._turn:
                    data = await self._exchange(encode_message(request))
        except (OSError, FrameError, trio.TooSlowError) as error:
            return Err(repr(error))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            return Err(repr(error))
        return decode_control_reply(data)

    def close(self) -> None:
        """Close the connection; the next exchange opens a new one."""
        if self._stream is not None:
            self._stream.socket.close()
        self._stream = None
        self._frames = None

    async def _exchange(self, message: bytes) -> bytes:
        """Send a frame and return the next one."""
        done = False
        try:
            frames = self._frames or await self._connect()
            await frames.send(message)
            data = await frames.receive()
            done = True
        finally:
            if not done:
                self.close()
        return data

    async def _connect(self) -> FrameStream:
        """Open a connection; raises OSError."""
        self._stream = await trio.open_tcp_stream(
            self.address.host, self.address.port
        )
        self._frames = FrameStream(self._stream)
        return self._frames
