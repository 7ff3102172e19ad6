"""Generation of samples, each token with a certain weight version."""

from dataclasses import dataclass
from dataclasses import field

import trio

from ..link.messages import RunOrder
from ..ports.upstream import Engine
from ..ports.upstream import GenerateCall
from ..ports.upstream import UpstreamError
from .const import MAX_SAMPLE_RESTARTS
from .const import RESUME_RETRY_DELAY_S
from .models import GeneratedSample
from .models import SampleRequest
from .models import Segment
from .stream_pace import StreamPace
from .weights import WeightsCoordinator


@dataclass(slots=True)
class SampleProgress:
    """The part of a sample that is generated so far.

    `scope` is what a reclaim cancels.
    """

    text: str = ""
    tokens: int = 0
    is_finished: bool = False
    is_reclaimed: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    segments: list[Segment] = field(default_factory=list)

    def renew_scope(self) -> trio.CancelScope:
        """Replace the scope that a reclaim cancels, and return it."""
        self.scope = trio.CancelScope()
        return self.scope

    def add_tokens(self, version: int, text: str, tokens: int) -> None:
        """Add text and tokens that one version certainly produced."""
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
        """Set up; `weights` tells which version the engine holds."""
        self._engine = engine
        self._weights = weights
        self.pace = StreamPace()
        self._running: dict[str, SampleProgress] = {}

    def reclaim(self, request_id: str) -> bool:
        """Stop a sample and have its part returned; False if none runs."""
        progress = self._running.get(request_id)
        if progress is None:
            return False
        progress.is_reclaimed = True
        progress.scope.cancel()
        return True

    async def generate(
        self, order: RunOrder, request: SampleRequest
    ) -> GeneratedSample:
        """Generate a sample, or its part if it is reclaimed.

        Raises UpstreamError when the engine fails repeatedly or its version
        remains uncertain.
        """
        progress = SampleProgress()
        for segment in request.segments:
            progress.add_tokens(segment.weight_version, "", segment.tokens)
        progress.text = request.text
        self._running[order.request_id] = progress
        try:
            await self._generate_remainder(order, request, progress)
        finally:
            del self._running[order.request_id]
        return GeneratedSample(
            progress.text, progress.segments, progress.is_finished
        )

    async def _generate_remainder(
        self, order: RunOrder, request: SampleRequest, progress: SampleProgress
    ) -> None:
        """Generate until the sample is finished or reclaimed."""
        restarts = 0
        while not progress.is_finished and not progress.is_reclaimed:
            with progress.renew_scope():
                await self._weights.wait_for_version(
                    order.model, order.min_version
                )
            if progress.is_reclaimed:
                return
            if await self._generate_segment(order, request, progress):
                continue
            restarts += 1
            if restarts > MAX_SAMPLE_RESTARTS:
                raise UpstreamError(
                    "engine failed too often, or its version was uncertain"
                )
            await trio.sleep(RESUME_RETRY_DELAY_S)

    async def _generate_segment(
        self, order: RunOrder, request: SampleRequest, progress: SampleProgress
    ) -> bool:
        """Generate until the end or a swap; return whether it succeeded.

        Tokens count only if the engine still holds the pinned version.
        """
        text: list[str] = []
        tokens = 0
        is_finished = False
        has_failed = False
        call = self._make_call(order, request, progress)
        with self._weights.pin_version(order.model) as pin:
            try:
                with pin.scope, progress.renew_scope():
                    async with self._engine.generate(call) as chunks:
                        last = trio.current_time()
                        async for chunk in chunks:
                            text.append(chunk.text)
                            tokens += chunk.tokens
                            now = trio.current_time()
                            self.pace.record_tokens(
                                chunk.tokens, now - last, now
                            )
                            last = now
                        is_finished = True
            except UpstreamError:
                has_failed = True
            is_certain = await self._weights.verify_version(
                order.model, pin.version
            )
        if is_certain:
            progress.add_tokens(pin.version, "".join(text), tokens)
            progress.is_finished = is_finished
        return is_certain and not has_failed

    def _make_call(
        self, order: RunOrder, request: SampleRequest, progress: SampleProgress
    ) -> GenerateCall:
        """Return the call for the missing rest of a sample."""
        return GenerateCall(
            request_id=order.request_id,
            model=order.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=order.priority,
            text=progress.text,
            tokens=progress.tokens,
        )
