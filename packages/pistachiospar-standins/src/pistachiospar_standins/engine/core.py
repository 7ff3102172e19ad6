"""Support the engine's behaviour, over any transport.

Each generated token names the weight version that made it, so that a test
can compare the labels with what the engine truly did.
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
    """Set the faults of an engine; times are in seconds.

    `slow_factor` stretches each token; `fail_swaps` counts swaps that fail,
    half of them after the new version took effect; `crash` stops all work.
    """

    slow_factor: float = 1.0
    fail_swaps: int = 0
    half_swaps: int = 0
    crash: bool = False
    cut_streams: int = 0


class EngineSettings(msgspec.Struct):
    """Hold the settings; times are in seconds.

    `batch_slowdown` is the share by which each further running call
    stretches a token; beyond `max_running` calls (0 for no limit) a lower
    priority number goes first; a `tail_share` of the calls runs slower by
    `tail_factor`, drawn from `seed`.
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
    """Tell that the engine crashed within a call."""


@dataclass(frozen=True, slots=True)
class TokenRun:
    """Hold some tokens that one version made, as text."""

    text: str
    tokens: int


@dataclass(slots=True, order=True)
class WaitingCall:
    """Hold a call that waits for its turn."""

    priority: int
    number: int
    turn: trio.Event = field(default_factory=trio.Event, compare=False)


@dataclass(slots=True)
class EngineModel:
    """Hold an engine's state."""

    settings: EngineSettings
    versions: dict[str, int] = field(default_factory=dict)
    fences: dict[str, int] = field(default_factory=dict)
    prompts: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache_events: list[str] = field(default_factory=list)
    cache_hits: int = 0
    cache_misses: int = 0
    running: int = 0
    calls: int = 0
    waiting: list[WaitingCall] = field(default_factory=list)
    tokens_made: int = 0
    swapping: trio.Event | None = None
    swaps: int = 0
    stale_orders: int = 0
    life: int = 0
    rng: Random = field(init=False)

    def __post_init__(self) -> None:
        """Seed the tail of slow calls."""
        self.rng = Random(self.settings.seed)

    async def generate(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        done: int = 0,
        priority: int = 0,
    ) -> AsyncGenerator[TokenRun, None]:
        """Generate tokens from number `done` on.

        Raises EngineCrashedError.
        """
        faults = self.settings.faults
        cut = faults.cut_streams > 0
        if cut:
            faults.cut_streams -= 1
        slow = self.rng.random() < self.settings.tail_share
        tail = self.settings.tail_factor if slow else 1.0
        life = self.life
        await self._wait_turn(priority)
        self.running += 1
        try:
            await self._prefill(prompt)
            while done < max_tokens:
                self._check_alive(life)
                step = min(self.settings.chunk_tokens, max_tokens - done)
                await self._pause(step, tail)
                self._check_alive(life)
                version = self.versions.get(model, 0)
                text = "".join(
                    f" {model}@{version}#{number}"
                    for number in range(done, done + step)
                )
                done += step
                self.tokens_made += step
                yield TokenRun(text, step)
                if cut:
                    raise EngineCrashedError("stream cut")
        finally:
            self.running -= 1
            if self.waiting:
                self.waiting[0].turn.set()

    async def _wait_turn(self, priority: int) -> None:
        """Wait until a place is free; lower numbers go first."""
        limit = self.settings.max_running
        place = WaitingCall(priority, self.calls)
        self.calls += 1
        bisect.insort(self.waiting, place)
        try:
            while limit and (
                self.running >= limit or self.waiting[0] is not place
            ):
                place.turn = trio.Event()
                await place.turn.wait()
        finally:
            self.waiting.remove(place)
            if self.waiting:
                self.waiting[0].turn.set()

    async def load(
        self, model: str, version: int, fence: int
    ) -> Result[None, str]:
        """Load a version; generation pauses meanwhile."""
        life = self.life
        self._check_alive(life)
        if self.settings.checks_fencing and fence < self.fences.get(model, 0):
            self.stale_orders += 1
            return Err(f"fence {fence} is old")
        self.fences[model] = max(fence, self.fences.get(model, 0))
        while self.swapping is not None:
            await self.swapping.wait()
        self.swapping = trio.Event()
        try:
            await trio.sleep(self.settings.swap_s)
            self._check_alive(life)
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
        """Stop all work and forget the loaded versions and the cache."""
        self.settings.faults.crash = True
        self.life += 1
        self.versions.clear()
        self.prompts.clear()

    def restart(self) -> None:
        """Come back with nothing loaded."""
        self.settings.faults.crash = False

    def _check_alive(self, life: int) -> None:
        """Raise EngineCrashedError when a crash came in between.

        A crash ends what runs, even if the engine is back at once.
        """
        if self.settings.faults.crash or life != self.life:
            raise EngineCrashedError("crashed")

    async def _prefill(self, prompt: str) -> None:
        """Take the prompt in; a cached one is free."""
        if prompt in self.prompts:
            self.prompts.move_to_end(prompt)
            self.cache_hits += 1
            return
        self.cache_misses += 1
        factor = self.settings.faults.slow_factor
        await trio.sleep(self.settings.prefill_s * factor)
        self.prompts[prompt] = None
        self.cache_events.append("stored")
        if len(self.prompts) > self.settings.cache_prompts:
            self.prompts.popitem(last=False)
            self.cache_events.append("removed")

    async def _pause(self, tokens: int, tail: float) -> None:
        """Wait as long as some tokens take, and while a swap goes on."""
        crowd = 1.0 + self.settings.batch_slowdown * (self.running - 1)
        factor = self.settings.faults.slow_factor * crowd * tail
        await trio.sleep(tokens * self.settings.token_s * factor)
        while self.swapping is not None:
            await self.swapping.wait()
