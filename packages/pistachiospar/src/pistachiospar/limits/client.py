"""Client of the instances that all calls, orders and reports pass."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import replace

from result import Result
import trio

from ..ports.sampler import LimitListener
from ..ports.sampler import LoadOrder
from ..ports.sampler import LoadOrderOutcome
from ..ports.sampler import ProcessState
from ..ports.sampler import SamplerCall
from ..ports.sampler import SamplerClient
from ..ports.sampler import SamplerReport
from ..ports.sampler import SamplerResponse
from ..ports.upstream import UpstreamLimitError
from ..ports.upstream import UpstreamNotSentError
from ..routing.instances import ListedInstance
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .coordinator import InstanceLimits


class LimitedSamplerClient:
    """Pass calls on to the instances, within the limits that these name.

    Orders and reports take no slot and need no permit; they are counted.
    """

    def __init__(
        self,
        samplers: SamplerClient,
        limits: InstanceLimits,
        is_leaving: Callable[[ListedInstance], bool],
        metrics: Metrics,
    ) -> None:
        """Wrap the client that reaches the instances."""
        self._samplers = samplers
        self._limits = limits
        self._is_leaving = is_leaving
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

        Raises UpstreamLimitError, other UpstreamNotSentError and
        UpstreamError.
        """
        if self._limits.find_limit(instance) is not None:
            call = await self._acquire_for_call(instance, call)
        async with self._samplers.call(instance, call) as response:
            yield response

    async def _acquire_for_call(
        self, instance: ListedInstance, call: SamplerCall
    ) -> SamplerCall:
        """Acquire a permit; return the call with the time that is left.

        Raises UpstreamLimitError and UpstreamNotSentError.
        """
        asked_at = trio.current_time()
        permit = await self._limits.acquire(
            instance, call.urgency, call.max_wait_s
        )
        if not permit.granted:
            log_event(
                "limit_reached",
                request=call.request_id,
                instance=instance.name,
                wait_s=round(permit.wait_s, 3),
            )
            raise UpstreamLimitError(
                f"{instance.name}: limit reached", permit.wait_s
            )
        waited_s = trio.current_time() - asked_at
        if waited_s >= call.remaining_s or self._is_leaving(instance):
            raise UpstreamNotSentError(
                f"{instance.name}: too late after {waited_s:.3f} s"
            )
        self._metrics.count("limited_calls")
        return replace(call, remaining_s=call.remaining_s - waited_s)

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

    async def check_process(self, instance: ListedInstance) -> ProcessState:
        """Return whether an instance still accepts connections."""
        return await self._samplers.check_process(instance)

    def is_connected(self, instance: ListedInstance) -> bool:
        """Return whether a call there needs no new connection."""
        return self._samplers.is_connected(instance)

    def retain_only(self, names: set[str]) -> None:
        """Close the connections to all instances but the named ones."""
        self._samplers.retain_only(names)

    def _count_limited(self, instance: ListedInstance, kind: str) -> None:
        """Count what is sent to an instance that named a limit."""
        if self._limits.find_limit(instance) is not None:
            self._metrics.count(f"limited_{kind}")

    def _pass_leaving(self, instance: ListedInstance) -> None:
        """Pass on that an instance says that it is leaving."""
        self.report_leaving(instance)

    def _record_limit(
        self, instance: ListedInstance, per_s: float | None, sent_at: float
    ) -> None:
        """Record the limit that a response names."""
        self._limits.record(instance, per_s, sent_at)
        self.report_limit(instance, per_s, sent_at)
