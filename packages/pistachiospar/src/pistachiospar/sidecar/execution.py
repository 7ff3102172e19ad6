"""Support running admitted orders at the upstream."""

from dataclasses import dataclass

import msgspec
import trio

from . import const
from ..const import MS_PER_S
from ..link.messages import Answered
from ..link.messages import OrderKind
from ..link.messages import RunOrder
from ..ports.answer import RunResponseSink
from ..ports.upstream import Upstream
from ..ports.upstream import UpstreamCall
from ..ports.upstream import UpstreamError
from ..ports.upstream import UpstreamNotSentError
from ..telemetry.metrics import Metrics
from .gate import Gate
from .gate import GateRefusedError
from .models import KeptAnswer
from .models import Record
from .models import RecordState
from .models import Rejected
from .models import SampleRequest
from .records import Records
from .replies import Replier
from .samples import SampleRunner
from .weights import WeightsCoordinator


@dataclass(frozen=True, slots=True)
class Execution:
    """Hold an admitted order; the deadline is monotonic seconds."""

    order: RunOrder
    body: bytes
    record: Record
    deadline: float
    sink: RunResponseSink


class Executor:
    """Run admitted orders: wait for a slot, dispatch, answer."""

    def __init__(
        self,
        upstream: Upstream,
        samples: SampleRunner | None,
        weights: WeightsCoordinator | None,
        records: Records,
        gate: Gate,
        replier: Replier,
        metrics: Metrics,
    ) -> None:
        """Take the upstream and what stands before it."""
        self._upstream = upstream
        self._samples = samples
        self._weights = weights
        self._records = records
        self._gate = gate
        self._replier = replier
        self._metrics = metrics
        self.nursery: trio.Nursery | None = None
        self.upstream_ok = True

    async def run(self, job: Execution) -> None:
        """Wait for a slot, then dispatch."""
        now = trio.current_time()
        reason = "deadline passed in the queue"
        granted = False
        try:
            with trio.CancelScope(deadline=job.deadline):
                await self._gate.acquire(job.order, now, job.deadline)
                granted = True
        except GateRefusedError as error:
            reason = str(error)
        finally:
            if not granted and job.record.state is RecordState.WAITING:
                self._records.bury(job.record, trio.current_time())
        if granted and job.record.state is RecordState.WAITING:
            await self._dispatch(job)
            return
        if granted:
            reason = "given up by its entry"
            self._gate.release(job.order, trio.current_time())
        rejected = Rejected(reason, const.MIN_RETRY_AFTER_S)
        await self._replier.refuse(job.order, rejected, job.sink)

    async def _dispatch(self, job: Execution) -> None:
        """Hand an order to the upstream; the record is written first."""
        now = trio.current_time()
        self._records.change(job.record, RecordState.DISPATCHED, now)
        self._metrics.count("orders_dispatched")
        waited = now - (job.deadline - job.order.timeout_ms / MS_PER_S)
        self._replier.explain(
            job.order, "dispatched", f"waited {waited:.3f} s"
        )
        if job.order.kind is OrderKind.CALL and not job.order.repeatable:
            await self._run_shielded(job)
            return
        try:
            if job.order.kind is OrderKind.SAMPLE:
                await self._run_sample(job)
            else:
                await self._pass_through(job)
        finally:
            self._end_dispatch(job.order, job.record, now)

    def _end_dispatch(
        self, order: RunOrder, record: Record, started_at: float
    ) -> None:
        """Give the slot back; an order without an answer is lost."""
        now = trio.current_time()
        self._gate.rate.observe(order.tokens, now - started_at)
        self._gate.release(order, now)
        if record.state is RecordState.DISPATCHED:
            self._records.change(record, RecordState.LOST, now)

    async def _run_sample(self, job: Execution) -> None:
        """Generate one labelled sample and send it whole."""
        if self._samples is None:
            return
        sample = None
        reason = "deadline passed"
        try:
            request = msgspec.json.decode(job.body, type=SampleRequest)
            with trio.CancelScope(deadline=job.deadline):
                sample = await self._samples.generate(job.order, request)
        except (UpstreamError, msgspec.MsgspecError) as error:
            reason = str(error)
        if sample is None:
            await self._replier.fail(job.order, reason, job.sink)
            return
        tokens = sample.tokens() - sum(s.tokens for s in request.segments)
        self._gate.queue.charge(job.order.partner, tokens - job.order.tokens)
        data = msgspec.json.encode(sample)
        now = trio.current_time()
        self._records.change(job.record, RecordState.ANSWERED, now)
        versions = [segment.weight_version for segment in sample.segments]
        reply = Answered(
            job.order.request_id,
            self._replier.incarnation,
            200,
            "application/json",
            versions,
        )
        job.record.sent = len(data)
        await job.sink.start(reply)
        await job.sink.write(data)
        await job.sink.finish(versions)

    async def _pass_through(self, job: Execution) -> None:
        """Pass an upstream's answer on as it comes."""
        begun = False
        labels = set(self._read_labels())
        reason = "deadline passed"
        try:
            with trio.CancelScope(deadline=job.deadline):
                call = _make_call(job.order, job.body)
                async with self._upstream.call(call) as answer:
                    self.upstream_ok = True
                    labels |= set(self._read_labels())
                    reply = self._make_answered(
                        job.order, answer.status, answer.content_type, labels
                    )
                    begun = True
                    await job.sink.start(reply)
                    async for chunk in answer.iter_chunks():
                        job.record.sent += len(chunk)
                        await job.sink.write(chunk)
                labels |= set(self._read_labels())
                now = trio.current_time()
                self._records.change(job.record, RecordState.ANSWERED, now)
                await job.sink.finish(sorted(labels))
                return
        except UpstreamNotSentError as error:
            await self._hand_back(job.order, job.record, str(error), job.sink)
            return
        except UpstreamError as error:
            reason = str(error)
        if begun:
            self._replier.explain(job.order, "cut", reason)
            self._metrics.count("answers_cut")
            return
        await self._replier.fail(job.order, reason, job.sink)

    async def _run_shielded(self, job: Execution) -> None:
        """Run a non-repeatable call to its end, whoever goes away."""
        if self.nursery is None:
            raise RuntimeError("the sidecar's tasks are not running")
        done = trio.Event()
        outcome: list[KeptAnswer | str | None] = [None]

        async def run_whole() -> None:
            started_at = trio.current_time()
            try:
                outcome[0] = await self._call_whole(job)
            finally:
                self._end_dispatch(job.order, job.record, started_at)
                done.set()

        self.nursery.start_soon(run_whole)
        await done.wait()
        match outcome[0]:
            case KeptAnswer() as answer:
                await self._replier.send_kept(
                    job.order, answer, job.sink, replayed=False
                )
            case str(reason):
                await self._hand_back(job.order, job.record, reason, job.sink)
            case _:
                await self._replier.fail(
                    job.order, "upstream gave no answer", job.sink
                )

    async def _call_whole(self, job: Execution) -> KeptAnswer | str | None:
        """Return the whole answer, why it was not sent, or None."""
        try:
            with trio.CancelScope(deadline=job.deadline):
                call = _make_call(job.order, job.body)
                async with self._upstream.call(call) as answer:
                    self.upstream_ok = True
                    parts = [part async for part in answer.iter_chunks()]
                kept = KeptAnswer(
                    answer.status, answer.content_type, b"".join(parts)
                )
                now = trio.current_time()
                job.record.sent = len(kept.body)
                self._records.keep_answer(job.record, kept, now)
                return kept
        except UpstreamNotSentError as error:
            self._records.bury(job.record, trio.current_time())
            return str(error)
        except UpstreamError:
            pass
        return None

    async def _hand_back(
        self,
        order: RunOrder,
        record: Record,
        reason: str,
        sink: RunResponseSink,
    ) -> None:
        """Refuse an order that never reached the upstream."""
        self.upstream_ok = False
        self._records.bury(record, trio.current_time())
        rejected = Rejected(f"upstream not reached: {reason}", 1.0)
        await self._replier.refuse(order, rejected, sink)

    def _make_answered(
        self,
        order: RunOrder,
        status: int,
        content_type: str,
        labels: set[int],
    ) -> Answered:
        """Make the head of an answer."""
        return Answered(
            order.request_id,
            self._replier.incarnation,
            status,
            content_type,
            sorted(labels),
        )

    def _read_labels(self) -> list[int]:
        """Return the weight versions that may take part right now."""
        return self._weights.read_labels() if self._weights else []


def _make_call(order: RunOrder, body: bytes) -> UpstreamCall:
    """Make the upstream's call."""
    return UpstreamCall(
        request_id=order.request_id,
        method=order.method,
        path=order.path,
        content_type=order.content_type,
        priority=order.priority,
        body=body,
        key=order.key,
    )
