"""Replies of a sidecar to its entries."""

from collections.abc import Callable

import trio

from ..helpers.explanations import Explanations
from ..link.messages import Answered
from ..link.messages import Failed
from ..link.messages import Refused
from ..link.messages import RunOrder
from ..ports.run_response import RunResponseSink
from ..telemetry.metrics import Metrics
from .models import Rejected
from .models import StoredResponse
from .scheduler import SlotScheduler


class ReplySender:
    """Send replies and record them for `explain`."""

    def __init__(
        self,
        incarnation: str,
        scheduler: SlotScheduler,
        metrics: Metrics,
        explanations: Explanations,
        is_ready: Callable[[], bool],
    ) -> None:
        """Set up; `is_ready` and the scheduler are read for refusals."""
        self.incarnation = incarnation
        self._scheduler = scheduler
        self._metrics = metrics
        self._explanations = explanations
        self._is_ready = is_ready

    async def send_refusal(
        self, order: RunOrder, rejected: Rejected, sink: RunResponseSink
    ) -> None:
        """Reply that an order was certainly not run."""
        self._metrics.count("orders_refused")
        self.record_decision(order, "refused", rejected.reason)
        reply = Refused(
            order.request_id,
            self.incarnation,
            rejected.reason,
            rejected.retry_after_s,
            self._scheduler.is_draining,
            self._is_ready(),
        )
        await sink.start(reply)
        await sink.finish([])

    async def send_failure(
        self, order: RunOrder, reason: str, sink: RunResponseSink
    ) -> None:
        """Reply that an order was dispatched and its response is lost."""
        self._metrics.count("orders_lost")
        self.record_decision(order, "lost", reason)
        reply = Failed(order.request_id, self.incarnation, reason)
        await sink.start(reply)
        await sink.finish([])

    async def send_stored(
        self,
        order: RunOrder,
        response: StoredResponse,
        sink: RunResponseSink,
        is_replay: bool = True,
    ) -> None:
        """Send a complete response, replayed or new."""
        if is_replay:
            self._metrics.count("answers_replayed")
            self.record_decision(
                order, "replayed", "earlier request with this key was answered"
            )
        reply = Answered(
            order.request_id,
            self.incarnation,
            response.status,
            response.content_type,
            [],
            is_replay,
        )
        await sink.start(reply)
        await sink.write(response.body)
        await sink.finish([])

    def record_decision(
        self, order: RunOrder, decision: str, reason: str
    ) -> None:
        """Record a decision for `explain`."""
        now = trio.current_time()
        self._explanations.record_decision(
            order.request_id, now, decision, reason
        )
