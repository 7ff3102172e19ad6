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
from ..link.messages import BundlePush
from ..link.messages import Heartbeat
from ..link.messages import OrderKind
from ..link.messages import ReclaimOrder
from ..link.messages import RunOrder
from ..link.messages import Settlement
from ..link.messages import SettleOrder
from ..link.messages import Status
from ..ports.answer import RunResponseSink
from ..ports.upstream import Engine
from ..ports.upstream import Upstream
from ..ports.weights import WeightFetcher
from ..relay.coordinator import WeightRelay
from ..telemetry.metrics import Metrics
from .execution import Execution
from .execution import Executor
from .gate import Gate
from .models import Admission
from .models import Admitted
from .models import KeptAnswer
from .models import Known
from .models import Record
from .models import RecordState
from .models import Rejected
from .records import Records
from .records import UNDER_WAY
from .replies import Replier
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
        self.heard_at: float | None = None
        self.on_bundle: Callable[[], None] | None = None
        self.relay: WeightRelay | None = None
        self.weights: WeightsCoordinator | None = None
        self._samples: SampleRunner | None = None
        self._upstream = upstream
        if engine is not None:
            if fetcher is not None:
                self.relay = WeightRelay(
                    fetcher, own_address, self.metrics, rng
                )
            self.weights = WeightsCoordinator(
                engine, self.relay, self.metrics, rng
            )
            self._samples = SampleRunner(engine, self.weights)
        self._replier = Replier(
            self.incarnation,
            gate,
            self.metrics,
            self.explanations,
            self.is_ready,
        )
        self._executor = Executor(
            upstream,
            self._samples,
            self.weights,
            self.records,
            gate,
            self._replier,
            self.metrics,
        )

    async def run_tasks(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._executor.nursery = nursery
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
            if not self._executor.upstream_ok:
                self._executor.upstream_ok = (
                    await self._upstream.is_reachable()
                )

    async def run(
        self, order: RunOrder, body: bytes, sink: RunResponseSink
    ) -> None:
        """Run one order and answer it."""
        now = trio.current_time()
        refusal = self._check(order)
        if refusal is not None:
            await self._replier.refuse(order, refusal, sink)
            return
        match self._admit(order, now):
            case Rejected() as rejected:
                await self._replier.refuse(order, rejected, sink)
            case Known(record):
                await self._answer_known(order, record, sink)
            case Admitted(record):
                deadline = now + order.timeout_ms / MS_PER_S
                job = Execution(order, body, record, deadline, sink)
                await self._executor.run(job)

    def settle(self, order: SettleOrder, now: float) -> Settlement:
        """Tell what became of a request; tombstone what was not run."""
        settled = self.records.settle(order, now)
        self.metrics.count("settled_" + settled.name.lower())
        self.explanations.record_decision(
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
        if not beat.queried_request_ids:
            return status
        progress = [
            self.records.report(name) for name in beat.queried_request_ids
        ]
        return msgspec.structs.replace(status, progress=progress)

    def push_bundle(self, push: BundlePush, now: float) -> Status:
        """Take a newer bundle, once its signatures are checked."""
        before = self.keeper.version
        for envelope in push.envelopes:
            self.keeper.offer_envelope(envelope, now)
        if self.keeper.version > before:
            self.apply_bundle()
            if self.on_bundle is not None:
                self.on_bundle()
        return self.make_status(now)

    def reclaim(self, order: ReclaimOrder, now: float) -> Status:
        """Give samples back, so that they go on at another sampler."""
        for request_id in order.request_ids:
            self.metrics.count("samples_reclaimed")
            self.explanations.record_decision(
                request_id, now, "reclaimed", "its entry asked for it back"
            )
            if self._samples is None or not self._samples.reclaim(request_id):
                self.gate.refuse_waiting("reclaimed", request_id)
        return self.make_status(now)

    def apply_bundle(self) -> None:
        """Take over shares and deadlines of the bundle in force."""
        bundle = self.keeper.get_bundle()
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
        return self._executor.upstream_ok and reachable

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
            held_versions=weights.held() if weights is not None else [],
            epoch=self.keeper.epoch,
            ms_per_token=self._read_pace(now),
            ordered_versions=weights.ordered() if weights is not None else [],
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
        if order.kind is OrderKind.SAMPLE and self._samples is None:
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

    async def _answer_known(
        self, order: RunOrder, record: Record, sink: RunResponseSink
    ) -> None:
        """Answer an order whose key was taken before."""
        if record.body_digest != order.body_digest:
            reason = "the key was used with another request"
            await self._replier.send_kept(
                order, KeptAnswer(422, "text/plain", reason.encode()), sink
            )
            return
        with trio.move_on_after(order.timeout_ms / MS_PER_S):
            while record.state in UNDER_WAY:
                await record.changed.wait()
        if record.answer is not None:
            await self._replier.send_kept(order, record.answer, sink)
        elif record.state is RecordState.TOMBSTONE:
            rejected = Rejected("the key's request was not run", 0.0)
            await self._replier.refuse(order, rejected, sink)
        else:
            reason = f"the key's request is {record.state.value}"
            await self._replier.fail(order, reason, sink)
