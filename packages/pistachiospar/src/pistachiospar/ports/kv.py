"""Port of the platform's key-value service."""

from collections.abc import AsyncGenerator
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final
from typing import Protocol

from result import Result


# A change of configuration has to be in force 2 s after it was made. A watch
# that went deaf is cut at the end of its wait, at the latest; 3 s after the
# service's trouble its readers have to be up to date again.
WATCH_WAIT_S: Final = 2.5


class KvFault(Enum):
    """Say what is known of a call that failed.

    NOT_SENT certainly had no effect, NO_LEASE neither: the lease is gone.
    """

    NOT_SENT = "not-sent"
    NO_LEASE = "no-lease"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class KvError:
    """Describe a failed call; UNKNOWN may have taken effect."""

    fault: KvFault
    detail: str


@dataclass(frozen=True, slots=True)
class KvItem:
    """Hold a key, its value and the revision that last changed it."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class KvWrite:
    """Tell whether a compare-and-swap won; `revision` is the store's."""

    won: bool
    revision: int


@dataclass(frozen=True, slots=True)
class KvEvent:
    """Tell a change of a key; `value` is None when it was deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class KvPut:
    """Hold a write that goes with others."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class KvCheck:
    """Ask that a key was last changed at a revision; 0 means absent."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class KvTransaction:
    """Hold writes and removals that happen all or not at all."""

    checks: tuple[KvCheck, ...]
    puts: tuple[KvPut, ...] = ()
    removals: tuple[str, ...] = ()


class KeyValue(Protocol):
    """Reach the key-value service; no call raises for its faults."""

    async def list_items(
        self, prefix: str
    ) -> Result[tuple[list[KvItem], int], KvError]:
        """Return the items below a prefix and the store's revision."""

    async def get_item(self, key: str) -> Result[KvItem | None, KvError]:
        """Return one item, or None."""

    async def find_newest(self, prefix: str) -> Result[int, KvError]:
        """Return the newest revision below a prefix, 0 for none.

        No value travels.
        """

    async def put_if(
        self,
        key: str,
        value: bytes,
        expected: int,
        lease: int = 0,
        also: Sequence[KvPut] = (),
    ) -> Result[KvWrite, KvError]:
        """Write if the key's revision is as expected; 0 means absent.

        `also` is written in the same transaction.
        """

    async def commit(
        self, transaction: KvTransaction
    ) -> Result[KvWrite, KvError]:
        """Carry out a transaction if all its checks hold."""

    async def put_item(
        self, key: str, value: bytes, lease: int = 0
    ) -> Result[int, KvError]:
        """Write without condition; return the store's revision."""

    async def grant_lease(self, ttl_s: float) -> Result[int, KvError]:
        """Return a new lease's number."""

    async def keep_lease(self, lease: int) -> Result[float, KvError]:
        """Renew a lease; return the seconds left, 0 when it lapsed."""

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        """Give a lease back."""

    def watch(
        self, prefix: str, from_revision: int, wait_s: float = WATCH_WAIT_S
    ) -> AsyncGenerator[Result[list[KvEvent], KvError], None]:
        """Yield changes from a revision on.

        With nothing to tell, a service that is asked again and again waits
        `wait_s` each time: a connection that went silent shows after that.

        An empty list is a progress notice; the first Err is the last item.
        """
