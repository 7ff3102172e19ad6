"""Support samples: generated whole, each token with a certain label."""

from dataclasses import dataclass
from dataclasses import field

import trio

from ..link.messages import RunOrder
from ..ports.upstream import Engine
from ..ports.upstream import GenerateCall
from ..ports.upstream import UpstreamError
from .const import MAX_SAMPLE_RESTARTS
from .const import RESUME_RETRY_S
from .models import GeneratedSample
from .models import SampleRequest
from .models import Segment
from .pace import Pace
from .weights import WeightsCoordinator


@dataclass(slots=True)
class Progress:
    """Hold what was generated of a sample so far."""

    text: str = ""
    tokens: int = 0
    finished: bool = False
    reclaimed: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    segments: list[Segment] = field(default_factory=list)

    def renew_scope(self) -> trio.CancelScope:
        """Return the scope that a reclaim cancels from now on."""
        self.scope = trio.CancelScope()
        return self.scope

    def add(self, version: int, text: str, tokens: int) -> None:
        """Add tokens that one version certainly produced."""
        self.text += text
        self.tokens += tokens
        if not tokens:
            return
        last = self.segments[-1] if self.segments else None
        if last is not None and last.weight_version == version:
            tokens += last.tokens
            self.segments.pop()
        self.segments.append(Segment(version, tokens))


class SampleRunner:
    """Generate samples at one engine."""

    def __init__(self, engine: Engine, weights: WeightsCoordinator) -> None:
        """Take the engine and its labels."""
        self._engine = engine
        self._weights = weights
        self.pace = Pace()
        self._running: dict[str, Progress] = {}

    def reclaim(self, request_id: str) -> bool:
        """Stop a running sample, so that its part is handed over."""
        progress = self._running.get(request_id)
        if progress is None:
            return False
        progress.reclaimed = True
        progress.scope.cancel()
        return True

    async def generate(
        self, order: RunOrder, request: SampleRequest
    ) -> GeneratedSample:
        """Generate a sample; raises UpstreamError when it can't be had."""
        progress = Progress()
        for segment in request.segments:
            progress.add(segment.weight_version, "", segment.tokens)
        progress.text = request.text
        self._running[order.request_id] = progress
        try:
            await self._run(order, request, progress)
        finally:
            del self._running[order.request_id]
        return GeneratedSample(
            progress.text, progress.segments, progress.finished
        )

    async def _run(
        self, order: RunOrder, request: SampleRequest, progress: Progress
    ) -> None:
        """Generate until the end, or until it is reclaimed."""
        restarts = 0
        while not progress.finished and not progress.reclaimed:
            with progress.renew_scope():
                await self._weights.wait_version(
                    order.model, order.min_version
                )
            if progress.reclaimed:
                return
            if await self._extend(order, request, progress):
                continue
            restarts += 1
            if restarts > MAX_SAMPLE_RESTARTS:
                raise UpstreamError("the engine's version stays in doubt")
            await trio.sleep(RESUME_RETRY_S)

    async def _extend(
        self, order: RunOrder, request: SampleRequest, progress: Progress
    ) -> bool:
        """Generate until the end or a swap; return whether it counts."""
        text: list[str] = []
        tokens = 0
        finished = False
        failed = False
        call = self._make_call(order, request, progress)
        with self._weights.hold(order.model) as hold:
            try:
                with hold.scope, progress.renew_scope():
                    async with self._engine.generate(call) as pieces:
                        last = trio.current_time()
                        async for piece in pieces:
                            text.append(piece.text)
                            tokens += piece.tokens
                            now = trio.current_time()
                            self.pace.observe(piece.tokens, now - last, now)
                            last = now
                        finished = True
            except UpstreamError:
                failed = True
            certain = await self._weights.verify(order.model, hold.version)
        if certain:
            progress.add(hold.version, "".join(text), tokens)
            progress.finished = finished
        return certain and not failed

    def _make_call(
        self, order: RunOrder, request: SampleRequest, progress: Progress
    ) -> GenerateCall:
        """Ask for what is missing."""
        return GenerateCall(
            request_id=order.request_id,
            model=order.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=order.priority,
            text=progress.text,
            tokens=progress.tokens,
        )
