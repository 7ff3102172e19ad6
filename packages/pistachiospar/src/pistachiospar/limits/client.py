"""Client of the instances that all calls, orders and reports pass."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager

from result import Result
import trio

from ..ports.sampler import LimitListener
from ..ports.sampler import LoadOrder
from ..ports.sampler import LoadOrderOutcome
from ..ports.sampler import SamplerCall
from ..ports.sampler import SamplerClient
from ..ports.sampler import SamplerReport
from ..ports.sampler import SamplerResponse
from ..routing.instances import ListedInstance
from ..telemetry.metrics import Metrics
from .observations import LimitObservations


class LimitedSamplerClient:
    """Pass calls on to the instances; count those to one with a limit."""

    def __init__(
        self,
        samplers: SamplerClient,
        observations: LimitObservations,
        metrics: Metrics,
    ) -> None:
        """Wrap the client that reaches the instances."""
        self._samplers = samplers
        self._observations = observations
        self._metrics = metrics
        self.report_leaving: Callable[[ListedInstance], None] = (
            lambda instance: None
        )
        self.report_limit: LimitListener = lambda instance, limit, at: None
        samplers.report_leaving = self._pass_leaving
        samplers.report_limit = self._record_limit

    @asynccontextmanager
    async def call(
        self, instance: ListedInstance, call: SamplerCall
    ) -> AsyncIterator[SamplerResponse]:
        """Make a call; leaving the context early cancels it.

        Raises UpstreamNotSentError and UpstreamError.
        """
        self._count_limited(instance, "calls")
        async with self._samplers.call(instance, call) as response:
            yield response

    async def order_load(
        self, instance: ListedInstance, order: LoadOrder
    ) -> LoadOrderOutcome:
        """Send an order; after UNKNOWN it may still be carried out."""
        self._count_limited(instance, "orders")
        return await self._samplers.order_load(instance, order)

    async def fetch_report(
        self, instance: ListedInstance
    ) -> Result[SamplerReport, str]:
        """Return the instance's report; the Err says what failed."""
        self._count_limited(instance, "reports")
        return await self._samplers.fetch_report(instance)

    def is_connected(self, instance: ListedInstance) -> bool:
        """Return whether a call there needs no new connection."""
        return self._samplers.is_connected(instance)

    def retain_only(self, names: set[str]) -> None:
        """Close the connections to all instances but the named ones."""
        self._samplers.retain_only(names)

    def _count_limited(self, instance: ListedInstance, kind: str) -> None:
        """Count what is sent to an instance that named a limit."""
        if self._observations.find_limit(instance) is not None:
            self._metrics.count(f"limited_{kind}")

    def _pass_leaving(self, instance: ListedInstance) -> None:
        """Pass on that an instance says that it is leaving."""
        self.report_leaving(instance)

    def _record_limit(
        self, instance: ListedInstance, per_s: float | None, sent_at: float
    ) -> None:
        """Record the limit that a response names."""
        now = trio.current_time()
        self._observations.record(instance, per_s, sent_at, now)
        self.report_limit(instance, per_s, sent_at)
