"""Support weight versions: labels, swaps and fencing at one engine.

Samples hold the version they are produced by. Before a swap the holds are
interrupted and waited for, so that each token has one certain version; the
interrupted samples resume on the new version.
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
from ..relay.coordinator import WeightRelay
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .const import PROBE_INTERVAL_S
from .const import SWAP_RETRY_FIRST_S
from .const import SWAP_RETRY_MOST_S


@dataclass(slots=True, eq=False)
class Hold:
    """Hold a version while tokens are produced by it."""

    version: int
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


@dataclass(slots=True, eq=False)
class ModelWeights:
    """Hold what is known of one model at the engine."""

    model: str
    version: int = 0
    certain: bool = False
    swapping: bool = False
    fence: int = 0
    ordered: int = 0
    order: WeightOrder | None = None
    order_at: float = 0.0
    failures: int = 0
    holds: set[Hold] = field(default_factory=set)


def decide_order(known: ModelWeights | None, order: WeightOrder) -> str:
    """Return why an order is refused, or an empty string to take it."""
    if known is None:
        return ""
    if order.fence < known.fence:
        return f"fence {order.fence} is older than {known.fence}"
    if order.version <= known.version and known.certain:
        return f"version {known.version} is held"
    if known.order is not None and order.version <= known.order.version:
        return f"version {known.order.version} is ordered"
    return ""


class WeightsCoordinator:
    """Keep the labels of one engine right and carry out swaps."""

    def __init__(
        self,
        engine: Engine,
        relay: WeightRelay | None,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Begin with nothing known; without relay engines read the source."""
        self._engine = engine
        self._relay = relay
        self._sources: dict[str, str] = {}
        self._fetched: dict[str, int] = {}
        self._metrics = metrics
        self._rng = rng
        self._models: dict[str, ModelWeights] = {}
        self._changed = trio.Event()
        self._backoff = Backoff(SWAP_RETRY_FIRST_S, SWAP_RETRY_MOST_S)
        self.reachable = False

    def held(self) -> list[HeldVersion]:
        """Return the versions for a status message."""
        return [
            HeldVersion(
                known.model,
                known.version,
                known.certain and not known.swapping,
            )
            for known in self._models.values()
        ]

    def ordered(self) -> list[HeldVersion]:
        """Return the newest versions that were ordered here."""
        return [
            HeldVersion(known.model, known.ordered, False)
            for known in self._models.values()
            if known.ordered > known.version
        ]

    def find_version(self, model: str) -> int | None:
        """Return the version of a model if it is certain."""
        known = self._models.get(model)
        if known is None or not known.certain or known.swapping:
            return None
        return known.version

    def read_labels(self) -> list[int]:
        """Return the versions that may take part in a call right now."""
        versions = {known.version for known in self._models.values()}
        for known in self._models.values():
            if known.swapping and known.order is not None:
                versions.add(known.order.version)
        return sorted(versions)

    def offer(self, order: WeightOrder, now: float) -> str:
        """Take an order, or return why it is refused."""
        known = self._models.get(order.model)
        refusal = decide_order(known, order)
        if refusal:
            return refusal
        if known is None:
            known = self._models[order.model] = ModelWeights(order.model)
        known.fence = order.fence
        known.ordered = max(known.ordered, order.version)
        known.order = order
        known.order_at = now + order.delay_s
        known.failures = 0
        self._notify()
        return ""

    async def wait_version(self, model: str, at_least: int) -> int:
        """Wait until a version is certain and new enough; return it."""
        while True:
            version = self.find_version(model)
            if version is not None and version >= at_least:
                return version
            await self._changed.wait()

    @contextmanager
    def hold(self, model: str) -> Iterator[Hold]:
        """Hold the version; a swap interrupts the hold's scope first."""
        known = self._models[model]
        hold = Hold(known.version)
        known.holds.add(hold)
        try:
            yield hold
        finally:
            known.holds.discard(hold)
            self._notify()

    async def verify(self, model: str, version: int) -> bool:
        """Read back whether the engine still holds a version."""
        found = await self._engine.read_versions()
        known = self._models[model]
        if found.unwrap_or({}).get(model) == version:
            return known.version == version and known.certain
        self.doubt(model)
        return False

    def doubt(self, model: str) -> None:
        """Mark the version of a model as not certain."""
        known = self._models.get(model)
        if known is not None and known.certain:
            known.certain = False
            self._metrics.count("weights_in_doubt")
            self._notify()

    async def run_probe(self) -> None:
        """Read the versions back at intervals; one task."""
        while True:
            await self.read_back()
            await trio.sleep(PROBE_INTERVAL_S)

    async def read_back(self) -> None:
        """Take over what the engine says it holds."""
        found = await self._engine.read_versions()
        self.reachable = found.is_ok()
        versions = found.unwrap_or(None)
        if versions is None:
            for model in self._models:
                self.doubt(model)
            return
        for model, version in versions.items():
            known = self._models.setdefault(model, ModelWeights(model))
            if known.swapping:
                continue
            if known.version != version or not known.certain:
                await self._adopt(known, version)
        self._notify()

    async def _adopt(self, known: ModelWeights, version: int) -> None:
        """Take over a version once nothing is labelled by another."""
        if known.certain and known.version != version:
            self.doubt(known.model)
            log_event("weights_changed", model=known.model, to=version)
        await self._interrupt(known)
        known.version = version
        known.certain = True

    async def run_swaps(self) -> None:
        """Carry out orders as their time comes; one task."""
        while True:
            known = self._next_order()
            if known is None:
                await self._changed.wait()
                continue
            now = trio.current_time()
            if known.order_at > now:
                with trio.move_on_after(known.order_at - now):
                    await self._changed.wait()
                continue
            await self._swap(known)

    async def run_fetches(self) -> None:
        """Fetch the weights of orders before their wave; one task."""
        while True:
            order = self._find_unfetched()
            if order is None or self._relay is None:
                await self._changed.wait()
                continue
            source = await self._relay.fetch_weights(order)
            self._sources[order.model] = source
            self._fetched[order.model] = order.version
            self._notify()

    def _find_unfetched(self) -> WeightOrder | None:
        """Return an order whose weights were not fetched yet."""
        for known in self._models.values():
            if known.order is not None and not self._is_fetched(known.order):
                return known.order
        return None

    def _is_fetched(self, order: WeightOrder) -> bool:
        """Return whether an order's weights are at hand."""
        if self._relay is None:
            return True
        return self._fetched.get(order.model, 0) >= order.version

    def _next_order(self) -> ModelWeights | None:
        """Return the model whose order is due first."""
        waiting = [
            known
            for known in self._models.values()
            if known.order is not None and self._is_fetched(known.order)
        ]
        return min(waiting, key=lambda m: m.order_at, default=None)

    async def _swap(self, known: ModelWeights) -> None:
        """Carry out one order."""
        order = known.order
        if order is None:
            return
        if known.certain and known.version >= order.version:
            known.order = None
            return
        known.swapping = True
        await self._interrupt(known)
        source = self._sources.get(order.model, order.source)
        call = LoadWeightsCall(order.model, order.version, source, order.fence)
        loaded = await self._engine.load_weights(call)
        found = await self._engine.read_versions()
        known.swapping = False
        version = found.unwrap_or({}).get(order.model)
        self._finish_swap(known, order, version, str(loaded))
        self._notify()

    def _finish_swap(
        self,
        known: ModelWeights,
        order: WeightOrder,
        version: int | None,
        detail: str,
    ) -> None:
        """Take over the version read back after a swap."""
        known.certain = version is not None
        if version is not None:
            known.version = version
        if version == order.version:
            self._metrics.count("swaps_done")
            known.failures = 0
            if known.order is order:
                known.order = None
            return
        self._metrics.count("swaps_failed")
        log_event("swap_failed", model=order.model, detail=detail)
        delay = self._backoff.draw_delay_s(known.failures, self._rng)
        known.failures += 1
        known.order_at = trio.current_time() + delay

    async def _interrupt(self, known: ModelWeights) -> None:
        """Interrupt all holds and wait until they are given up."""
        while known.holds:
            for hold in known.holds:
                hold.scope.cancel()
            await self._changed.wait()

    def _notify(self) -> None:
        """Wake all that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()
