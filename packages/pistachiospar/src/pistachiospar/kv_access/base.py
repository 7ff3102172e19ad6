"""Base classes that derive parts of the key-value port from other parts."""

from collections.abc import AsyncGenerator
from collections.abc import Sequence
from typing import Protocol

from result import Err
from result import Ok
from result import Result

from ..ports.kv import KvCheck
from ..ports.kv import KvError
from ..ports.kv import KvEvent
from ..ports.kv import KvItem
from ..ports.kv import KvPut
from ..ports.kv import KvTransaction
from ..ports.kv import KvWriteResult
from ..ports.kv import WATCH_POLL_TIMEOUT_S

# Changes in order, and the revision after which the next poll continues.
ChangeBatch = tuple[list[KvEvent], int]


class CommitBasedKeyValue(Protocol):
    """Base of adapters that derive conditional writes from transactions."""

    async def commit(
        self, transaction: KvTransaction
    ) -> Result[KvWriteResult, KvError]:
        """Commit a transaction if all its checks hold."""

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease: int = 0,
        extra_puts: Sequence[KvPut] = (),
    ) -> Result[KvWriteResult, KvError]:
        """Write if the key's revision is the expected one; 0 means absent.

        `extra_puts` is written in the same transaction.
        """
        puts = (KvPut(key, value, lease), *extra_puts)
        return await self.commit(
            KvTransaction((KvCheck(key, expected_revision),), puts)
        )


class PollBasedKeyValue(CommitBasedKeyValue, Protocol):
    """Base of adapters that derive a watch from long polling.

    Other calls are derived from listing and transactions.
    """

    async def list_items(
        self, prefix: str
    ) -> Result[tuple[list[KvItem], int], KvError]:
        """Return the items below a prefix and the store's revision."""

    async def poll(
        self, prefix: str, after: int, wait_s: float = WATCH_POLL_TIMEOUT_S
    ) -> Result[ChangeBatch, KvError]:
        """Return the changes after a revision, and the revision reached."""

    async def find_newest_revision(self, prefix: str) -> Result[int, KvError]:
        """Return the newest revision below a prefix, 0 for none."""
        listed = await self.list_items(prefix)
        return listed.map(
            lambda got: max((item.revision for item in got[0]), default=0)
        )

    async def put_item(
        self, key: str, value: bytes, lease: int = 0
    ) -> Result[int, KvError]:
        """Write unconditionally; return the store's revision."""
        transaction = KvTransaction((), (KvPut(key, value, lease),))
        written = await self.commit(transaction)
        return written.map(lambda got: got.revision)

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
