"""Coordinator of a sidecar: admits, runs and settles run orders."""

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
from ..ports.run_response import RunResponseSink
from ..ports.upstream import Engine
from ..ports.upstream import Upstream
from ..ports.weights import WeightFetcher
from ..telemetry.metrics import Metrics
from ..weight_relay.coordinator import WeightRelay
from .execution import Execution
from .execution import Executor
from .models import Admission
from .models import Admitted
from .models import KnownKey
from .models import Record
from .models import RecordState
from .models import Rejected
from .models import StoredResponse
from .reply_sender import ReplySender
from .request_records import IN_PROGRESS_STATES
from .request_records import RequestRecords
from .samples import SampleRunner
from .scheduler import SlotScheduler
from .weights import WeightsCoordinator


class SidecarCoordinator:
    """Run the orders of all entries at one upstream.

    Each request runs at most once, partners share the slots fairly, and
    each sample is labelled with the weight versions that produced it.
    """

    def __init__(
        self,
        name: str,
        upstream_name: str,
        upstream: Upstream,
        engine: Engine | None,
        keeper: BundleKeeper,
        scheduler: SlotScheduler,
        rng: Random,
        now: float,
        fetcher: WeightFetcher | None = None,
        own_address: str = "",
    ) -> None:
        """Start a new incarnation; without `fetcher` it relays no weights."""
        self.name = name
        self.upstream_name = upstream_name
        self.incarnation = token_hex(8)
        self.started_at = now
        self.metrics = Metrics()
        self.explanations = Explanations()
        self.records = RequestRecords()
        self.scheduler = scheduler
        self.keeper = keeper
        self.last_heartbeat_at: float | None = None
        self.on_bundle_change: Callable[[], None] | None = None
        self.relay: WeightRelay | None = None
        self.weights: WeightsCoordinator | None = None
        self._sample_runner: SampleRunner | None = None
        self._upstream = upstream
        if engine is not None:
            if fetcher is not None:
                self.relay = WeightRelay(
                    fetcher, own_address, self.metrics, rng
                )
            self.weights = WeightsCoordinator(
                engine, self.relay, self.metrics, rng
            )
            self._sample_runner = SampleRunner(engine, self.weights)
        self._reply_sender = ReplySender(
            self.incarnation,
            scheduler,
            self.metrics,
            self.explanations,
            self.is_ready,
        )
        self._executor = Executor(
            upstream,
            self._sample_runner,
            self.weights,
            self.records,
            scheduler,
            self._reply_sender,
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
        """Probe the upstream at intervals while it is unreachable."""
        while True:
            await trio.sleep(const.PROBE_INTERVAL_S)
            if not self._executor.is_upstream_reachable:
                self._executor.is_upstream_reachable = (
                    await self._upstream.is_reachable()
                )

    async def run_order(
        self, order: RunOrder, body: bytes, sink: RunResponseSink
    ) -> None:
        """Run one order and send the reply to `sink`."""
        now = trio.current_time()
        refusal = self._check_destination(order)
        if refusal is not None:
            await self._reply_sender.send_refusal(order, refusal, sink)
            return
        match self._admit_order(order, now):
            case Rejected() as rejected:
                await self._reply_sender.send_refusal(order, rejected, sink)
            case KnownKey(record):
                await self._answer_known_key(order, record, sink)
            case Admitted(record):
                deadline = now + order.timeout_ms / MS_PER_S
                execution = Execution(order, body, record, deadline, sink)
                await self._executor.run(execution)

    def settle(self, order: SettleOrder, now: float) -> Settlement:
        """Return what became of a request; tombstone it if it was not run."""
        outcome = self.records.settle(order, now)
        self.metrics.count("settled_" + outcome.name.lower())
        self.explanations.record_decision(
            order.request_id, now, "settled", outcome.name.lower()
        )
        return Settlement(order.request_id, self.incarnation, outcome)

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> Status:
        """Schedule an entry's weight orders; return the sidecar's status."""
        self.last_heartbeat_at = now
        if self.weights is not None:
            for weight_order in heartbeat.orders:
                refusal = self.weights.handle_order(weight_order, now)
                if not refusal:
                    self.metrics.count("weight_orders_taken")
        status = self.make_status(now)
        if not heartbeat.queried_request_ids:
            return status
        progress = [
            self.records.report_progress(name)
            for name in heartbeat.queried_request_ids
        ]
        return msgspec.structs.replace(status, progress=progress)

    def push_bundle(self, push: BundlePush, now: float) -> Status:
        """Apply the newest bundle whose signatures are valid."""
        before = self.keeper.version
        for envelope in push.envelopes:
            self.keeper.offer_envelope(envelope, now)
        if self.keeper.version > before:
            self.apply_bundle()
            if self.on_bundle_change is not None:
                self.on_bundle_change()
        return self.make_status(now)

    def reclaim_samples(self, order: ReclaimOrder, now: float) -> Status:
        """Stop samples, so that they continue at another sampler."""
        for request_id in order.request_ids:
            self.metrics.count("samples_reclaimed")
            self.explanations.record_decision(
                request_id,
                now,
                "reclaimed",
                "its entry asked to move it to another sampler",
            )
            if self._sample_runner is None or not self._sample_runner.reclaim(
                request_id
            ):
                self.scheduler.refuse_waiting("reclaimed", request_id)
        return self.make_status(now)

    def apply_bundle(self) -> None:
        """Apply the partners' shares and the longest timeout of the bundle."""
        bundle = self.keeper.get_bundle()
        if bundle is None:
            return
        shares = {partner.name: partner.share for partner in bundle.partners}
        self.scheduler.queue.set_shares(shares)
        upstream = bundle.find_upstream(self.upstream_name)
        if upstream is not None:
            max_timeout_s = upstream.max_timeout_ms / MS_PER_S
            self.records.ttl_s = const.RECORD_TTL_FACTOR * max_timeout_s

    def is_ready(self) -> bool:
        """Return whether the last attempts to reach the upstream succeeded."""
        reachable = self.weights is None or self.weights.is_reachable
        return self._executor.is_upstream_reachable and reachable

    def make_status(self, now: float) -> Status:
        """Return the status message for entries."""
        weights = self.weights
        return Status(
            name=self.name,
            incarnation=self.incarnation,
            ready=self.is_ready(),
            draining=self.scheduler.is_draining,
            uptime_s=round(now - self.started_at, 3),
            bundle_version=self.keeper.version,
            slots=self.scheduler.slots,
            running=self.scheduler.running,
            queued=len(self.scheduler.queue),
            queued_tokens=self.scheduler.queue.queued_tokens,
            held_versions=weights.list_held() if weights is not None else [],
            epoch=self.keeper.epoch,
            ms_per_token=self._read_ms_per_token(now),
            ordered_versions=weights.list_ordered()
            if weights is not None
            else [],
        )

    def _read_ms_per_token(self, now: float) -> float:
        """Return the milliseconds per token of the running streams."""
        if self._sample_runner is None:
            return 0.0
        return round(
            self._sample_runner.pace.read_s_per_token(now) * MS_PER_S, 3
        )

    def drain(self) -> None:
        """Refuse new orders and those that wait for a slot."""
        self.scheduler.is_draining = True
        self.scheduler.refuse_waiting("sidecar is draining")

    def _check_destination(self, order: RunOrder) -> Rejected | None:
        """Return the refusal of an order that is not for this sidecar."""
        if order.incarnation and order.incarnation != self.incarnation:
            return Rejected("order is addressed to an older incarnation", 0.0)
        if order.upstream != self.upstream_name:
            return Rejected("order is addressed to another upstream", 0.0)
        if order.kind is OrderKind.SAMPLE and self._sample_runner is None:
            return Rejected("upstream is not an engine", 0.0)
        return None

    def _admit_order(self, order: RunOrder, now: float) -> Admission:
        """Find or write the record of an order.

        A known key is answered even if a new order would be refused.
        """
        known = self.records.find_by_key(order)
        if known is not None:
            return known
        refusal = self.scheduler.check_admission(order)
        if refusal is not None:
            return refusal
        return self.records.admit(order, now)

    async def _answer_known_key(
        self, order: RunOrder, record: Record, sink: RunResponseSink
    ) -> None:
        """Reply to an order whose idempotency key has a record."""
        if record.body_digest != order.body_digest:
            reason = "idempotency key was used with another request body"
            await self._reply_sender.send_stored(
                order, StoredResponse(422, "text/plain", reason.encode()), sink
            )
            return
        with trio.move_on_after(order.timeout_ms / MS_PER_S):
            while record.state in IN_PROGRESS_STATES:
                await record.state_changed.wait()
        if record.response is not None:
            await self._reply_sender.send_stored(order, record.response, sink)
        elif record.state is RecordState.TOMBSTONE:
            rejected = Rejected(
                "earlier request with this key was not run", 0.0
            )
            await self._reply_sender.send_refusal(order, rejected, sink)
        else:
            reason = f"earlier request with this key is {record.state.value}"
            await self._reply_sender.send_failure(order, reason, sink)
