"""Model of an engine's behaviour, independent of the transport.

Each generated token names the weight version that made it, so that a test
can compare a sample's labels with what the engine really did.
"""

import bisect
from collections.abc import AsyncGenerator
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from random import Random

import msgspec
from result import Err
from result import Ok
from result import Result
import trio


class EngineFaults(msgspec.Struct):
    """The faults of an engine.

    `slow_factor` multiplies the time per token and prompt. `fail_swaps` counts
    down loads that fail before the new version takes effect, `half_swaps`
    loads that fail after it; `cut_streams` counts down calls that fail after
    their first chunk. `crash` stops all work.
    """

    slow_factor: float = 1.0
    fail_swaps: int = 0
    half_swaps: int = 0
    crash: bool = False
    cut_streams: int = 0


class EngineSettings(msgspec.Struct):
    """The settings of an engine; times are in seconds.

    `batch_slowdown` is the share by which each further running call slows a
    token. Calls beyond `max_running` (0 for no limit) wait, lower priority
    numbers first. A `tail_share` of the calls, drawn from `seed`, runs slower
    by `tail_factor`.
    """

    max_running: int = 0
    token_s: float = 0.002
    prefill_s: float = 0.01
    swap_s: float = 0.2
    chunk_tokens: int = 8
    batch_slowdown: float = 0.0
    cache_prompts: int = 64
    checks_fencing: bool = False
    event_delay_s: float = 0.5
    event_gap_every: int = 7
    load_lag_s: float = 1.0
    tail_share: float = 0.0
    tail_factor: float = 1.0
    seed: int = 0
    faults: EngineFaults = msgspec.field(default_factory=EngineFaults)


class EngineCrashedError(Exception):
    """Crash of the engine during a call."""


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """The text of some tokens that one weight version made."""

    text: str
    tokens: int


@dataclass(slots=True, order=True)
class WaitingCall:
    """A call that waits for a slot; lower priority numbers go first."""

    priority: int
    number: int
    slot_free: trio.Event = field(default_factory=trio.Event, compare=False)


@dataclass(slots=True)
class EngineModel:
    """The state of an engine.

    `swapping` is set while weights are being loaded. A crash starts a new
    `incarnation`; `stale_orders` counts loads with an outdated fencing token.
    """

    settings: EngineSettings
    versions: dict[str, int] = field(default_factory=dict)
    fences: dict[str, int] = field(default_factory=dict)
    cached_prompts: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache_events: list[str] = field(default_factory=list)
    cache_hits: int = 0
    cache_misses: int = 0
    running: int = 0
    calls: int = 0
    waiting: list[WaitingCall] = field(default_factory=list)
    generated_tokens: int = 0
    swapping: trio.Event | None = None
    swaps: int = 0
    stale_orders: int = 0
    incarnation: int = 0
    rng: Random = field(init=False)

    def __post_init__(self) -> None:
        """Seed the random numbers that draw the slow calls."""
        self.rng = Random(self.settings.seed)

    async def generate(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        offset: int = 0,
        priority: int = 0,
    ) -> AsyncGenerator[TokenChunk, None]:
        """Generate the tokens from number `offset` up to `max_tokens`.

        Raises EngineCrashedError.
        """
        faults = self.settings.faults
        interrupted = faults.cut_streams > 0
        if interrupted:
            faults.cut_streams -= 1
        is_slow = self.rng.random() < self.settings.tail_share
        tail_slowdown = self.settings.tail_factor if is_slow else 1.0
        incarnation = self.incarnation
        await self._wait_for_slot(priority)
        self.running += 1
        try:
            await self._prefill(prompt)
            while offset < max_tokens:
                self._check_incarnation(incarnation)
                chunk_tokens = min(
                    self.settings.chunk_tokens, max_tokens - offset
                )
                await self._wait_for_tokens(chunk_tokens, tail_slowdown)
                self._check_incarnation(incarnation)
                version = self.versions.get(model, 0)
                text = "".join(
                    f" {model}@{version}#{number}"
                    for number in range(offset, offset + chunk_tokens)
                )
                offset += chunk_tokens
                self.generated_tokens += chunk_tokens
                yield TokenChunk(text, chunk_tokens)
                if interrupted:
                    raise EngineCrashedError("stream interrupted")
        finally:
            self.running -= 1
            if self.waiting:
                self.waiting[0].slot_free.set()

    async def _wait_for_slot(self, priority: int) -> None:
        """Wait for a free slot; lower priority numbers go first."""
        limit = self.settings.max_running
        waiting_call = WaitingCall(priority, self.calls)
        self.calls += 1
        bisect.insort(self.waiting, waiting_call)
        try:
            while limit and (
                self.running >= limit or self.waiting[0] is not waiting_call
            ):
                waiting_call.slot_free = trio.Event()
                await waiting_call.slot_free.wait()
        finally:
            self.waiting.remove(waiting_call)
            if self.waiting:
                self.waiting[0].slot_free.set()

    async def load_weights(
        self, model: str, version: int, fence: int
    ) -> Result[None, str]:
        """Load a version; generation pauses meanwhile.

        Raises EngineCrashedError.
        """
        incarnation = self.incarnation
        self._check_incarnation(incarnation)
        if self.settings.checks_fencing and fence < self.fences.get(model, 0):
            self.stale_orders += 1
            return Err(f"fencing token {fence} is outdated")
        self.fences[model] = max(fence, self.fences.get(model, 0))
        while self.swapping is not None:
            await self.swapping.wait()
        self.swapping = trio.Event()
        try:
            await trio.sleep(self.settings.swap_s)
            self._check_incarnation(incarnation)
        finally:
            self.swapping.set()
            self.swapping = None
        faults = self.settings.faults
        if faults.half_swaps > 0:
            faults.half_swaps -= 1
            self.versions[model] = version
            return Err("failed after the switch")
        if faults.fail_swaps > 0:
            faults.fail_swaps -= 1
            return Err("failed before the switch")
        self.versions[model] = version
        self.swaps += 1
        return Ok(None)

    def crash(self) -> None:
        """Stop all work; clear the loaded versions and the prompt cache."""
        self.settings.faults.crash = True
        self.incarnation += 1
        self.versions.clear()
        self.cached_prompts.clear()

    def restart(self) -> None:
        """Restart after a crash, with nothing loaded."""
        self.settings.faults.crash = False

    def _check_incarnation(self, incarnation: int) -> None:
        """Raise EngineCrashedError after a crash since `incarnation`.

        A crash ends the running calls even if the engine restarts at once.
        """
        if self.settings.faults.crash or incarnation != self.incarnation:
            raise EngineCrashedError("crashed")

    async def _prefill(self, prompt: str) -> None:
        """Wait for the prompt's prefill; a cached prompt takes no time."""
        if prompt in self.cached_prompts:
            self.cached_prompts.move_to_end(prompt)
            self.cache_hits += 1
            return
        self.cache_misses += 1
        factor = self.settings.faults.slow_factor
        await trio.sleep(self.settings.prefill_s * factor)
        self.cached_prompts[prompt] = None
        self.cache_events.append("stored")
        if len(self.cached_prompts) > self.settings.cache_prompts:
            self.cached_prompts.popitem(last=False)
            self.cache_events.append("removed")

    async def _wait_for_tokens(
        self, tokens: int, tail_slowdown: float
    ) -> None:
        """Wait as long as `tokens` take, and until no load is running."""
        batch_factor = 1.0 + self.settings.batch_slowdown * (self.running - 1)
        factor = (
            self.settings.faults.slow_factor * batch_factor * tail_slowdown
        )
        await trio.sleep(tokens * self.settings.token_s * factor)
        while self.swapping is not None:
            await self.swapping.wait()
