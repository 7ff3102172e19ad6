"""Crashes of instances, shared by all gateways through the store.

A request that is to blame for several crashes is suspended at every gateway,
wherever it comes again.
"""

from collections import OrderedDict
from urllib.parse import quote
from urllib.parse import unquote

import msgspec
from result import Err
from result import Ok
import trio

from . import const
from ..pool_holders.models import HolderRecord
from ..ports.kv import KeyValue
from ..ports.kv import KvEvent
from ..ports.kv import KvFault
from ..ports.sampler import ProcessState
from ..ports.sampler import SamplerClient
from ..routing.instances import ListedInstance
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .table import CrashAssessment
from .table import CrashTable
from .table import RequestStatus


class StoredRecord(HolderRecord, frozen=True):
    """Requests that a gateway lost in a crash, or that were served.

    Builds before this one take it for the record of a pool's holder.
    """

    fingerprints: list[str] = []


class CrashWatch:
    """Recognise requests that crash instances, and suspend them."""

    def __init__(
        self,
        gateway: str,
        samplers: SamplerClient,
        kv: KeyValue,
        metrics: Metrics,
    ) -> None:
        """Initialize; `gateway` is this gateway's name."""
        self._gateway = gateway
        self._samplers = samplers
        self._kv = kv
        self._metrics = metrics
        self.table = CrashTable()
        self._own_records: dict[str, set[str]] = {}
        self._writes: OrderedDict[str, bytes] = OrderedDict()
        self._written = trio.Event()
        self._cleared: list[str] = []
        self._has_cleared = trio.Event()
        self._clear_at_once = trio.Event()
        self._clear_count = 0
        self._lease = 0
        self._lease_granted_at = float("-inf")

    async def run(self) -> None:
        """Write what this gateway observed to the store."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_records)
            nursery.start_soon(self._pass_on_cleared)

    async def _pass_on_cleared(self) -> None:
        """Tell the other gateways which requests were served."""
        gateway = quote(self._gateway, safe="")
        while True:
            await self._has_cleared.wait()
            with trio.move_on_after(const.CLEAR_DELAY_S):
                await self._clear_at_once.wait()
            self._has_cleared = trio.Event()
            self._clear_at_once = trio.Event()
            self._clear_count += 1
            key = f"{const.PREFIX_CLEARED}{gateway}/{self._clear_count}"
            self._enqueue(key, self._encode_record(self._cleared))
            self._cleared = []

    async def _write_records(self) -> None:
        """Write the queued records, those of the same time together."""
        while True:
            await self._written.wait()
            self._written = trio.Event()
            await trio.sleep(const.COLLECT_DELAY_S)
            while self._writes:
                key, value = self._writes.popitem(last=False)
                await self._write(key, value)

    async def admit(self, fingerprint: str) -> CrashAssessment:
        """Return how a request may be sent; TRIAL if it is this gateway's."""
        assessment = self.table.assess(fingerprint, trio.current_time())
        if assessment.status is not RequestStatus.TRIAL:
            return assessment
        key = f"{const.PREFIX_TRIALS}{fingerprint}/{assessment.trial}"
        lease = await self._get_lease()
        if lease is None:
            return _suspend(assessment)
        claimed = await self._kv.compare_and_swap(
            key, self._encode_record([]), 0, lease
        )
        if isinstance(claimed, Err):
            return _suspend(assessment)
        now = trio.current_time()
        self.table.record_trial(fingerprint, assessment.trial, now)
        if not claimed.ok_value.won:
            return self.table.assess(fingerprint, now)
        self._metrics.count("suspended_calls_tried")
        log_event(
            "suspended_call_tried",
            fingerprint=fingerprint,
            trial=assessment.trial,
        )
        return assessment

    def find_assessment(self, fingerprint: str) -> CrashAssessment:
        """Return how a request that was admitted may be sent now."""
        return self.table.assess(fingerprint, trio.current_time())

    async def inspect_loss(
        self, instance: ListedInstance, fingerprint: str, request_id: str
    ) -> bool:
        """Return whether an instance ended while it ran a request.

        Call it when the connection was lost before the response. An instance
        that refuses connections right after has ended; one that accepts them
        only closed that connection.
        """
        state = await self._samplers.check_process(instance)
        self._metrics.count(f"losses_{state.value}")
        has_ended = state is ProcessState.GONE
        if has_ended:
            self._record_crash(instance, fingerprint)
        assessment = self.find_assessment(fingerprint)
        log_event(
            "attempt_lost",
            request=request_id,
            fingerprint=fingerprint,
            instance=instance.name,
            process=state.value,
            standing=assessment.status.value,
            crashes=assessment.crashes,
        )
        return has_ended

    def record_response(self, fingerprint: str) -> None:
        """Record that an instance ran a request to its end."""
        if not self.table.count_crashes(fingerprint):
            return
        if self.table.count_crashes(fingerprint) > 1:
            self._clear_at_once.set()
        self.table.clear_known(fingerprint)
        self._metrics.count("suspects_cleared")
        log_event("suspect_cleared", fingerprint=fingerprint)
        if len(self._cleared) < const.MAX_RECORD_FINGERPRINTS:
            self._cleared.append(fingerprint)
        self._has_cleared.set()

    def _record_crash(
        self, instance: ListedInstance, fingerprint: str
    ) -> None:
        """Record a request that was lost in a crash."""
        lifetime = f"{quote(instance.name, safe='')}@{instance.started_ms}"
        lost = self._own_records.setdefault(lifetime, set())
        if len(lost) >= const.MAX_RECORD_FINGERPRINTS:
            return
        lost.add(fingerprint)
        while len(self._own_records) > const.MAX_QUEUED_WRITES:
            del self._own_records[next(iter(self._own_records))]
        now = trio.current_time()
        self.table.record(lifetime, self._gateway, {fingerprint}, now)
        gateway = quote(self._gateway, safe="")
        self._enqueue(
            f"{const.PREFIX_RECORDS}{lifetime}/{gateway}",
            self._encode_record(sorted(lost)),
        )

    def _enqueue(self, key: str, value: bytes) -> None:
        """Queue a write; the oldest of too many is dropped."""
        self._writes[key] = value
        if len(self._writes) > const.MAX_QUEUED_WRITES:
            dropped, _ = self._writes.popitem(last=False)
            log_event("crash_record_dropped", key=dropped)
        self._written.set()

    async def _write(self, key: str, value: bytes) -> None:
        """Write a key, for a while again after each failure."""
        for _ in range(const.MAX_WRITE_ATTEMPTS):
            lease = await self._get_lease()
            if lease is not None:
                written = await self._kv.put_item(key, value, lease)
                if isinstance(written, Ok):
                    return
                if written.err_value.fault is KvFault.NO_LEASE:
                    self._lease = 0
            await trio.sleep(const.WRITE_RETRY_DELAY_S)
        log_event("crash_record_dropped", key=key)

    async def _get_lease(self) -> int | None:
        """Return a lease for what is written now; None without the store."""
        now = trio.current_time()
        if self._lease and now - self._lease_granted_at < const.LEASE_SHARE_S:
            return self._lease
        granted = await self._kv.grant_lease(const.MEMORY_S)
        if isinstance(granted, Err):
            return None
        self._lease, self._lease_granted_at = granted.ok_value, now
        return self._lease

    def _encode_record(self, fingerprints: list[str]) -> bytes:
        """Return the value of a key that this gateway writes."""
        return msgspec.json.encode(
            StoredRecord(self._gateway, "", "", fingerprints=fingerprints)
        )

    def apply_event(self, event: KvEvent) -> None:
        """Apply what a gateway wrote, or its end."""
        now = trio.current_time()
        if event.key.startswith(const.PREFIX_CLEARED):
            for fingerprint in _read_fingerprints(event):
                self.table.clear(fingerprint, event.revision, now)
            return
        kind = const.PREFIX_RECORDS
        if event.key.startswith(const.PREFIX_TRIALS):
            kind = const.PREFIX_TRIALS
        subject, _, rest = event.key.removeprefix(kind).rpartition("/")
        if kind == const.PREFIX_TRIALS:
            self._apply_trial(subject, rest, event, now)
        elif event.value is None:
            self.table.drop(subject, unquote(rest))
        else:
            self._apply_record(subject, unquote(rest), event, now)

    def _apply_trial(
        self, fingerprint: str, number: str, event: KvEvent, now: float
    ) -> None:
        """Apply a trial of some gateway."""
        if not number.isdecimal():
            log_event("crash_record_unreadable", key=event.key)
        elif event.value is None:
            self.table.drop_trial(fingerprint, int(number))
        else:
            self.table.record_trial(fingerprint, int(number), now)

    def _apply_record(
        self, lifetime: str, gateway: str, event: KvEvent, now: float
    ) -> None:
        """Apply the requests that some gateway lost in a crash."""
        lost = set(_read_fingerprints(event))
        if lost:
            self.table.record(lifetime, gateway, lost, now, event.revision)


def _read_fingerprints(event: KvEvent) -> list[str]:
    """Return the fingerprints in a record, none when it is unreadable."""
    if event.value is None:
        return []
    try:
        return msgspec.json.decode(event.value, type=StoredRecord).fingerprints
    except msgspec.MsgspecError as error:
        log_event("crash_record_unreadable", key=event.key, error=str(error))
        return []


def _suspend(assessment: CrashAssessment) -> CrashAssessment:
    """Return the assessment while the store can't decide on a trial."""
    return CrashAssessment(
        RequestStatus.SUSPENDED,
        assessment.crashes,
        const.WRITE_RETRY_DELAY_S,
        assessment.trial,
    )
