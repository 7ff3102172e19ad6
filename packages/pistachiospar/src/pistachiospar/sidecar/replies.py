"""Support the replies of a sidecar to its entries."""

from collections.abc import Callable

import trio

from ..helpers.explanations import Explanations
from ..link.messages import Answered
from ..link.messages import Failed
from ..link.messages import Refused
from ..link.messages import RunOrder
from ..ports.answer import RunResponseSink
from ..telemetry.metrics import Metrics
from .gate import Gate
from .models import KeptAnswer
from .models import Rejected


class Replier:
    """Send replies, and note them for `explain`."""

    def __init__(
        self,
        incarnation: str,
        gate: Gate,
        metrics: Metrics,
        explanations: Explanations,
        is_ready: Callable[[], bool],
    ) -> None:
        """Take what replies tell of."""
        self.incarnation = incarnation
        self._gate = gate
        self._metrics = metrics
        self._explanations = explanations
        self._is_ready = is_ready

    async def refuse(
        self, order: RunOrder, rejected: Rejected, sink: RunResponseSink
    ) -> None:
        """Answer that an order was not run."""
        self._metrics.count("orders_refused")
        self.explain(order, "refused", rejected.reason)
        reply = Refused(
            order.request_id,
            self.incarnation,
            rejected.reason,
            rejected.retry_after_s,
            self._gate.draining,
            self._is_ready(),
        )
        await sink.start(reply)
        await sink.finish([])

    async def fail(
        self, order: RunOrder, reason: str, sink: RunResponseSink
    ) -> None:
        """Answer that an order was dispatched and its answer is lost."""
        self._metrics.count("orders_lost")
        self.explain(order, "lost", reason)
        reply = Failed(order.request_id, self.incarnation, reason)
        await sink.start(reply)
        await sink.finish([])

    async def send_kept(
        self,
        order: RunOrder,
        answer: KeptAnswer,
        sink: RunResponseSink,
        replayed: bool = True,
    ) -> None:
        """Send an answer that is held whole."""
        if replayed:
            self._metrics.count("answers_replayed")
            self.explain(order, "replayed", "the key was answered before")
        reply = Answered(
            order.request_id,
            self.incarnation,
            answer.status,
            answer.content_type,
            [],
            replayed,
        )
        await sink.start(reply)
        await sink.write(answer.body)
        await sink.finish([])

    def explain(self, order: RunOrder, decision: str, reason: str) -> None:
        """Note a decision for `explain`."""
        now = trio.current_time()
        self._explanations.record_decision(
            order.request_id, now, decision, reason
        )
