"""HTTP client of a peer entry."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ...ports.peer import PeerLostError
from ...trainers.models import JobDone
from ...trainers.models import JobsOrder
from . import const
from ..http.address import parse_address
from ..http.client import HttpPool
from ..http.client import HttpStreamResponse
from ..http.errors import HttpError
from ..http.models import HttpResponse


class HttpEntryPeer:
    """Client of one peer entry over HTTP."""

    def __init__(self, address: str) -> None:
        """Create a client; raises ValueError for a malformed address."""
        self._pool = HttpPool(parse_address(address))

    @asynccontextmanager
    async def run_jobs(
        self, order: JobsOrder
    ) -> AsyncIterator[AsyncIterator[JobDone]]:
        """Run samples at the peer; leaving the context early cancels them.

        Raises PeerLostError.
        """
        body = msgspec.msgpack.encode(order)
        try:
            async with self._pool.request(
                "POST", const.PATH_JOBS, body=body, new_connection=True
            ) as response:
                if response.status != 200:
                    raise PeerLostError(
                        f"peer responded with status {response.status}"
                    )
                yield _iter_jobs(response)
        except HttpError as error:
            raise PeerLostError(str(error)) from error

    async def forward(
        self, method: str, target: str, body: bytes
    ) -> Result[HttpResponse, str]:
        """Forward a trainer's call to the owner of its step."""
        try:
            with trio.fail_after(const.FORWARD_TIMEOUT_S):
                return Ok(await self._pool.fetch(method, target, body=body))
        except (HttpError, trio.TooSlowError) as error:
            return Err(repr(error))


async def _iter_jobs(response: HttpStreamResponse) -> AsyncIterator[JobDone]:
    """Yield the finished samples; an empty frame is a keep-alive.

    Raises PeerLostError.
    """
    buffer = bytearray()
    chunks = response.iter_chunks()
    while True:
        try:
            with trio.fail_after(const.STREAM_IDLE_TIMEOUT_S):
                buffer += await anext(chunks)
        except StopAsyncIteration:
            return
        except (HttpError, trio.TooSlowError) as error:
            raise PeerLostError(repr(error)) from error
        while len(buffer) >= const.FRAME_LENGTH_BYTES:
            length = int.from_bytes(buffer[: const.FRAME_LENGTH_BYTES], "big")
            end = const.FRAME_LENGTH_BYTES + length
            if len(buffer) < end:
                break
            frame = bytes(buffer[const.FRAME_LENGTH_BYTES : end])
            del buffer[:end]
            if frame:
                yield _decode_job(frame)


def _decode_job(frame: bytes) -> JobDone:
    """Decode one finished sample; raises PeerLostError."""
    try:
        return msgspec.msgpack.decode(frame, type=JobDone)
    except msgspec.MsgspecError as error:
        raise PeerLostError(str(error)) from error
