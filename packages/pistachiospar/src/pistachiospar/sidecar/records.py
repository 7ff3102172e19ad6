"""Support at most once: a record of each request before its dispatch."""

from collections import OrderedDict

import trio

from ..link.messages import RequestProgress
from ..link.messages import RunOrder
from ..link.messages import SettlementOutcome
from ..link.messages import SettleOrder
from .const import DEFAULT_RECORD_TTL_S
from .const import MAX_KEPT_ANSWER_BYTES
from .const import MAX_KEPT_TOTAL_BYTES
from .models import Admission
from .models import Admitted
from .models import KeptAnswer
from .models import Known
from .models import Record
from .models import RecordState
from .models import Rejected

SETTLED: dict[RecordState, SettlementOutcome] = {
    RecordState.WAITING: SettlementOutcome.NOT_RUN,
    RecordState.TOMBSTONE: SettlementOutcome.NOT_RUN,
    RecordState.DISPATCHED: SettlementOutcome.DISPATCHED,
    RecordState.LOST: SettlementOutcome.DISPATCHED,
    RecordState.ANSWERED: SettlementOutcome.ANSWERED,
}

UNDER_WAY = frozenset({RecordState.WAITING, RecordState.DISPATCHED})


class Records:
    """Hold the records until they expire."""

    def __init__(self) -> None:
        """Begin empty."""
        self.ttl_s = DEFAULT_RECORD_TTL_S
        self._by_id: OrderedDict[str, Record] = OrderedDict()
        self._by_key: dict[str, Record] = {}
        self._kept_bytes = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._by_id)

    def admit(self, order: RunOrder, now: float) -> Admission:
        """Write the record of a new request, or tell why not."""
        self._expire(now)
        if order.request_id in self._by_id:
            return Rejected("request was taken or given up before", 0.0)
        record = Record(
            order.request_id, order.caller, order.key, order.body_digest
        )
        self._add(record, now)
        return Admitted(record)

    def find_key(self, order: RunOrder) -> Known | Rejected | None:
        """Return what is known of an order's key, if anything."""
        if not order.key:
            return None
        record = self._by_key.get(_make_key(order.caller, order.key))
        if record is None:
            return None
        if record.state is RecordState.TOMBSTONE:
            return Rejected("the key was given up here", 0.0)
        return Known(record)

    def settle(self, order: SettleOrder, now: float) -> SettlementOutcome:
        """Tell what became of a request; tombstone what was not run.

        The tombstone is the request's own: a later one with the same key
        may run here, unless the key is said to have moved.
        """
        self._expire(now)
        record = self._by_id.get(order.request_id)
        if record is None and order.key:
            record = self._by_key.get(_make_key(order.caller, order.key))
        if record is None:
            key = order.key if order.key_moved else ""
            record = Record(order.request_id, order.caller, key, "")
            record.state = RecordState.TOMBSTONE
            self._add(record, now)
        if record.state is RecordState.WAITING:
            self.bury(record, now)
        return SETTLED[record.state]

    def bury(self, record: Record, now: float) -> None:
        """Tombstone a request that was not run; its key is free again."""
        self.change(record, RecordState.TOMBSTONE, now)
        key = _make_key(record.caller, record.key)
        if self._by_key.get(key) is record:
            del self._by_key[key]

    def report(self, request_id: str) -> RequestProgress:
        """Tell how far a request has come."""
        record = self._by_id.get(request_id)
        if record is None:
            return RequestProgress(request_id, False, 0)
        ended = record.state not in UNDER_WAY
        return RequestProgress(request_id, True, record.sent, ended)

    def change(self, record: Record, state: RecordState, now: float) -> None:
        """Move a record on and wake those that wait for it."""
        record.state = state
        record.expires_at = now + self.ttl_s
        if record.request_id in self._by_id:
            self._by_id.move_to_end(record.request_id)
        record.changed.set()
        record.changed = trio.Event()

    def keep_answer(
        self, record: Record, answer: KeptAnswer, now: float
    ) -> None:
        """Mark as answered; keep the answer if it is small."""
        size = len(answer.body)
        fits = self._kept_bytes + size <= MAX_KEPT_TOTAL_BYTES
        if record.key and size <= MAX_KEPT_ANSWER_BYTES and fits:
            record.answer = answer
            self._kept_bytes += size
        self.change(record, RecordState.ANSWERED, now)

    def _add(self, record: Record, now: float) -> None:
        """Add a record."""
        record.expires_at = now + self.ttl_s
        self._by_id[record.request_id] = record
        if record.key:
            self._by_key[_make_key(record.caller, record.key)] = record

    def _expire(self, now: float) -> None:
        """Drop records past their time; they stand in that order."""
        while self._by_id:
            record = next(iter(self._by_id.values()))
            if record.expires_at > now:
                return
            if record.state in UNDER_WAY:
                record.expires_at = now + self.ttl_s
                self._by_id.move_to_end(record.request_id)
                continue
            if record.answer is not None:
                self._kept_bytes -= len(record.answer.body)
            del self._by_id[record.request_id]
            key = _make_key(record.caller, record.key)
            if self._by_key.get(key) is record:
                del self._by_key[key]


def _make_key(caller: str, key: str) -> str:
    """Return the name of an idempotency key of a caller."""
    return f"{caller}\0{key}"
