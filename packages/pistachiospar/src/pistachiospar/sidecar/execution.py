"""Execution of admitted orders at the upstream."""

from dataclasses import dataclass

import msgspec
import trio

from . import const
from ..const import MS_PER_S
from ..link.messages import Answered
from ..link.messages import OrderKind
from ..link.messages import RunOrder
from ..ports.run_response import RunResponseSink
from ..ports.upstream import Upstream
from ..ports.upstream import UpstreamCall
from ..ports.upstream import UpstreamError
from ..ports.upstream import UpstreamNotSentError
from ..telemetry.metrics import Metrics
from .models import Record
from .models import RecordState
from .models import Rejected
from .models import SampleRequest
from .models import StoredResponse
from .reply_sender import ReplySender
from .request_records import RequestRecords
from .samples import SampleRunner
from .scheduler import SlotRefusedError
from .scheduler import SlotScheduler
from .weights import WeightsCoordinator


@dataclass(frozen=True, slots=True)
class Execution:
    """An admitted order and where its reply goes.

    `deadline` is a monotonic time in seconds.
    """

    order: RunOrder
    body: bytes
    record: Record
    deadline: float
    sink: RunResponseSink


class Executor:
    """Run admitted orders: wait for a slot, dispatch, reply."""

    def __init__(
        self,
        upstream: Upstream,
        sample_runner: SampleRunner | None,
        weights: WeightsCoordinator | None,
        records: RequestRecords,
        scheduler: SlotScheduler,
        reply_sender: ReplySender,
        metrics: Metrics,
    ) -> None:
        """Set up; `nursery` has to be set before orders are run."""
        self._upstream = upstream
        self._sample_runner = sample_runner
        self._weights = weights
        self._records = records
        self._scheduler = scheduler
        self._reply_sender = reply_sender
        self._metrics = metrics
        self.nursery: trio.Nursery | None = None
        self.is_upstream_reachable = True

    async def run(self, execution: Execution) -> None:
        """Wait for a slot, then dispatch the order or refuse it."""
        now = trio.current_time()
        reason = "deadline passed in the queue"
        is_granted = False
        try:
            with trio.CancelScope(deadline=execution.deadline):
                await self._scheduler.acquire_slot(
                    execution.order, now, execution.deadline
                )
                is_granted = True
        except SlotRefusedError as error:
            reason = str(error)
        finally:
            if (
                not is_granted
                and execution.record.state is RecordState.WAITING
            ):
                self._records.write_tombstone(
                    execution.record, trio.current_time()
                )
        if is_granted and execution.record.state is RecordState.WAITING:
            await self._dispatch_order(execution)
            return
        if is_granted:
            reason = "its entry settled it before it was run"
            self._scheduler.release_slot(execution.order, trio.current_time())
        rejected = Rejected(reason, const.MIN_RETRY_AFTER_S)
        await self._reply_sender.send_refusal(
            execution.order, rejected, execution.sink
        )

    async def _dispatch_order(self, execution: Execution) -> None:
        """Send an order to the upstream, after its record says so."""
        now = trio.current_time()
        self._records.change_state(
            execution.record, RecordState.DISPATCHED, now
        )
        self._metrics.count("orders_dispatched")
        waited_s = now - (
            execution.deadline - execution.order.timeout_ms / MS_PER_S
        )
        self._reply_sender.record_decision(
            execution.order,
            "dispatched",
            f"waited {waited_s:.3f} s for a slot",
        )
        if (
            execution.order.kind is OrderKind.CALL
            and not execution.order.repeatable
        ):
            await self._run_to_completion(execution)
            return
        try:
            if execution.order.kind is OrderKind.SAMPLE:
                await self._run_sample(execution)
            else:
                await self._stream_response(execution)
        finally:
            self._finish_dispatch(execution.order, execution.record, now)

    def _finish_dispatch(
        self, order: RunOrder, record: Record, started_at: float
    ) -> None:
        """Release the slot; mark an order without a response as lost."""
        now = trio.current_time()
        self._scheduler.rate.record_call(order.tokens, now - started_at)
        self._scheduler.release_slot(order, now)
        if record.state is RecordState.DISPATCHED:
            self._records.change_state(record, RecordState.LOST, now)

    async def _run_sample(self, execution: Execution) -> None:
        """Generate a sample and send it as one JSON response."""
        if self._sample_runner is None:
            return
        sample = None
        reason = "deadline passed"
        try:
            request = msgspec.json.decode(execution.body, type=SampleRequest)
            with trio.CancelScope(deadline=execution.deadline):
                sample = await self._sample_runner.generate(
                    execution.order, request
                )
        except (UpstreamError, msgspec.MsgspecError) as error:
            reason = str(error)
        if sample is None:
            await self._reply_sender.send_failure(
                execution.order, reason, execution.sink
            )
            return
        tokens = sample.count_tokens() - sum(
            s.tokens for s in request.segments
        )
        self._scheduler.queue.charge(
            execution.order.partner, tokens - execution.order.tokens
        )
        data = msgspec.json.encode(sample)
        now = trio.current_time()
        self._records.change_state(execution.record, RecordState.ANSWERED, now)
        versions = [segment.weight_version for segment in sample.segments]
        reply = Answered(
            execution.order.request_id,
            self._reply_sender.incarnation,
            200,
            "application/json",
            versions,
        )
        execution.record.sent_bytes = len(data)
        await execution.sink.start(reply)
        await execution.sink.write(data)
        await execution.sink.finish(versions)

    async def _stream_response(self, execution: Execution) -> None:
        """Forward the upstream's response as its chunks arrive."""
        head_sent = False
        versions = set(self._list_active_versions())
        reason = "deadline passed"
        try:
            with trio.CancelScope(deadline=execution.deadline):
                call = _make_call(execution.order, execution.body)
                async with self._upstream.call(call) as response:
                    self.is_upstream_reachable = True
                    versions |= set(self._list_active_versions())
                    reply = self._make_head(
                        execution.order,
                        response.status,
                        response.content_type,
                        versions,
                    )
                    head_sent = True
                    await execution.sink.start(reply)
                    async for chunk in response.iter_chunks():
                        execution.record.sent_bytes += len(chunk)
                        await execution.sink.write(chunk)
                versions |= set(self._list_active_versions())
                now = trio.current_time()
                self._records.change_state(
                    execution.record, RecordState.ANSWERED, now
                )
                await execution.sink.finish(sorted(versions))
                return
        except UpstreamNotSentError as error:
            await self._refuse_unsent(
                execution.order, execution.record, str(error), execution.sink
            )
            return
        except UpstreamError as error:
            reason = str(error)
        if head_sent:
            self._reply_sender.record_decision(
                execution.order, "truncated", reason
            )
            self._metrics.count("answers_cut")
            return
        await self._reply_sender.send_failure(
            execution.order, reason, execution.sink
        )

    async def _run_to_completion(self, execution: Execution) -> None:
        """Run a non-repeatable call to its end, even if its entry is lost."""
        if self.nursery is None:
            raise RuntimeError(
                "background tasks of the sidecar are not running"
            )
        done = trio.Event()
        outcome: list[StoredResponse | str | None] = [None]

        async def run_uncancelled() -> None:
            started_at = trio.current_time()
            try:
                outcome[0] = await self._fetch_complete(execution)
            finally:
                self._finish_dispatch(
                    execution.order, execution.record, started_at
                )
                done.set()

        self.nursery.start_soon(run_uncancelled)
        await done.wait()
        match outcome[0]:
            case StoredResponse() as response:
                await self._reply_sender.send_stored(
                    execution.order, response, execution.sink, is_replay=False
                )
            case str(reason):
                await self._refuse_unsent(
                    execution.order, execution.record, reason, execution.sink
                )
            case _:
                await self._reply_sender.send_failure(
                    execution.order,
                    "upstream sent no complete response",
                    execution.sink,
                )

    async def _fetch_complete(
        self, execution: Execution
    ) -> StoredResponse | str | None:
        """Return the complete response.

        Returns a reason instead if the call was certainly not sent, and
        None if the outcome is unknown.
        """
        try:
            with trio.CancelScope(deadline=execution.deadline):
                call = _make_call(execution.order, execution.body)
                async with self._upstream.call(call) as response:
                    self.is_upstream_reachable = True
                    parts = [part async for part in response.iter_chunks()]
                stored = StoredResponse(
                    response.status, response.content_type, b"".join(parts)
                )
                now = trio.current_time()
                execution.record.sent_bytes = len(stored.body)
                self._records.store_response(execution.record, stored, now)
                return stored
        except UpstreamNotSentError as error:
            self._records.write_tombstone(
                execution.record, trio.current_time()
            )
            return str(error)
        except UpstreamError:
            pass
        return None

    async def _refuse_unsent(
        self,
        order: RunOrder,
        record: Record,
        reason: str,
        sink: RunResponseSink,
    ) -> None:
        """Refuse an order that certainly did not reach the upstream."""
        self.is_upstream_reachable = False
        self._records.write_tombstone(record, trio.current_time())
        rejected = Rejected(f"upstream was not reached: {reason}", 1.0)
        await self._reply_sender.send_refusal(order, rejected, sink)

    def _make_head(
        self,
        order: RunOrder,
        status: int,
        content_type: str,
        versions: set[int],
    ) -> Answered:
        """Return the head of a reply."""
        return Answered(
            order.request_id,
            self._reply_sender.incarnation,
            status,
            content_type,
            sorted(versions),
        )

    def _list_active_versions(self) -> list[int]:
        """Return the weight versions that may serve a call right now."""
        return self._weights.list_active_versions() if self._weights else []


def _make_call(order: RunOrder, body: bytes) -> UpstreamCall:
    """Return the upstream call of an order."""
    return UpstreamCall(
        request_id=order.request_id,
        method=order.method,
        path=order.path,
        content_type=order.content_type,
        priority=order.priority,
        body=body,
        key=order.key,
    )
