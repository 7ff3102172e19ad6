"""Support the parts of the key-value port that follow from others."""

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

Changes = tuple[list[KvEvent], int]


class CommittingKeyValue(Protocol):
    """Write by transactions."""

    async def commit(
        self, transaction: KvTransaction
    ) -> Result[KvWriteResult, KvError]:
        """Carry out a transaction if all its checks hold."""

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease: int = 0,
        extra_puts: Sequence[KvPut] = (),
    ) -> Result[KvWriteResult, KvError]:
        """Write if the key's revision is as expected; 0 means absent."""
        puts = (KvPut(key, value, lease), *extra_puts)
        return await self.commit(
            KvTransaction((KvCheck(key, expected_revision),), puts)
        )


class PolledKeyValue(CommittingKeyValue, Protocol):
    """Watch by a call that waits, read and write by lists and commits."""

    async def list_items(
        self, prefix: str
    ) -> Result[tuple[list[KvItem], int], KvError]:
        """Return the items below a prefix and the store's revision."""

    async def poll(
        self, prefix: str, after: int, wait_s: float = WATCH_POLL_TIMEOUT_S
    ) -> Result[Changes, KvError]:
        """Return the changes after a revision, and where to go on."""

    async def find_newest_revision(self, prefix: str) -> Result[int, KvError]:
        """Return the newest revision below a prefix, 0 for none."""
        listed = await self.list_items(prefix)
        return listed.map(
            lambda got: max((item.revision for item in got[0]), default=0)
        )

    async def put_item(
        self, key: str, value: bytes, lease: int = 0
    ) -> Result[int, KvError]:
        """Write without condition; return the store's revision."""
        transaction = KvTransaction((), (KvPut(key, value, lease),))
        written = await self.commit(transaction)
        return written.map(lambda got: got.revision)

    async def watch(
        self,
        prefix: str,
        from_revision: int,
        wait_s: float = WATCH_POLL_TIMEOUT_S,
    ) -> AsyncGenerator[Result[list[KvEvent], KvError], None]:
        """Yield changes from a revision on; the first Err is the last."""
        after = from_revision - 1
        while True:
            answer = await self.poll(prefix, after, wait_s)
            if isinstance(answer, Err):
                yield answer
                return
            events, after = answer.ok_value
            yield Ok(events)
