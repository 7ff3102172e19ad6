"""Support model engines over HTTP: samples, weights, any other call."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ...ports.upstream import GenerateCall
from ...ports.upstream import LoadWeightsCall
from ...ports.upstream import TextChunk
from ...ports.upstream import UpstreamError
from ...ports.upstream import UpstreamNotSentError
from . import const
from ..http.client import HttpStreamAnswer
from ..http.errors import ConnectError
from ..http.errors import HttpError
from . import models
from ..plain.client import HttpUpstream


class HttpEngine(HttpUpstream):
    """Reach a model engine over HTTP."""

    @asynccontextmanager
    async def generate(
        self, call: GenerateCall
    ) -> AsyncIterator[AsyncIterator[TextChunk]]:
        """Generate a sample; leaving the context early cancels it."""
        request = models.CompletionRequest(
            model=call.model,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            stream=True,
            priority=call.priority,
            request_id=call.request_id,
            resume_text=call.text,
            resume_tokens=call.tokens,
        )
        body = msgspec.json.encode(request)
        try:
            async with self.pool.request(
                "POST", const.PATH_COMPLETIONS, body=body
            ) as answer:
                if answer.status != 200:
                    raise UpstreamError(f"engine status {answer.status}")
                yield _read_pieces(answer)
        except ConnectError as error:
            raise UpstreamNotSentError(str(error)) from error
        except HttpError as error:
            raise UpstreamError(str(error)) from error

    async def load_weights(self, call: LoadWeightsCall) -> Result[None, str]:
        """Load weights; after an Err what the engine holds is in doubt."""
        request = models.LoadRequest(
            call.model, call.version, call.source, call.fence
        )
        body = msgspec.json.encode(request)
        try:
            with trio.fail_after(const.LOAD_TIMEOUT_S):
                answer = await self.pool.fetch(
                    "POST", const.PATH_LOAD, body=body
                )
        except (HttpError, trio.TooSlowError) as error:
            return Err(repr(error))
        if answer.status != 200:
            detail = answer.body.decode("utf-8", "replace")
            return Err(f"status {answer.status}: {detail}")
        return Ok(None)

    async def read_versions(self) -> Result[dict[str, int], str]:
        """Return the version that the engine holds of each model."""
        try:
            with trio.fail_after(const.READ_TIMEOUT_S):
                answer = await self.pool.fetch("GET", const.PATH_VERSIONS)
            if answer.status != 200:
                return Err(f"status {answer.status}")
            found = msgspec.json.decode(
                answer.body, type=list[models.ModelVersion]
            )
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError) as error:
            return Err(repr(error))
        return Ok({item.model: item.version for item in found})


async def _read_pieces(answer: HttpStreamAnswer) -> AsyncIterator[TextChunk]:
    """Yield the pieces of an event stream; raises UpstreamError."""
    buffer = b""
    async for chunk in answer.chunks():
        buffer += chunk
        *events, buffer = buffer.split(const.EVENT_END)
        for event in events:
            data = event.removeprefix(const.EVENT_PREFIX)
            if data == const.EVENT_DONE:
                return
            yield _read_piece(data)
    raise UpstreamError("event stream ended without its last event")


def _read_piece(data: bytes) -> TextChunk:
    """Read one event."""
    try:
        part = msgspec.json.decode(data, type=models.CompletionResponse)
    except msgspec.MsgspecError as error:
        raise UpstreamError(f"bad event: {error}") from error
    return TextChunk(part.choices[0].text, part.choices[0].tokens)
