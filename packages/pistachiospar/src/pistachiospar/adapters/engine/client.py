"""HTTP client of a model engine: samples, weights and other calls."""

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
from ..http.client import HttpStreamResponse
from ..http.errors import ConnectError
from ..http.errors import HttpError
from . import models
from ..plain.client import HttpUpstream


class HttpEngine(HttpUpstream):
    """Client of a model engine over HTTP."""

    @asynccontextmanager
    async def generate(
        self, call: GenerateCall
    ) -> AsyncIterator[AsyncIterator[TextChunk]]:
        """Generate a sample; leaving the context early cancels it.

        Raises UpstreamNotSentError and UpstreamError.
        """
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
            ) as response:
                if response.status != 200:
                    raise UpstreamError(
                        f"engine responded with status {response.status}"
                    )
                yield _iter_text_chunks(response)
        except ConnectError as error:
            raise UpstreamNotSentError(str(error)) from error
        except HttpError as error:
            raise UpstreamError(str(error)) from error

    async def load_weights(self, call: LoadWeightsCall) -> Result[None, str]:
        """Load weights; after an Err it is unknown what the engine holds."""
        request = models.LoadRequest(
            call.model, call.version, call.source, call.fence
        )
        body = msgspec.json.encode(request)
        try:
            with trio.fail_after(const.LOAD_TIMEOUT_S):
                response = await self.pool.fetch(
                    "POST", const.PATH_LOAD, body=body
                )
        except (HttpError, trio.TooSlowError) as error:
            return Err(repr(error))
        if response.status != 200:
            detail = response.body.decode("utf-8", "replace")
            return Err(
                f"engine responded with status {response.status}: {detail}"
            )
        return Ok(None)

    async def read_versions(self) -> Result[dict[str, int], str]:
        """Return the version that the engine has loaded, by model."""
        try:
            with trio.fail_after(const.READ_TIMEOUT_S):
                response = await self.pool.fetch("GET", const.PATH_VERSIONS)
            if response.status != 200:
                return Err(f"engine responded with status {response.status}")
            loaded = msgspec.json.decode(
                response.body, type=list[models.ModelVersion]
            )
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError) as error:
            return Err(repr(error))
        return Ok({item.model: item.version for item in loaded})


async def _iter_text_chunks(
    response: HttpStreamResponse,
) -> AsyncIterator[TextChunk]:
    """Yield the chunks of an event stream.

    Raises UpstreamError for a bad event or when the last one is missing.
    """
    buffer = b""
    async for chunk in response.iter_chunks():
        buffer += chunk
        *events, buffer = buffer.split(const.SSE_EVENT_END)
        for event in events:
            data = event.removeprefix(const.SSE_DATA_PREFIX)
            if data == const.SSE_DONE:
                return
            yield _decode_text_chunk(data)
    raise UpstreamError("event stream ended before its last event")


def _decode_text_chunk(data: bytes) -> TextChunk:
    """Decode the data of one event; raises UpstreamError."""
    try:
        part = msgspec.json.decode(data, type=models.CompletionResponse)
    except msgspec.MsgspecError as error:
        raise UpstreamError(f"bad event: {error}") from error
    return TextChunk(part.choices[0].text, part.choices[0].tokens)
