"""Support reaching a peer entry."""

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
from ..http.client import HttpPool
from ..http.client import HttpStreamAnswer
from ..http.client import parse_address
from ..http.errors import HttpError
from ..http.models import HttpAnswer


class HttpEntryPeer:
    """Reach one peer entry over HTTP."""

    def __init__(self, address: str) -> None:
        """Begin with no connection."""
        self._pool = HttpPool(parse_address(address))

    @asynccontextmanager
    async def run_jobs(
        self, order: JobsOrder
    ) -> AsyncIterator[AsyncIterator[JobDone]]:
        """Run samples at the peer; raises PeerLostError."""
        body = msgspec.msgpack.encode(order)
        try:
            async with self._pool.request(
                "POST", const.PATH_JOBS, body=body, fresh=True
            ) as answer:
                if answer.status != 200:
                    raise PeerLostError(f"status {answer.status}")
                yield _read_jobs(answer)
        except HttpError as error:
            raise PeerLostError(str(error)) from error

    async def forward(
        self, method: str, target: str, body: bytes
    ) -> Result[HttpAnswer, str]:
        """Pass a trainer's call on to the owner of its step."""
        try:
            with trio.fail_after(const.FORWARD_TIMEOUT_S):
                return Ok(await self._pool.fetch(method, target, body=body))
        except (HttpError, trio.TooSlowError) as error:
            return Err(repr(error))


async def _read_jobs(answer: HttpStreamAnswer) -> AsyncIterator[JobDone]:
    """Yield the finished samples; an empty frame only keeps alive."""
    buffer = bytearray()
    chunks = answer.chunks()
    while True:
        try:
            with trio.fail_after(const.QUIET_LIMIT_S):
                buffer += await anext(chunks)
        except StopAsyncIteration:
            return
        except (HttpError, trio.TooSlowError) as error:
            raise PeerLostError(repr(error)) from error
        while len(buffer) >= const.LENGTH_BYTES:
            size = int.from_bytes(buffer[: const.LENGTH_BYTES], "big")
            end = const.LENGTH_BYTES + size
            if len(buffer) < end:
                break
            frame = bytes(buffer[const.LENGTH_BYTES : end])
            del buffer[:end]
            if frame:
                yield _decode(frame)


def _decode(frame: bytes) -> JobDone:
    """Decode one sample; raises PeerLostError."""
    try:
        return msgspec.msgpack.decode(frame, type=JobDone)
    except msgspec.MsgspecError as error:
        raise PeerLostError(str(error)) from error
