"""Support running orders at one upstream: the only door to it."""

from collections.abc import Callable
from random import Random
from secrets import token_hex

import msgspec
import trio

from ..bundle.coordinator import BundleKeeper
from . import const
from ..const import MS_PER_S
from ..helpers.explanations import Explanations
from ..link.messages import Answered
from ..link.messages import BundlePush
from ..link.messages import Failed
from ..link.messages import Heartbeat
from ..link.messages import Kind
from ..link.messages import ReclaimOrder
from ..link.messages import Refused
from ..link.messages import RunOrder
from ..link.messages import Settlement
from ..link.messages import SettleOrder
from ..link.messages import Status
from ..ports.answer import AnswerSink
from ..ports.upstream import Engine
from ..ports.upstream import Upstream
from ..ports.upstream import UpstreamCall
from ..ports.upstream import UpstreamError
from ..ports.upstream import UpstreamNotSentError
from ..ports.weights import WeightFetcher
from ..relay.coordinator import WeightRelay
from ..telemetry.metrics import Metrics
from .gate import Gate
from .gate import GateRefusedError
from .models import Admission
from .models import Admitted
from .models import KeptAnswer
from .models import Known
from .models import Record
from .models import RecordState
from .models import Rejected
from .models import SampleRequest
from .records import Records
from .records import UNDER_WAY
from .samples import SampleRunner
from .weights import WeightsCoordinator


class SidecarCoordinator:
    """Run orders: at most once, fairly, with certain labels."""

    def __init__(
        self,
        name: str,
        upstream_name: str,
        upstream: Upstream,
        engine: Engine | None,
        keeper: BundleKeeper,
        gate: Gate,
        rng: Random,
        now: float,
        fetcher: WeightFetcher | None = None,
        own_address: str = "",
    ) -> None:
        """Begin with a new incarnation; `fetcher` relays weights."""
        self.name = name
        self.upstream_name = upstream_name
        self.incarnation = token_hex(8)
        self.started_at = now
        self.metrics = Metrics()
        self.explanations = Explanations()
        self.records = Records()
        self.gate = gate
        self.keeper = keeper
        self.upstream_ok = True
        self.heard_at: float | None = None
        self.on_bundle: Callable[[], None] | None = None
        self.relay: WeightRelay | None = None
        self.weights: WeightsCoordinator | None = None
        self._samples: SampleRunner | None = None
        self._upstream = upstream
        self._nursery: trio.Nursery | None = None
        if engine is not None:
            if fetcher is not None:
                self.relay = WeightRelay(
                    fetcher, own_address, self.metrics, rng
                )
            self.weights = WeightsCoordinator(
                engine, self.relay, self.metrics, rng
            )
            self._samples = SampleRunner(engine, self.weights)

    async def run_tasks(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            if self.weights is not None:
                nursery.start_soon(self.weights.run_probe)
                nursery.start_soon(self.weights.run_swaps)
                nursery.start_soon(self.weights.run_fetches)
            task_status.started()
            await self._probe_upstream()

    async def _probe_upstream(self) -> None:
        """Look whether an upstream that was lost is back; one task."""
        while True:
            await trio.sleep(const.PROBE_INTERVAL_S)
            if not self.upstream_ok:
                self.upstream_ok = await self._upstream.probe()

    async def run(
        self, order: RunOrder, body: bytes, sink: AnswerSink
    ) -> None:
        """Run one order and answer it."""
        now = trio.current_time()
        refusal = self._check(order)
        if refusal is not None:
            await self._refuse(order, refusal, sink)
            return
        match self._admit(order, now):
            case Rejected() as rejected:
                await self._refuse(order, rejected, sink)
            case Known(record):
                await self._answer_known(order, record, sink)
            case Admitted(record):
                deadline = now + order.timeout_ms / MS_PER_S
                await self._run_admitted(order, body, record, deadline, sink)

    def settle(self, order: SettleOrder, now: float) -> Settlement:
        """Tell what became of a request; tombstone what was not run."""
        settled = self.records.settle(order, now)
        self.metrics.count("settled_" + settled.name.lower())
        self.explanations.add(
            order.request_id, now, "settled", settled.name.lower()
        )
        return Settlement(order.request_id, self.incarnation, settled)

    def beat(self, beat: Heartbeat, now: float) -> Status:
        """Take what an entry knows; return how the sidecar does."""
        self.heard_at = now
        if self.weights is not None:
            for weight_order in beat.orders:
                refusal = self.weights.offer(weight_order, now)
                if not refusal:
                    self.metrics.count("weight_orders_taken")
        status = self.make_status(now)
        if not beat.asking:
            return status
        progress = [self.records.report(name) for name in beat.asking]
        return msgspec.structs.replace(status, progress=progress)

    def push_bundle(self, push: BundlePush, now: float) -> Status:
        """Take a newer bundle, once its signatures are checked."""
        before = self.keeper.version
        for envelope in push.envelopes:
            self.keeper.offer(envelope, now)
        if self.keeper.version > before:
            self.apply_bundle()
            if self.on_bundle is not None:
                self.on_bundle()
        return self.make_status(now)

    def reclaim(self, order: ReclaimOrder, now: float) -> Status:
        """Give samples back, so that they go on at another sampler."""
        for request_id in order.request_ids:
            self.metrics.count("samples_reclaimed")
            self.explanations.add(
                request_id, now, "reclaimed", "its entry asked for it back"
            )
            if self._samples is None or not self._samples.reclaim(request_id):
                self.gate.refuse_waiting("reclaimed", request_id)
        return self.make_status(now)

    def apply_bundle(self) -> None:
        """Take over shares and deadlines of the bundle in force."""
        bundle = self.keeper.bundle()
        if bundle is None:
            return
        shares = {partner.name: partner.share for partner in bundle.partners}
        self.gate.queue.set_shares(shares)
        upstream = bundle.find_upstream(self.upstream_name)
        if upstream is not None:
            longest_s = upstream.max_timeout_ms / MS_PER_S
            self.records.ttl_s = const.RECORD_TTL_FACTOR * longest_s

    def is_ready(self) -> bool:
        """Return whether the upstream was reached last time."""
        reachable = self.weights is None or self.weights.reachable
        return self.upstream_ok and reachable

    def make_status(self, now: float) -> Status:
        """Return how the sidecar does."""
        weights = self.weights
        return Status(
            name=self.name,
            incarnation=self.incarnation,
            ready=self.is_ready(),
            draining=self.gate.draining,
            uptime_s=round(now - self.started_at, 3),
            bundle_version=self.keeper.version,
            slots=self.gate.slots,
            running=self.gate.running,
            queued=len(self.gate.queue),
            queued_tokens=self.gate.queue.queued_tokens,
            held=weights.held() if weights is not None else [],
            epoch=self.keeper.epoch,
            ms_per_token=self._read_pace(now),
        )

    def _read_pace(self, now: float) -> float:
        """Return the pace of the running streams in ms per token."""
        if self._samples is None:
            return 0.0
        return round(self._samples.pace.read(now) * MS_PER_S, 3)

    def drain(self) -> None:
        """Refuse new orders and hand waiting ones back."""
        self.gate.draining = True
        self.gate.refuse_waiting("sidecar is draining")

    def _check(self, order: RunOrder) -> Rejected | None:
        """Return why an order is refused before it is recorded."""
        if order.incarnation and order.incarnation != self.incarnation:
            return Rejected("addressed to an older incarnation", 0.0)
        if order.upstream != self.upstream_name:
            return Rejected("addressed to another upstream", 0.0)
        if order.kind is Kind.SAMPLE and self._samples is None:
            return Rejected("upstream is not an engine", 0.0)
        return None

    def _admit(self, order: RunOrder, now: float) -> Admission:
        """Find or write the record; a known key is answered even late."""
        known = self.records.find_key(order)
        if known is not None:
            return known
        refusal = self.gate.check(order)
        if refusal is not None:
            return refusal
        return self.records.admit(order, now)

    async def _refuse(
        self, order: RunOrder, rejected: Rejected, sink: AnswerSink
    ) -> None:
        """Answer that an order was not run."""
        self.metrics.count("orders_refused")
        self._explain(order, "refused", rejected.reason)
        reply = Refused(
            order.request_id,
            self.incarnation,
            rejected.reason,
            rejected.retry_after_s,
            self.gate.draining,
            self.is_ready(),
        )
        await sink.begin(reply)
        await sink.finish([])

    async def _fail(
        self, order: RunOrder, reason: str, sink: AnswerSink
    ) -> None:
        """Answer that an order was dispatched and its answer is lost."""
        self.metrics.count("orders_lost")
        self._explain(order, "lost", reason)
        reply = Failed(order.request_id, self.incarnation, reason)
        await sink.begin(reply)
        await sink.finish([])

    async def _answer_known(
        self, order: RunOrder, record: Record, sink: AnswerSink
    ) -> None:
        """Answer an order whose key was taken before."""
        if record.body_digest != order.body_digest:
            reason = "the key was used with another request"
            await self._send_kept(
                order, KeptAnswer(422, "text/plain", reason.encode()), sink
            )
            return
        with trio.move_on_after(order.timeout_ms / MS_PER_S):
            while record.state in UNDER_WAY:
                await record.changed.wait()
        if record.answer is not None:
            await self._send_kept(order, record.answer, sink)
        elif record.state is RecordState.TOMBSTONE:
            rejected = Rejected("the key's request was not run", 0.0)
            await self._refuse(order, rejected, sink)
        else:
            reason = f"the key's request is {record.state.value}"
            await self._fail(order, reason, sink)

    async def _run_admitted(
        self,
        order: RunOrder,
        body: bytes,
        record: Record,
        deadline: float,
        sink: AnswerSink,
    ) -> None:
        """Wait for a slot, then dispatch."""
        now = trio.current_time()
        reason = "deadline passed in the queue"
        granted = False
        try:
            with trio.CancelScope(deadline=deadline):
                await self.gate.acquire(order, now, deadline)
                granted = True
        except GateRefusedError as error:
            reason = str(error)
        finally:
            if not granted and record.state is RecordState.WAITING:
                self.records.bury(record, trio.current_time())
        if granted and record.state is RecordState.WAITING:
            await self._dispatch(order, body, record, deadline, sink)
            return
        if granted:
            reason = "given up by its entry"
            self.gate.release(order, trio.current_time())
        rejected = Rejected(reason, const.MIN_RETRY_AFTER_S)
        await self._refuse(order, rejected, sink)

    async def _dispatch(
        self,
        order: RunOrder,
        body: bytes,
        record: Record,
        deadline: float,
        sink: AnswerSink,
    ) -> None:
        """Hand an order to the upstream; the record is written first."""
        now = trio.current_time()
        self.records.change(record, RecordState.DISPATCHED, now)
        self.metrics.count("orders_dispatched")
        waited = now - (deadline - order.timeout_ms / MS_PER_S)
        self._explain(order, "dispatched", f"waited {waited:.3f} s")
        if order.kind is Kind.CALL and not order.repeatable:
            await self._run_shielded(order, body, record, deadline, sink)
            return
        try:
            if order.kind is Kind.SAMPLE:
                await self._run_sample(order, body, record, deadline, sink)
            else:
                await self._pass_through(order, body, record, deadline, sink)
        finally:
            self._end_dispatch(order, record, now)

    def _end_dispatch(
        self, order: RunOrder, record: Record, started_at: float
    ) -> None:
        """Give the slot back; an order without an answer is lost."""
        now = trio.current_time()
        self.gate.rate.observe(order.tokens, now - started_at)
        self.gate.release(order, now)
        if record.state is RecordState.DISPATCHED:
            self.records.change(record, RecordState.LOST, now)

    async def _run_sample(
        self,
        order: RunOrder,
        body: bytes,
        record: Record,
        deadline: float,
        sink: AnswerSink,
    ) -> None:
        """Generate one labelled sample and send it whole."""
        if self._samples is None:
            return
        sample = None
        reason = "deadline passed"
        try:
            request = msgspec.json.decode(body, type=SampleRequest)
            with trio.CancelScope(deadline=deadline):
                sample = await self._samples.generate(order, request)
        except (UpstreamError, msgspec.MsgspecError) as error:
            reason = str(error)
        if sample is None:
            await self._fail(order, reason, sink)
            return
        tokens = sample.tokens() - sum(s.tokens for s in request.segments)
        self.gate.queue.charge(order.partner, tokens - order.tokens)
        data = msgspec.json.encode(sample)
        now = trio.current_time()
        self.records.change(record, RecordState.ANSWERED, now)
        versions = [segment.weight_version for segment in sample.segments]
        reply = Answered(
            order.request_id,
            self.incarnation,
            200,
            "application/json",
            versions,
        )
        record.sent = len(data)
        await sink.begin(reply)
        await sink.write(data)
        await sink.finish(versions)

    async def _pass_through(
        self,
        order: RunOrder,
        body: bytes,
        record: Record,
        deadline: float,
        sink: AnswerSink,
    ) -> None:
        """Pass an upstream's answer on as it comes."""
        begun = False
        labels = set(self._read_labels())
        reason = "deadline passed"
        try:
            with trio.CancelScope(deadline=deadline):
                call = _make_call(order, body)
                async with self._upstream.call(call) as answer:
                    self.upstream_ok = True
                    labels |= set(self._read_labels())
                    reply = self._make_answered(
                        order, answer.status, answer.content_type, labels
                    )
                    begun = True
                    await sink.begin(reply)
                    async for chunk in answer.chunks():
                        record.sent += len(chunk)
                        await sink.write(chunk)
                labels |= set(self._read_labels())
                now = trio.current_time()
                self.records.change(record, RecordState.ANSWERED, now)
                await sink.finish(sorted(labels))
                return
        except UpstreamNotSentError as error:
            await self._hand_back(order, record, str(error), sink)
            return
        except UpstreamError as error:
            reason = str(error)
        if begun:
            self._explain(order, "cut", reason)
            self.metrics.count("answers_cut")
            return
        await self._fail(order, reason, sink)

    async def _run_shielded(
        self,
        order: RunOrder,
        body: bytes,
        record: Record,
        deadline: float,
        sink: AnswerSink,
    ) -> None:
        """Run a non-repeatable call to its end, whoever goes away."""
        if self._nursery is None:
            raise RuntimeError("the sidecar's tasks are not running")
        done = trio.Event()
        outcome: list[KeptAnswer | str | None] = [None]

        async def run_whole() -> None:
            started_at = trio.current_time()
            try:
                outcome[0] = await self._call_whole(
                    order, body, record, deadline
                )
            finally:
                self._end_dispatch(order, record, started_at)
                done.set()

        self._nursery.start_soon(run_whole)
        await done.wait()
        match outcome[0]:
            case KeptAnswer() as answer:
                await self._send_kept(order, answer, sink, replayed=False)
            case str(reason):
                await self._hand_back(order, record, reason, sink)
            case _:
                await self._fail(order, "upstream gave no answer", sink)

    async def _call_whole(
        self, order: RunOrder, body: bytes, record: Record, deadline: float
    ) -> KeptAnswer | str | None:
        """Return the whole answer, why it was not sent, or None."""
        try:
            with trio.CancelScope(deadline=deadline):
                call = _make_call(order, body)
                async with self._upstream.call(call) as answer:
                    self.upstream_ok = True
                    parts = [part async for part in answer.chunks()]
                kept = KeptAnswer(
                    answer.status, answer.content_type, b"".join(parts)
                )
                now = trio.current_time()
                record.sent = len(kept.body)
                self.records.keep_answer(record, kept, now)
                return kept
        except UpstreamNotSentError as error:
            self.records.bury(record, trio.current_time())
            return str(error)
        except UpstreamError:
            pass
        return None

    async def _hand_back(
        self, order: RunOrder, record: Record, reason: str, sink: AnswerSink
    ) -> None:
        """Refuse an order that never reached the upstream."""
        self.upstream_ok = False
        self.records.bury(record, trio.current_time())
        rejected = Rejected(f"upstream not reached: {reason}", 1.0)
        await self._refuse(order, rejected, sink)

    async def _send_kept(
        self,
        order: RunOrder,
        answer: KeptAnswer,
        sink: AnswerSink,
        replayed: bool = True,
    ) -> None:
        """Send an answer that is held whole."""
        if replayed:
            self.metrics.count("answers_replayed")
            self._explain(order, "replayed", "the key was answered before")
        reply = Answered(
            order.request_id,
            self.incarnation,
            answer.status,
            answer.content_type,
            [],
            replayed,
        )
        await sink.begin(reply)
        await sink.write(answer.body)
        await sink.finish([])

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
            self.incarnation,
            status,
            content_type,
            sorted(labels),
        )

    def _read_labels(self) -> list[int]:
        """Return the weight versions that may take part right now."""
        return self.weights.read_labels() if self.weights else []

    def _explain(self, order: RunOrder, decision: str, reason: str) -> None:
        """Note a decision for `explain`."""
        now = trio.current_time()
        self.explanations.add(order.request_id, now, decision, reason)


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
