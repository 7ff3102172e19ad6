"""Content of the key-value stand-in: keys, leases and changes."""

from dataclasses import dataclass
from typing import Final

from pistachiospar.ports.kv import KvTransaction
import trio

MAX_EVENTS: Final = 50_000


@dataclass(frozen=True, slots=True)
class StoredItem:
    """A key with its value; `lease` is 0 without one."""

    key: str
    value: bytes
    revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class StoredEvent:
    """A change of a key; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True)
class Lease:
    """A lease; times are in seconds."""

    ttl_s: float
    expires_at: float


class Store:
    """Keys, leases and the history of changes.

    `compacted_revision` is the last revision that compaction dropped;
    `changed` is set, and replaced, with each change.
    """

    def __init__(self) -> None:
        """Create an empty store at revision 1."""
        self.revision = 1
        self.compacted_revision = 0
        self.items: dict[str, StoredItem] = {}
        self.events: list[StoredEvent] = []
        self.leases: dict[int, Lease] = {}
        self.changed = trio.Event()
        self._next_lease = 1000

    def read(self, key: str, end: str) -> list[StoredItem]:
        """Return one key without `end`, else those from `key` up to `end`."""
        if not end:
            item = self.items.get(key)
            return [item] if item is not None else []
        return [self.items[k] for k in sorted(self.items) if key <= k < end]

    def write(self, key: str, value: bytes, lease: int, now: float) -> bool:
        """Write a key; False when its lease has expired."""
        self.expire_leases(now)
        if lease and lease not in self.leases:
            return False
        self.revision += 1
        self.items[key] = StoredItem(key, value, self.revision, lease)
        self._record_event(StoredEvent(key, value, self.revision))
        return True

    def transact(self, transaction: KvTransaction, now: float) -> bool | None:
        """Apply a transaction; False when a check fails, None for no lease."""
        self.expire_leases(now)
        for check in transaction.checks:
            if self.find_revision(check.key) != check.revision:
                return False
        if any(
            p.lease and p.lease not in self.leases for p in transaction.puts
        ):
            return None
        for put in transaction.puts:
            self.write(put.key, put.value, put.lease, now)
        for key in transaction.removals:
            self.delete(key)
        return True

    def delete(self, key: str) -> None:
        """Delete a key; no-op when it is absent."""
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._record_event(StoredEvent(key, None, self.revision))

    def find_revision(self, key: str) -> int:
        """Return the revision of a key, 0 when it is absent."""
        item = self.items.get(key)
        return item.revision if item is not None else 0

    def grant_lease(self, ttl_s: float, now: float) -> int:
        """Grant a lease; return its id."""
        self._next_lease += 1
        self.leases[self._next_lease] = Lease(ttl_s, now + ttl_s)
        return self._next_lease

    def renew_lease(self, lease: int, now: float) -> float:
        """Renew a lease; return its time to live, 0 when it has expired."""
        self.expire_leases(now)
        granted = self.leases.get(lease)
        if granted is None:
            return 0.0
        granted.expires_at = now + granted.ttl_s
        return granted.ttl_s

    def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
        self.leases.pop(lease, None)
        for item in list(self.items.values()):
            if item.lease == lease:
                self.delete(item.key)

    def expire_leases(self, now: float) -> None:
        """Revoke the leases that have expired."""
        for lease, granted in list(self.leases.items()):
            if granted.expires_at <= now:
                self.revoke_lease(lease)

    def list_events(
        self, key: str, end: str, from_revision: int
    ) -> list[StoredEvent]:
        """Return the changes of a range of keys from a revision on."""
        found: list[StoredEvent] = []
        for event in reversed(self.events):
            if event.revision < from_revision:
                break
            if key <= event.key < end:
                found.append(event)
        return found[::-1]

    def compact(self) -> None:
        """Drop the history of changes, as a compaction does."""
        self.events.clear()
        self.compacted_revision = self.revision

    def _record_event(self, event: StoredEvent) -> None:
        """Append a change to the history and wake the watches."""
        self.events.append(event)
        del self.events[:-MAX_EVENTS]
        self.changed.set()
        self.changed = trio.Event()
