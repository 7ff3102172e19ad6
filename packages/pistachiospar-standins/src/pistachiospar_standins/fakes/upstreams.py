"""Support the upstream ports in memory: a plain service and an engine."""

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
class FakeAnswer:
    """Hold an answer in parts; a cut one raises at its end."""

    status: int
    content_type: str
    parts: list[bytes]
    pause_s: float = 0.0
    cut: bool = False

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises UpstreamError when it is cut short."""
        for part in self.parts:
            yield part
            if self.pause_s:
                await trio.sleep(self.pause_s)
        if self.cut:
            raise UpstreamError("answer cut short")


@dataclass(slots=True)
class ServiceFaultSet:
    """Set the faults of a service; times are in seconds.

    `lose_answers` and `cut_answers` count down.
    """

    down: bool = False
    slow_factor: float = 1.0
    lose_answers: int = 0
    cut_answers: int = 0


class FakeService:
    """Run plain calls and count the runs of each key and body."""

    def __init__(self, name: str, service_s: float = 0.1) -> None:
        """Begin with no run."""
        self.name = name
        self.service_s = service_s
        self.faults = ServiceFaultSet()
        self.runs: Counter[str] = Counter()
        self.running = 0

    @asynccontextmanager
    async def call(self, call: UpstreamCall) -> AsyncIterator[FakeAnswer]:
        """Run a call; it is counted when it begins."""
        if self.faults.down:
            raise UpstreamNotSentError("refused")
        body = call.body.decode("utf-8", "replace")
        self.runs[body] += 1
        self.running += 1
        try:
            await trio.sleep(self.service_s * self.faults.slow_factor)
        finally:
            self.running -= 1
        if self.faults.lose_answers > 0 or self.faults.down:
            self.faults.lose_answers -= 1
            raise UpstreamError("connection closed")
        cut = self.faults.cut_answers > 0
        if cut:
            self.faults.cut_answers -= 1
        text = f"{self.name} {call.path} {body}".encode()
        middle = len(text) // 2
        stream = call.path.startswith("stream")
        yield FakeAnswer(
            200,
            "text/event-stream" if stream else "text/plain",
            [text[:middle], text[middle:]],
            0.1 if stream else 0.0,
            cut,
        )

    async def is_reachable(self) -> bool:
        """Return whether the service takes connections."""
        return not self.faults.down


class FakeEngine:
    """Reach an engine's behaviour without a network."""

    def __init__(self, model: EngineModel) -> None:
        """Take the engine."""
        self.model = model
        self.calls = 0

    @asynccontextmanager
    async def generate(
        self, call: GenerateCall
    ) -> AsyncIterator[AsyncIterator[TextChunk]]:
        """Generate a sample; leaving the context early cancels it."""
        self._refuse_when_down()
        async with aclosing(self._generate(call)) as pieces:
            yield pieces

    @asynccontextmanager
    async def call(self, call: UpstreamCall) -> AsyncIterator[FakeAnswer]:
        """Run a completion whole."""
        self._refuse_when_down()
        self.calls += 1
        asked = msgspec.json.decode(call.body, type=CompletionRequest)
        text: list[str] = []
        try:
            runs = self.model.generate(
                asked.model, asked.prompt, asked.max_tokens
            )
            async with aclosing(runs):
                async for run in runs:
                    text.append(run.text)
        except EngineCrashedError as error:
            raise UpstreamError(str(error)) from error
        yield FakeAnswer(200, "application/json", ["".join(text).encode()])

    async def is_reachable(self) -> bool:
        """Return whether the engine takes connections."""
        return not self.model.settings.faults.crash

    async def load_weights(self, call: LoadWeightsCall) -> Result[None, str]:
        """Load weights; after an Err what the engine holds is in doubt."""
        try:
            return await self.model.load(call.model, call.version, call.fence)
        except EngineCrashedError as error:
            return Err(str(error))

    async def read_versions(self) -> Result[dict[str, int], str]:
        """Return the version that the engine holds of each model."""
        await trio.sleep(0.0005)
        if self.model.settings.faults.crash:
            return Err("crashed")
        return Ok(dict(self.model.versions))

    async def _generate(
        self, call: GenerateCall
    ) -> AsyncGenerator[TextChunk, None]:
        """Yield pieces; raises UpstreamError."""
        self.calls += 1
        runs = self.model.generate(
            call.model, call.prompt, call.max_tokens, call.tokens
        )
        try:
            async with aclosing(runs):
                async for run in runs:
                    yield TextChunk(run.text, run.tokens)
        except EngineCrashedError as error:
            raise UpstreamError(str(error)) from error

    def _refuse_when_down(self) -> None:
        """Refuse connections after a crash."""
        if self.model.settings.faults.crash:
            raise UpstreamNotSentError("refused")
