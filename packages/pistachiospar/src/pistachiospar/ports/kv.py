"""Port of the platform's key-value service."""

from collections.abc import AsyncGenerator
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final
from typing import Protocol

from result import Result


# Configuration changes must be in force within 2 s, and readers must be up to
# date again 3 s after an outage of the service. A watch that stopped
# delivering ends after this wait at the latest.
WATCH_POLL_TIMEOUT_S: Final = 2.5


class KvFault(Enum):
    """What is known of the effect of a failed call.

    NOT_SENT and NO_LEASE (the lease has expired) certainly had no effect;
    nor had REFUSED, and no repetition will have one: the service doesn't
    take such a call. UNKNOWN may have had an effect. COMPACTED is the
    service's response to a watch whose changes it no longer has. DAMAGED is a
    read of records of which some are missing.
    """

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    NO_LEASE = "no-lease"
    COMPACTED = "compacted"
    UNKNOWN = "unknown"
    DAMAGED = "damaged"


@dataclass(frozen=True, slots=True)
class KvError:
    """A failed call: the kind of fault and a description."""

    fault: KvFault
    detail: str


@dataclass(frozen=True, slots=True)
class KvItem:
    """A key, its value and the revision that last changed it."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class KvWriteResult:
    """The result of a conditional write; `revision` is the store's."""

    won: bool
    revision: int


@dataclass(frozen=True, slots=True)
class KvEvent:
    """A change of a key; `value` is None when it was deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class KvPut:
    """One write of a transaction, under a lease unless `lease` is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class KvCheck:
    """A condition: the revision that last changed a key, 0 for absent."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class KvTransaction:
    """Writes and removals that are applied atomically if all checks hold."""

    checks: tuple[KvCheck, ...]
    puts: tuple[KvPut, ...] = ()
    removals: tuple[str, ...] = ()


class KeyValue(Protocol):
    """Client of the key-value service; its faults are returned, not raised."""

    async def list_items(
        self, prefix: str
    ) -> Result[tuple[list[KvItem], int], KvError]:
        """Return the items under a prefix and the store's revision."""

    async def get_item(self, key: str) -> Result[KvItem | None, KvError]:
        """Return one item, or None when the key is absent."""

    async def find_newest_revision(self, prefix: str) -> Result[int, KvError]:
        """Return the newest revision under a prefix, 0 for none.

        The values are not transferred.
        """

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease: int = 0,
        extra_puts: Sequence[KvPut] = (),
    ) -> Result[KvWriteResult, KvError]:
        """Write if the key is at `expected_revision`; 0 means absent.

        `extra_puts` are written in the same transaction.
        """

    async def commit(
        self, transaction: KvTransaction
    ) -> Result[KvWriteResult, KvError]:
        """Apply a transaction if all its checks hold."""

    async def put_item(
        self, key: str, value: bytes, lease: int = 0
    ) -> Result[int, KvError]:
        """Write unconditionally; return the store's revision."""

    async def grant_lease(self, ttl_s: float) -> Result[int, KvError]:
        """Create a lease; return its number."""

    async def renew_lease(self, lease: int) -> Result[float, KvError]:
        """Renew a lease; return the seconds left, 0 when it has expired."""

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        """End a lease and remove the keys written under it."""

    def watch(
        self,
        prefix: str,
        from_revision: int,
        wait_s: float = WATCH_POLL_TIMEOUT_S,
    ) -> AsyncGenerator[Result[list[KvEvent], KvError], None]:
        """Yield the changes from a revision on.

        A service that is long-polled holds each poll for up to `wait_s` when
        there is no change, so a dead connection is noticed after that time.

        An empty list is a progress notice; the first Err is the last item.
        """
