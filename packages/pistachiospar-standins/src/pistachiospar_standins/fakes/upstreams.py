"""In-memory fakes of the upstream ports: a plain service, an engine."""

from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections import Counter
from contextlib import aclosing
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec
from pistachiospar.adapters.engine.models import CompletionRequest
from pistachiospar.ports.upstream import GenerateCall
from pistachiospar.ports.upstream import LoadWeightsCall
from pistachiospar.ports.upstream import TextChunk
from pistachiospar.ports.upstream import UpstreamCall
from pistachiospar.ports.upstream import UpstreamError
from pistachiospar.ports.upstream import UpstreamNotSentError
from result import Err
from result import Ok
from result import Result
import trio

from ..engine.core import EngineCrashedError
from ..engine.core import EngineModel


@dataclass(slots=True)
class FakeResponse:
    """A response in chunks; a truncated one raises after the last.

    `chunk_interval_s` is the pause after each chunk, in seconds.
    """

    status: int
    content_type: str
    chunks: list[bytes]
    chunk_interval_s: float = 0.0
    truncated: bool = False

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises UpstreamError when it is truncated."""
        for chunk in self.chunks:
            yield chunk
            if self.chunk_interval_s:
                await trio.sleep(self.chunk_interval_s)
        if self.truncated:
            raise UpstreamError("response truncated")


@dataclass(slots=True)
class ServiceFaultSet:
    """The faults of a service.

    `lost_responses` and `truncated_responses` count down the calls that run
    but get no response, or a truncated one.
    """

    down: bool = False
    slow_factor: float = 1.0
    lost_responses: int = 0
    truncated_responses: int = 0


class FakeService:
    """A plain service that counts the runs of each request body.

    `service_duration_s` is the time that a call takes, in seconds.
    """

    def __init__(self, name: str, service_duration_s: float = 0.1) -> None:
        """Create a service without faults."""
        self.name = name
        self.service_duration_s = service_duration_s
        self.faults = ServiceFaultSet()
        self.runs: Counter[str] = Counter()
        self.running = 0

    @asynccontextmanager
    async def call(self, call: UpstreamCall) -> AsyncIterator[FakeResponse]:
        """Run a call, which counts as run from its start."""
        if self.faults.down:
            raise UpstreamNotSentError("connection refused")
        body = call.body.decode("utf-8", "replace")
        self.runs[body] += 1
        self.running += 1
        try:
            await trio.sleep(self.service_duration_s * self.faults.slow_factor)
        finally:
            self.running -= 1
        if self.faults.lost_responses > 0 or self.faults.down:
            self.faults.lost_responses -= 1
            raise UpstreamError("connection closed")
        truncated = self.faults.truncated_responses > 0
        if truncated:
            self.faults.truncated_responses -= 1
        text = f"{self.name} {call.path} {body}".encode()
        middle = len(text) // 2
        stream = call.path.startswith("stream")
        yield FakeResponse(
            200,
            "text/event-stream" if stream else "text/plain",
            [text[:middle], text[middle:]],
            0.1 if stream else 0.0,
            truncated,
        )

    async def is_reachable(self) -> bool:
        """Return whether the service accepts connections."""
        return not self.faults.down


class FakeEngine:
    """An engine in memory, reached without a network."""

    def __init__(self, model: EngineModel) -> None:
        """Serve the calls from an engine model."""
        self.model = model
        self.calls = 0

    @asynccontextmanager
    async def generate(
        self, call: GenerateCall
    ) -> AsyncIterator[AsyncIterator[TextChunk]]:
        """Generate a sample; leaving the context early cancels it."""
        self._check_running()
        async with aclosing(self._generate(call)) as chunks:
            yield chunks

    @asynccontextmanager
    async def call(self, call: UpstreamCall) -> AsyncIterator[FakeResponse]:
        """Run a completion without streaming."""
        self._check_running()
        self.calls += 1
        request = msgspec.json.decode(call.body, type=CompletionRequest)
        text: list[str] = []
        try:
            chunks = self.model.generate(
                request.model, request.prompt, request.max_tokens
            )
            async with aclosing(chunks):
                async for chunk in chunks:
                    text.append(chunk.text)
        except EngineCrashedError as error:
            raise UpstreamError(str(error)) from error
        yield FakeResponse(200, "application/json", ["".join(text).encode()])

    async def is_reachable(self) -> bool:
        """Return whether the engine accepts connections."""
        return not self.model.settings.faults.crash

    async def load_weights(self, call: LoadWeightsCall) -> Result[None, str]:
        """Load weights; after an Err the loaded version is unknown."""
        try:
            return await self.model.load_weights(
                call.model, call.version, call.fence
            )
        except EngineCrashedError as error:
            return Err(str(error))

    async def read_versions(self) -> Result[dict[str, int], str]:
        """Return the loaded version of each model."""
        await trio.sleep(0.0005)
        if self.model.settings.faults.crash:
            return Err("crashed")
        return Ok(dict(self.model.versions))

    async def _generate(
        self, call: GenerateCall
    ) -> AsyncGenerator[TextChunk, None]:
        """Yield the generated text; raises UpstreamError after a crash."""
        self.calls += 1
        chunks = self.model.generate(
            call.model, call.prompt, call.max_tokens, call.tokens
        )
        try:
            async with aclosing(chunks):
                async for chunk in chunks:
                    yield TextChunk(chunk.text, chunk.tokens)
        except EngineCrashedError as error:
            raise UpstreamError(str(error)) from error

    def _check_running(self) -> None:
        """Raise UpstreamNotSentError while the engine is crashed."""
        if self.model.settings.faults.crash:
            raise UpstreamNotSentError("connection refused")
