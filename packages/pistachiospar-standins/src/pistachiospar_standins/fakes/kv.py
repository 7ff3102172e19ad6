"""In-memory fake of the key-value port, with injected faults."""

from collections.abc import AsyncGenerator
from collections.abc import Callable
from collections import Counter
from dataclasses import dataclass

from pistachiospar.adapters.etcd.models import compute_prefix_end
from pistachiospar.kv_access.base import CommitBasedKeyValue
from pistachiospar.ports.kv import KvError
from pistachiospar.ports.kv import KvEvent
from pistachiospar.ports.kv import KvFault
from pistachiospar.ports.kv import KvItem
from pistachiospar.ports.kv import KvTransaction
from pistachiospar.ports.kv import KvWriteResult
from pistachiospar.ports.kv import WATCH_POLL_TIMEOUT_S
from result import Err
from result import Ok
from result import Result
import trio

from ..kv.store import Store
from ..kv.store import StoredItem

CALL_TIMEOUT_S = 2.0
MAX_ROWS = 32
MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 1_048_576
MAX_WATCH_SILENCE_S = 10.0


@dataclass(slots=True)
class KvFaultSet:
    """The faults of the service; times are in seconds.

    `lose_replies` counts down writes that take effect but get no reply;
    `lose_reply_every` drops each n-th reply to a write. `silent_watch` keeps
    watches open without events. A poll during which `silent_poll` is set
    receives no more changes and fails at the end of its wait. `draw_delay_s`
    returns how much longer a request or the reply to a write takes.
    """

    down: bool = False
    latency_s: float = 0.002
    lose_replies: int = 0
    lose_reply_every: int = 0
    silent_watch: bool = False
    silent_poll: bool = False
    draw_delay_s: Callable[[], float] | None = None


class FakeKeyValue(CommitBasedKeyValue):
    """One client of a shared store.

    `calls` counts the calls of each kind, `renewals` those among the writes
    that only renew a lease; the next `stale_reads` reads see
    the snapshot that `save_snapshot` took.
    """

    def __init__(self, store: Store, faults: KvFaultSet) -> None:
        """Connect to the store that all clients share."""
        self._store = store
        self.faults = faults
        self.calls: Counter[str] = Counter()
        self.renewals = 0
        self.stale_reads = 0
        self._writes = 0
        self._snapshot: list[StoredItem] = []
        self._snapshot_revision = 0

    async def list_items(
        self, prefix: str
    ) -> Result[tuple[list[KvItem], int], KvError]:
        """Return the items under a prefix and the revision they are of."""
        fault = await self._begin_call("read")
        if fault is not None:
            return Err(fault)
        end = compute_prefix_end(prefix).decode()
        stale = self.stale_reads > 0
        items = [_make_item(i) for i in self._read_range(prefix, end)]
        revision = self._snapshot_revision if stale else self._store.revision
        return Ok((items, revision))

    async def get_item(self, key: str) -> Result[KvItem | None, KvError]:
        """Return one item, None when it is absent."""
        fault = await self._begin_call("read")
        if fault is not None:
            return Err(fault)
        items = self._read_range(key, "")
        return Ok(_make_item(items[0]) if items else None)

    async def find_newest_revision(self, prefix: str) -> Result[int, KvError]:
        """Return the newest revision under a prefix, 0 for no item."""
        fault = await self._begin_call("read")
        if fault is not None:
            return Err(fault)
        end = compute_prefix_end(prefix).decode()
        items = self._read_range(prefix, end)
        return Ok(max((item.revision for item in items), default=0))

    async def commit(
        self, transaction: KvTransaction
    ) -> Result[KvWriteResult, KvError]:
        """Apply a transaction if all its checks hold."""
        fault = await self._begin_call("write") or _find_refusal(transaction)
        if fault is not None:
            return Err(fault)
        applied = self._store.transact(transaction, trio.current_time())
        revision = self._store.revision
        lost = await self._lose_reply()
        if lost is not None:
            return Err(lost)
        if applied is None:
            return Err(
                KvError(KvFault.NO_LEASE, "lease has expired or was revoked")
            )
        return Ok(KvWriteResult(applied, revision))

    async def put_item(
        self, key: str, value: bytes, lease: int = 0
    ) -> Result[int, KvError]:
        """Write unconditionally; return the store's revision."""
        fault = await self._begin_call("write")
        if fault is not None:
            return Err(fault)
        written = self._store.write(key, value, lease, trio.current_time())
        revision = self._store.revision
        lost = await self._lose_reply()
        if lost is not None:
            return Err(lost)
        if not written:
            return Err(
                KvError(KvFault.UNKNOWN, "lease has expired or was revoked")
            )
        return Ok(revision)

    async def grant_lease(self, ttl_s: float) -> Result[int, KvError]:
        """Grant a lease; return its id."""
        fault = await self._begin_call("write")
        if fault is not None:
            return Err(fault)
        return Ok(self._store.grant_lease(ttl_s, trio.current_time()))

    async def renew_lease(self, lease: int) -> Result[float, KvError]:
        """Renew a lease; return its time to live, 0 when it has expired."""
        self.renewals += 1
        fault = await self._begin_call("write")
        if fault is not None:
            return Err(fault)
        return Ok(self._store.renew_lease(lease, trio.current_time()))

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        """Revoke a lease and delete its keys."""
        fault = await self._begin_call("write")
        if fault is not None:
            return Err(fault)
        self._store.revoke_lease(lease)
        return Ok(None)

    async def watch(
        self,
        prefix: str,
        from_revision: int,
        wait_s: float = WATCH_POLL_TIMEOUT_S,
    ) -> AsyncGenerator[Result[list[KvEvent], KvError], None]:
        """Yield changes from a revision on; the stream ends after an Err."""
        fault = await self._begin_call("watch")
        if fault is not None:
            yield Err(fault)
            return
        end = compute_prefix_end(prefix).decode()
        silent_s = 0.0
        while silent_s < MAX_WATCH_SILENCE_S and not self.faults.down:
            changed = self._store.changed
            if self.faults.silent_watch:
                await trio.sleep(1.0)
                silent_s += 1.0
                continue
            silent_s = 0.0
            self._store.expire_leases(trio.current_time())
            events = self._store.list_events(prefix, end, from_revision)
            if events:
                from_revision = events[-1].revision + 1
            yield Ok([KvEvent(e.key, e.value, e.revision) for e in events])
            with trio.move_on_after(1.0):
                await changed.wait()
        yield Err(KvError(KvFault.UNKNOWN, "watch interrupted"))

    async def poll(
        self, prefix: str, after: int, wait_s: float = WATCH_POLL_TIMEOUT_S
    ) -> Result[tuple[list[KvEvent], int], KvError]:
        """Return the changes after a revision and the revision reached.

        Waits up to `wait_s` seconds for a change. A poll that waits while the
        history is dropped is cut.
        """
        fault = await self._begin_call("watch")
        if fault is not None:
            return Err(fault)
        if after < self._store.compacted_revision:
            return Err(
                KvError(KvFault.COMPACTED, "the revision has been compacted")
            )
        end = compute_prefix_end(prefix).decode()
        silent = self.faults.silent_poll
        for last in (False, True):
            self._store.expire_leases(trio.current_time())
            events = self._store.list_events(prefix, end, after + 1)
            if last or (events and not silent):
                break
            with trio.move_on_after(wait_s):
                while (silent or not events) and not self.faults.down:
                    with trio.move_on_after(1.0):
                        await self._store.changed.wait()
                    silent = silent or self.faults.silent_poll
                    self._store.expire_leases(trio.current_time())
                    events = self._store.list_events(prefix, end, after + 1)
        was_cut = self._store.compacted_revision > after
        if self.faults.down or silent or was_cut:
            return Err(KvError(KvFault.UNKNOWN, "watch interrupted"))
        changes = [KvEvent(e.key, e.value, e.revision) for e in events]
        return Ok((changes, max(after, self._store.revision)))

    def save_snapshot(self) -> None:
        """Save the current state for the next stale reads."""
        self._snapshot = list(self._store.items.values())
        self._snapshot_revision = self._store.revision

    def _read_range(self, key: str, end: str) -> list[StoredItem]:
        """Return a range, from the snapshot while stale reads are left."""
        if self.stale_reads > 0:
            self.stale_reads -= 1
            return [
                item
                for item in self._snapshot
                if item.key == key or (end and key <= item.key < end)
            ]
        return self._store.read(key, end)

    async def _begin_call(self, kind: str) -> KvError | None:
        """Count a call and wait for its latency; return its fault, if any."""
        self.calls[kind] += 1
        if self.faults.down:
            await trio.sleep(0.05)
            return KvError(KvFault.NOT_SENT, "down")
        latency_s = self.faults.latency_s
        if self.faults.draw_delay_s is not None:
            latency_s += self.faults.draw_delay_s()
        await trio.sleep(min(latency_s, CALL_TIMEOUT_S))
        if latency_s >= CALL_TIMEOUT_S:
            return KvError(KvFault.UNKNOWN, "timeout")
        self._store.expire_leases(trio.current_time())
        return None

    async def _lose_reply(self) -> KvError | None:
        """Return the fault of a reply that is lost after the write, if any."""
        if self.faults.draw_delay_s is not None:
            await trio.sleep(self.faults.draw_delay_s())
        self._writes += 1
        every = self.faults.lose_reply_every
        lost = bool(every) and self._writes % every == 0
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            lost = True
        if not lost:
            return None
        await trio.sleep(CALL_TIMEOUT_S)
        return KvError(KvFault.UNKNOWN, "reply lost")


class PolledFakeKeyValue(FakeKeyValue):
    """A client whose watches are made of polls, as on the platform."""

    async def watch(
        self,
        prefix: str,
        from_revision: int,
        wait_s: float = WATCH_POLL_TIMEOUT_S,
    ) -> AsyncGenerator[Result[list[KvEvent], KvError], None]:
        """Yield changes from a revision on, until the first Err."""
        after = from_revision - 1
        while True:
            polled = await self.poll(prefix, after, wait_s)
            if isinstance(polled, Err):
                yield polled
                return
            events, after = polled.ok_value
            yield Ok(events)


def _find_refusal(transaction: KvTransaction) -> KvError | None:
    """Return why a transaction isn't taken, None if it is."""
    keys = [
        *(check.key for check in transaction.checks),
        *(put.key for put in transaction.puts),
        *transaction.removals,
    ]
    values = [put.value for put in transaction.puts]
    if len(keys) > MAX_ROWS:
        return KvError(KvFault.REFUSED, f"{len(keys)} rows")
    if max(len(key.encode()) for key in keys) > MAX_KEY_BYTES:
        return KvError(KvFault.REFUSED, "a key is too long")
    if max(map(len, values), default=0) > MAX_VALUE_BYTES:
        return KvError(KvFault.REFUSED, "a value is too large")
    return None


def _make_item(item: StoredItem) -> KvItem:
    """Convert an item of the store to one of the port."""
    return KvItem(item.key, item.value, item.revision)
