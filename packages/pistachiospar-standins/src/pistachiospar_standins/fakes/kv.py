"""Support the key-value port in memory, with faults."""

from collections.abc import AsyncGenerator
from collections import Counter
from dataclasses import dataclass

from pistachiospar.adapters.etcd.models import compute_prefix_end
from pistachiospar.ports.kv import KvError
from pistachiospar.ports.kv import KvEvent
from pistachiospar.ports.kv import KvFault
from pistachiospar.ports.kv import KvItem
from pistachiospar.ports.kv import KvTransaction
from pistachiospar.ports.kv import KvWriteResult
from pistachiospar.ports.kv import WATCH_POLL_TIMEOUT_S
from pistachiospar.storing.base import CommitBasedKeyValue
from result import Err
from result import Ok
from result import Result
import trio

from ..kv.store import Store
from ..kv.store import StoredItem

TIMEOUT_S = 2.0
SILENCE_S = 10.0


@dataclass(slots=True)
class KvFaultSet:
    """Set the faults of the service; delays are in seconds.

    `lose_replies` counts down writes that take effect and are not
    answered; `lose_reply_every` drops each n-th reply of a write. Calls that
    wait for changes while `deaf` is set hear nothing more, and are cut at
    the end of their wait.
    """

    down: bool = False
    latency_s: float = 0.002
    lose_replies: int = 0
    lose_reply_every: int = 0
    silent_watch: bool = False
    deaf: bool = False


class FakeKeyValue(CommitBasedKeyValue):
    """Serve one client of a shared store."""

    def __init__(self, store: Store, faults: KvFaultSet) -> None:
        """Take the store that the clients share."""
        self._store = store
        self.faults = faults
        self.calls: Counter[str] = Counter()
        self.stale_reads = 0
        self._writes = 0
        self._stale: list[StoredItem] = []
        self._frozen_at = 0

    async def list_items(
        self, prefix: str
    ) -> Result[tuple[list[KvItem], int], KvError]:
        """Return the items below a prefix and the store's revision."""
        fault = await self._enter("read")
        if fault is not None:
            return Err(fault)
        end = compute_prefix_end(prefix).decode()
        stale = self.stale_reads > 0
        items = [_make_item(i) for i in self._read(prefix, end)]
        revision = self._frozen_at if stale else self._store.revision
        return Ok((items, revision))

    async def get_item(self, key: str) -> Result[KvItem | None, KvError]:
        """Return one item, or None."""
        fault = await self._enter("read")
        if fault is not None:
            return Err(fault)
        items = self._read(key, "")
        return Ok(_make_item(items[0]) if items else None)

    async def find_newest_revision(self, prefix: str) -> Result[int, KvError]:
        """Return the newest revision below a prefix, 0 for none."""
        fault = await self._enter("read")
        if fault is not None:
            return Err(fault)
        end = compute_prefix_end(prefix).decode()
        items = self._read(prefix, end)
        return Ok(max((item.revision for item in items), default=0))

    async def commit(
        self, transaction: KvTransaction
    ) -> Result[KvWriteResult, KvError]:
        """Carry out a transaction if all its checks hold."""
        fault = await self._enter("write")
        if fault is not None:
            return Err(fault)
        won = self._store.transact(transaction, trio.current_time())
        lost = await self._lose_reply()
        if lost is not None:
            return Err(lost)
        if won is None:
            return Err(KvError(KvFault.NO_LEASE, "the lease is gone"))
        return Ok(KvWriteResult(won, self._store.revision))

    async def put_item(
        self, key: str, value: bytes, lease: int = 0
    ) -> Result[int, KvError]:
        """Write without condition; return the store's revision."""
        fault = await self._enter("write")
        if fault is not None:
            return Err(fault)
        written = self._store.write(key, value, lease, trio.current_time())
        lost = await self._lose_reply()
        if lost is not None:
            return Err(lost)
        if not written:
            return Err(KvError(KvFault.UNKNOWN, "the lease is gone"))
        return Ok(self._store.revision)

    async def grant_lease(self, ttl_s: float) -> Result[int, KvError]:
        """Return a new lease's number."""
        fault = await self._enter("write")
        if fault is not None:
            return Err(fault)
        return Ok(self._store.grant(ttl_s, trio.current_time()))

    async def renew_lease(self, lease: int) -> Result[float, KvError]:
        """Renew a lease; return the seconds left, 0 when it lapsed."""
        fault = await self._enter("write")
        if fault is not None:
            return Err(fault)
        return Ok(self._store.keep(lease, trio.current_time()))

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        """Give a lease back."""
        fault = await self._enter("write")
        if fault is not None:
            return Err(fault)
        self._store.revoke(lease)
        return Ok(None)

    async def watch(
        self,
        prefix: str,
        from_revision: int,
        wait_s: float = WATCH_POLL_TIMEOUT_S,
    ) -> AsyncGenerator[Result[list[KvEvent], KvError], None]:
        """Yield changes from a revision on; the first Err is the last."""
        fault = await self._enter("watch")
        if fault is not None:
            yield Err(fault)
            return
        end = compute_prefix_end(prefix).decode()
        quiet_s = 0.0
        while quiet_s < SILENCE_S and not self.faults.down:
            changed = self._store.changed
            if self.faults.silent_watch:
                await trio.sleep(1.0)
                quiet_s += 1.0
                continue
            quiet_s = 0.0
            self._store.expire(trio.current_time())
            events = self._store.list_events(prefix, end, from_revision)
            if events:
                from_revision = events[-1].revision + 1
            yield Ok([KvEvent(e.key, e.value, e.revision) for e in events])
            with trio.move_on_after(1.0):
                await changed.wait()
        yield Err(KvError(KvFault.UNKNOWN, "watch lost"))

    async def poll(
        self, prefix: str, after: int, wait_s: float = WATCH_POLL_TIMEOUT_S
    ) -> Result[tuple[list[KvEvent], int], KvError]:
        """Wait for the changes after a revision."""
        fault = await self._enter("watch")
        if fault is not None:
            return Err(fault)
        if after < self._store.forgotten:
            return Err(KvError(KvFault.NOT_SENT, "history is gone"))
        end = compute_prefix_end(prefix).decode()
        deaf = self.faults.deaf
        for last in (False, True):
            self._store.expire(trio.current_time())
            events = self._store.list_events(prefix, end, after + 1)
            if last or (events and not deaf):
                break
            with trio.move_on_after(wait_s):
                while (deaf or not events) and not self.faults.down:
                    with trio.move_on_after(1.0):
                        await self._store.changed.wait()
                    deaf = deaf or self.faults.deaf
                    self._store.expire(trio.current_time())
                    events = self._store.list_events(prefix, end, after + 1)
        if self.faults.down or deaf:
            return Err(KvError(KvFault.UNKNOWN, "watch lost"))
        told = [KvEvent(e.key, e.value, e.revision) for e in events]
        return Ok((told, max(after, self._store.revision)))

    def freeze_reads(self) -> None:
        """Let the next stale reads see the store as it is now."""
        self._stale = list(self._store.items.values())
        self._frozen_at = self._store.revision

    def _read(self, key: str, end: str) -> list[StoredItem]:
        """Read, maybe from an older state."""
        if self.stale_reads > 0:
            self.stale_reads -= 1
            return [
                item
                for item in self._stale
                if item.key == key or (end and key <= item.key < end)
            ]
        return self._store.read(key, end)

    async def _enter(self, kind: str) -> KvError | None:
        """Count a call; return the fault that it meets."""
        self.calls[kind] += 1
        if self.faults.down:
            await trio.sleep(0.05)
            return KvError(KvFault.NOT_SENT, "down")
        latency_s = self.faults.latency_s
        await trio.sleep(min(latency_s, TIMEOUT_S))
        if latency_s >= TIMEOUT_S:
            return KvError(KvFault.UNKNOWN, "slow")
        self._store.expire(trio.current_time())
        return None

    async def _lose_reply(self) -> KvError | None:
        """Return the fault of a reply that is lost after the write."""
        self._writes += 1
        every = self.faults.lose_reply_every
        lost = bool(every) and self._writes % every == 0
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            lost = True
        if not lost:
            return None
        await trio.sleep(TIMEOUT_S)
        return KvError(KvFault.UNKNOWN, "reply lost")


def _make_item(item: StoredItem) -> KvItem:
    """Make the port's item."""
    return KvItem(item.key, item.value, item.revision)
