"""Records of requests, written before dispatch: each runs at most once."""

from collections import OrderedDict

import trio

from ..link.messages import RequestProgress
from ..link.messages import RunOrder
from ..link.messages import SettlementOutcome
from ..link.messages import SettleOrder
from .const import DEFAULT_RECORD_TTL_S
from .const import MAX_STORED_RESPONSE_BYTES
from .const import MAX_STORED_TOTAL_BYTES
from .models import Admission
from .models import Admitted
from .models import KnownKey
from .models import Record
from .models import RecordState
from .models import Rejected
from .models import StoredResponse

SETTLED_BY_STATE: dict[RecordState, SettlementOutcome] = {
    RecordState.WAITING: SettlementOutcome.NOT_RUN,
    RecordState.TOMBSTONE: SettlementOutcome.NOT_RUN,
    RecordState.DISPATCHED: SettlementOutcome.DISPATCHED,
    RecordState.LOST: SettlementOutcome.DISPATCHED,
    RecordState.ANSWERED: SettlementOutcome.ANSWERED,
}

IN_PROGRESS_STATES = frozenset({RecordState.WAITING, RecordState.DISPATCHED})


class RequestRecords:
    """Records by request id and idempotency key, until they expire."""

    def __init__(self) -> None:
        """Set up without records."""
        self.ttl_s = DEFAULT_RECORD_TTL_S
        self._by_id: OrderedDict[str, Record] = OrderedDict()
        self._by_key: dict[str, Record] = {}
        self._stored_bytes = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._by_id)

    def admit(self, order: RunOrder, now: float) -> Admission:
        """Write the record of a new request; reject a known request id."""
        self._drop_expired(now)
        if order.request_id in self._by_id:
            return Rejected("request id was accepted or settled before", 0.0)
        record = Record(
            order.request_id, order.caller, order.key, order.body_digest
        )
        self._add_record(record, now)
        return Admitted(record)

    def find_by_key(self, order: RunOrder) -> KnownKey | Rejected | None:
        """Return what is known of an order's key, None for a new key."""
        if not order.key:
            return None
        record = self._by_key.get(_make_caller_key(order.caller, order.key))
        if record is None:
            return None
        if record.state is RecordState.TOMBSTONE:
            return Rejected("idempotency key was settled as not run here", 0.0)
        return KnownKey(record)

    def settle(self, order: SettleOrder, now: float) -> SettlementOutcome:
        """Return what became of a request; tombstone it if it was not run.

        The tombstone covers only this request: a later one with the same
        key may run here, unless `order.key_moved` says that the key is served
        elsewhere.
        """
        self._drop_expired(now)
        record = self._by_id.get(order.request_id)
        if record is None and order.key:
            record = self._by_key.get(
                _make_caller_key(order.caller, order.key)
            )
        if record is None:
            key = order.key if order.key_moved else ""
            record = Record(order.request_id, order.caller, key, "")
            record.state = RecordState.TOMBSTONE
            self._add_record(record, now)
        if record.state is RecordState.WAITING:
            self.write_tombstone(record, now)
        return SETTLED_BY_STATE[record.state]

    def write_tombstone(self, record: Record, now: float) -> None:
        """Tombstone a request that was not run, and free its key."""
        self.change_state(record, RecordState.TOMBSTONE, now)
        key = _make_caller_key(record.caller, record.key)
        if self._by_key.get(key) is record:
            del self._by_key[key]

    def report_progress(self, request_id: str) -> RequestProgress:
        """Return the progress of a request."""
        record = self._by_id.get(request_id)
        if record is None:
            return RequestProgress(request_id, False, 0)
        ended = record.state not in IN_PROGRESS_STATES
        return RequestProgress(request_id, True, record.sent_bytes, ended)

    def change_state(
        self, record: Record, state: RecordState, now: float
    ) -> None:
        """Set a record's state, renew its expiry and wake its waiters."""
        record.state = state
        record.expires_at = now + self.ttl_s
        if record.request_id in self._by_id:
            self._by_id.move_to_end(record.request_id)
        record.state_changed.set()
        record.state_changed = trio.Event()

    def store_response(
        self, record: Record, response: StoredResponse, now: float
    ) -> None:
        """Mark a record as answered.

        The response is stored if the request has a key and the response is
        within the size limits.
        """
        size = len(response.body)
        fits = self._stored_bytes + size <= MAX_STORED_TOTAL_BYTES
        if record.key and size <= MAX_STORED_RESPONSE_BYTES and fits:
            record.response = response
            self._stored_bytes += size
        self.change_state(record, RecordState.ANSWERED, now)

    def _add_record(self, record: Record, now: float) -> None:
        """Add a record under its request id and its key."""
        record.expires_at = now + self.ttl_s
        self._by_id[record.request_id] = record
        if record.key:
            self._by_key[_make_caller_key(record.caller, record.key)] = record

    def _drop_expired(self, now: float) -> None:
        """Drop expired records, which are ordered by expiry."""
        while self._by_id:
            record = next(iter(self._by_id.values()))
            if record.expires_at > now:
                return
            if record.state in IN_PROGRESS_STATES:
                record.expires_at = now + self.ttl_s
                self._by_id.move_to_end(record.request_id)
                continue
            if record.response is not None:
                self._stored_bytes -= len(record.response.body)
            del self._by_id[record.request_id]
            key = _make_caller_key(record.caller, record.key)
            if self._by_key.get(key) is record:
                del self._by_key[key]


def _make_caller_key(caller: str, key: str) -> str:
    """Return an idempotency key with its caller, as one text."""
    return f"{caller}\0{key}"
