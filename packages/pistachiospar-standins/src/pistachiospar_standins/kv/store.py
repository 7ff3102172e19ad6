"""Support the content of the key-value stand-in."""

from dataclasses import dataclass
from typing import Final

from pistachiospar.ports.kv import KvTransaction
import trio

MAX_EVENTS: Final = 50_000


@dataclass(frozen=True, slots=True)
class StoredItem:
    """Hold one key."""

    key: str
    value: bytes
    revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class StoredEvent:
    """Hold one change; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True)
class Lease:
    """Hold a lease; times are in seconds."""

    ttl_s: float
    expires_at: float


class Store:
    """Hold keys, leases and the changes made."""

    def __init__(self) -> None:
        """Begin empty."""
        self.revision = 1
        self.forgotten = 0
        self.items: dict[str, StoredItem] = {}
        self.events: list[StoredEvent] = []
        self.leases: dict[int, Lease] = {}
        self.changed = trio.Event()
        self._next_lease = 1000

    def read(self, key: str, end: str) -> list[StoredItem]:
        """Return one key, or those from `key` up to `end`."""
        if not end:
            item = self.items.get(key)
            return [item] if item is not None else []
        return [self.items[k] for k in sorted(self.items) if key <= k < end]

    def write(self, key: str, value: bytes, lease: int, now: float) -> bool:
        """Write a key; False when its lease is gone."""
        self.expire(now)
        if lease and lease not in self.leases:
            return False
        self.revision += 1
        self.items[key] = StoredItem(key, value, self.revision, lease)
        self._note(StoredEvent(key, value, self.revision))
        return True

    def transact(self, asked: KvTransaction, now: float) -> bool | None:
        """Do a transaction; False when a check fails, None for no lease."""
        self.expire(now)
        for check in asked.checks:
            if self.find_revision(check.key) != check.revision:
                return False
        if any(p.lease and p.lease not in self.leases for p in asked.puts):
            return None
        for put in asked.puts:
            self.write(put.key, put.value, put.lease, now)
        for key in asked.removals:
            self.delete(key)
        return True

    def delete(self, key: str) -> None:
        """Delete a key."""
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._note(StoredEvent(key, None, self.revision))

    def find_revision(self, key: str) -> int:
        """Return the revision of a key, 0 when absent."""
        item = self.items.get(key)
        return item.revision if item is not None else 0

    def grant(self, ttl_s: float, now: float) -> int:
        """Grant a lease."""
        self._next_lease += 1
        self.leases[self._next_lease] = Lease(ttl_s, now + ttl_s)
        return self._next_lease

    def keep(self, lease: int, now: float) -> float:
        """Renew a lease; return its time to live, 0 when it lapsed."""
        self.expire(now)
        held = self.leases.get(lease)
        if held is None:
            return 0.0
        held.expires_at = now + held.ttl_s
        return held.ttl_s

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for item in list(self.items.values()):
            if item.lease == lease:
                self.delete(item.key)

    def expire(self, now: float) -> None:
        """End the leases that lapsed."""
        for lease, held in list(self.leases.items()):
            if held.expires_at <= now:
                self.revoke(lease)

    def list_events(
        self, key: str, end: str, from_revision: int
    ) -> list[StoredEvent]:
        """Return the changes in a range from a revision on."""
        found: list[StoredEvent] = []
        for event in reversed(self.events):
            if event.revision < from_revision:
                break
            if key <= event.key < end:
                found.append(event)
        return found[::-1]

    def forget_history(self) -> None:
        """Drop the changes made so far, as a compaction does."""
        self.events.clear()
        self.forgotten = self.revision

    def _note(self, event: StoredEvent) -> None:
        """Keep a change and wake the watches."""
        self.events.append(event)
        del self.events[:-MAX_EVENTS]
        self.changed.set()
        self.changed = trio.Event()
