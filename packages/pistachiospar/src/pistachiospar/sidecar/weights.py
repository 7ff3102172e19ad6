"""Weight versions of one engine: tracking, swaps and fencing.

A sample pins the version that generates its tokens. A swap first cancels all
pins and waits until they are released, so that each token has one certain
version; the cancelled samples resume on the new version.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from random import Random

import trio

from ..helpers.backoff import Backoff
from ..link.messages import HeldVersion
from ..link.messages import WeightOrder
from ..ports.upstream import Engine
from ..ports.upstream import LoadWeightsCall
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from ..weight_relay.coordinator import WeightRelay
from .const import PROBE_INTERVAL_S
from .const import SWAP_RETRY_INITIAL_S
from .const import SWAP_RETRY_MAX_S


@dataclass(slots=True, eq=False)
class VersionPin:
    """A version in use by a sample; a swap cancels `scope`."""

    version: int
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


@dataclass(slots=True, eq=False)
class ModelState:
    """Versions, orders and pins of one model at the engine.

    `swap_at` is the monotonic time, in seconds, at which `order` is due.
    """

    model: str
    version: int = 0
    is_certain: bool = False
    is_swapping: bool = False
    fence: int = 0
    newest_ordered: int = 0
    order: WeightOrder | None = None
    swap_at: float = 0.0
    failed_swaps: int = 0
    pins: set[VersionPin] = field(default_factory=set)


def find_refusal(state: ModelState | None, order: WeightOrder) -> str:
    """Return why an order is refused, or an empty string to accept it."""
    if state is None:
        return ""
    if order.fence < state.fence:
        return f"fence {order.fence} is older than {state.fence}"
    if order.version <= state.version and state.is_certain:
        return f"version {state.version} is held"
    if state.order is not None and order.version <= state.order.version:
        return f"version {state.order.version} is ordered"
    return ""


class WeightsCoordinator:
    """Track the weight versions of one engine and swap its weights."""

    def __init__(
        self,
        engine: Engine,
        relay: WeightRelay | None,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Set up; without `relay` the engine reads weights at their source."""
        self._engine = engine
        self._relay = relay
        self._sources: dict[str, str] = {}
        self._fetched_versions: dict[str, int] = {}
        self._metrics = metrics
        self._rng = rng
        self._models: dict[str, ModelState] = {}
        self._changed = trio.Event()
        self._backoff = Backoff(SWAP_RETRY_INITIAL_S, SWAP_RETRY_MAX_S)
        self.is_reachable = False

    def list_held(self) -> list[HeldVersion]:
        """Return the versions that the engine holds, for a status message."""
        return [
            HeldVersion(
                state.model,
                state.version,
                state.is_certain and not state.is_swapping,
            )
            for state in self._models.values()
        ]

    def list_ordered(self) -> list[HeldVersion]:
        """Return the newest ordered versions that are not yet held."""
        return [
            HeldVersion(state.model, state.newest_ordered, False)
            for state in self._models.values()
            if state.newest_ordered > state.version
        ]

    def find_version(self, model: str) -> int | None:
        """Return the version of a model, None while it is not certain."""
        state = self._models.get(model)
        if state is None or not state.is_certain or state.is_swapping:
            return None
        return state.version

    def list_active_versions(self) -> list[int]:
        """Return the versions that may serve a call right now."""
        versions = {state.version for state in self._models.values()}
        for state in self._models.values():
            if state.is_swapping and state.order is not None:
                versions.add(state.order.version)
        return sorted(versions)

    def handle_order(self, order: WeightOrder, now: float) -> str:
        """Schedule an order; return why it is refused, or an empty string."""
        state = self._models.get(order.model)
        refusal = find_refusal(state, order)
        if refusal:
            return refusal
        if state is None:
            state = self._models[order.model] = ModelState(order.model)
        state.fence = order.fence
        state.newest_ordered = max(state.newest_ordered, order.version)
        state.order = order
        state.swap_at = now + order.delay_s
        state.failed_swaps = 0
        self._notify_waiters()
        return ""

    async def wait_for_version(self, model: str, min_version: int) -> int:
        """Wait until the version is certain and new enough; return it."""
        while True:
            version = self.find_version(model)
            if version is not None and version >= min_version:
                return version
            await self._changed.wait()

    @contextmanager
    def pin_version(self, model: str) -> Iterator[VersionPin]:
        """Pin the current version; a swap cancels the scope and waits."""
        state = self._models[model]
        pin = VersionPin(state.version)
        state.pins.add(pin)
        try:
            yield pin
        finally:
            state.pins.discard(pin)
            self._notify_waiters()

    async def verify_version(self, model: str, version: int) -> bool:
        """Ask the engine whether it still holds a version.

        Otherwise the model's version is marked as uncertain.
        """
        found = await self._engine.read_versions()
        state = self._models[model]
        if found.unwrap_or({}).get(model) == version:
            return state.version == version and state.is_certain
        self.mark_uncertain(model)
        return False

    def mark_uncertain(self, model: str) -> None:
        """Mark the version of a model as uncertain."""
        state = self._models.get(model)
        if state is not None and state.is_certain:
            state.is_certain = False
            self._metrics.count("weights_in_doubt")
            self._notify_waiters()

    async def run_probe(self) -> None:
        """Read the engine's versions at intervals."""
        while True:
            await self.refresh_versions()
            await trio.sleep(PROBE_INTERVAL_S)

    async def refresh_versions(self) -> None:
        """Adopt the versions that the engine reports."""
        found = await self._engine.read_versions()
        self.is_reachable = found.is_ok()
        versions = found.unwrap_or(None)
        if versions is None:
            for model in self._models:
                self.mark_uncertain(model)
            return
        for model, version in versions.items():
            state = self._models.setdefault(model, ModelState(model))
            if state.is_swapping:
                continue
            if state.version != version or not state.is_certain:
                await self._adopt_version(state, version)
        self._notify_waiters()

    async def _adopt_version(self, state: ModelState, version: int) -> None:
        """Adopt a version after the pins of the old one are released."""
        if state.is_certain and state.version != version:
            self.mark_uncertain(state.model)
            log_event("weights_changed", model=state.model, to=version)
        await self._cancel_pins(state)
        state.version = version
        state.is_certain = True

    async def run_swaps(self) -> None:
        """Carry out orders when they are due."""
        while True:
            state = self._find_next_swap()
            if state is None:
                await self._changed.wait()
                continue
            now = trio.current_time()
            if state.swap_at > now:
                with trio.move_on_after(state.swap_at - now):
                    await self._changed.wait()
                continue
            await self._swap_weights(state)

    async def run_fetches(self) -> None:
        """Fetch the weights of orders before they are due."""
        while True:
            order = self._find_unfetched()
            if order is None or self._relay is None:
                await self._changed.wait()
                continue
            source = await self._relay.fetch_weights(order)
            self._sources[order.model] = source
            self._fetched_versions[order.model] = order.version
            self._notify_waiters()

    def _find_unfetched(self) -> WeightOrder | None:
        """Return an order whose weights are not fetched yet."""
        for state in self._models.values():
            if state.order is not None and not self._is_fetched(state.order):
                return state.order
        return None

    def _is_fetched(self, order: WeightOrder) -> bool:
        """Return whether an order's weights are fetched or need no fetch."""
        if self._relay is None:
            return True
        return self._fetched_versions.get(order.model, 0) >= order.version

    def _find_next_swap(self) -> ModelState | None:
        """Return the model to swap first, None if no order is ready."""
        waiting = [
            state
            for state in self._models.values()
            if state.order is not None and self._is_fetched(state.order)
        ]
        return min(waiting, key=lambda m: m.swap_at, default=None)

    async def _swap_weights(self, state: ModelState) -> None:
        """Load the weights of a model's order, and read its version back."""
        order = state.order
        if order is None:
            return
        if state.is_certain and state.version >= order.version:
            state.order = None
            return
        state.is_swapping = True
        await self._cancel_pins(state)
        source = self._sources.get(order.model, order.source)
        call = LoadWeightsCall(order.model, order.version, source, order.fence)
        loaded = await self._engine.load_weights(call)
        found = await self._engine.read_versions()
        state.is_swapping = False
        version = found.unwrap_or({}).get(order.model)
        self._record_swap(state, order, version, str(loaded))
        self._notify_waiters()

    def _record_swap(
        self,
        state: ModelState,
        order: WeightOrder,
        version: int | None,
        detail: str,
    ) -> None:
        """Record the version read back after a swap; retry a failed one."""
        state.is_certain = version is not None
        if version is not None:
            state.version = version
        if version == order.version:
            self._metrics.count("swaps_done")
            state.failed_swaps = 0
            if state.order is order:
                state.order = None
            return
        self._metrics.count("swaps_failed")
        log_event("swap_failed", model=order.model, detail=detail)
        delay_s = self._backoff.draw_delay_s(state.failed_swaps, self._rng)
        state.failed_swaps += 1
        state.swap_at = trio.current_time() + delay_s

    async def _cancel_pins(self, state: ModelState) -> None:
        """Cancel all pins of a model and wait until they are released."""
        while state.pins:
            for pin in state.pins:
                pin.scope.cancel()
            await self._changed.wait()

    def _notify_waiters(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()
