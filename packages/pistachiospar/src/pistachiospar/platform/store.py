"""Support the key-value port over the platform's store."""

from base64 import b64decode
from base64 import b64encode
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ..adapters.http.client import Address
from ..adapters.http.client import HttpPool
from ..adapters.http.errors import ConnectError
from ..adapters.http.errors import HttpError
from . import const
from ..ports.kv import KvError
from ..ports.kv import KvEvent
from ..ports.kv import KvFault
from ..ports.kv import KvItem
from ..ports.kv import KvTransaction
from ..ports.kv import KvWriteResult
from ..ports.kv import WATCH_POLL_TIMEOUT_S
from ..storing.base import PolledKeyValue

Message = TypeVar("Message")


class ItemMessage(msgspec.Struct):
    """Hold an item, or an event when `tombstone` may be set."""

    key: str
    revision: int
    value: str = ""
    lease: int = 0
    tombstone: bool = False


class ItemAnswer(ItemMessage):
    """Hold an item and the store's revision."""

    storeRevision: int = 0


class RangeAnswer(msgspec.Struct):
    """Hold one page of items."""

    items: list[ItemMessage]
    truncated: bool
    storeRevision: int


class WatchAnswer(msgspec.Struct):
    """Hold changes; go on from `storeRevision`."""

    events: list[ItemMessage]
    storeRevision: int


class CheckMessage(msgspec.Struct):
    """Hold a row of a transaction's condition."""

    key: str
    revision: int


class PutMessage(msgspec.Struct, omit_defaults=True):
    """Hold a row of a transaction's writes."""

    key: str
    value: str
    lease: int = 0


class TxnMessage(msgspec.Struct):
    """Ask for a transaction."""

    expected: list[CheckMessage]
    puts: list[PutMessage]
    remove: list[str]


class TxnAnswer(msgspec.Struct):
    """Answer a transaction that was carried out."""

    revision: int


class LeaseAnswer(msgspec.Struct):
    """Answer a grant or a renewal."""

    ttlMs: int = 0
    lease: int = 0


class PlatformKeyValue(PolledKeyValue):
    """Reach the platform's store; counts its calls."""

    def __init__(self, address: Address) -> None:
        """Begin with no connection."""
        self._pool = HttpPool(address, const.CONNECT_TIMEOUT_S)
        self.calls = 0

    async def list_items(
        self, prefix: str
    ) -> Result[tuple[list[KvItem], int], KvError]:
        """Return the items below a prefix and the first page's revision.

        Pages are no snapshot: a watch from the first page's revision tells
        what changed since.
        """
        items: list[KvItem] = []
        first_revision = 0
        query = {"prefix": prefix}
        while True:
            answer = await self._get(const.PATH_RANGE, query, RangeAnswer)
            if isinstance(answer, Err):
                return answer
            page = answer.ok_value
            first_revision = first_revision or page.storeRevision
            items.extend(_read_item(item) for item in page.items)
            if not page.truncated or not page.items:
                return Ok((items, first_revision))
            query = {"prefix": prefix, "after": page.items[-1].key}

    async def get_item(self, key: str) -> Result[KvItem | None, KvError]:
        """Return one item, or None."""
        answer = await self._call(
            "GET", const.PATH_KEY + "?" + urlencode({"key": key}), b"", {404}
        )
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == 404:
            return Ok(None)
        return _decode(body, ItemAnswer).map(_read_item)

    async def commit(
        self, transaction: KvTransaction
    ) -> Result[KvWriteResult, KvError]:
        """Carry out a transaction if all its checks hold."""
        message = TxnMessage(
            [CheckMessage(c.key, c.revision) for c in transaction.checks],
            [
                PutMessage(put.key, _encode(put.value), put.lease)
                for put in transaction.puts
            ],
            list(transaction.removals),
        )
        body = msgspec.json.encode(message)
        answer = await self._call("POST", const.PATH_TXN, body, {404, 412})
        if isinstance(answer, Err):
            return answer
        status, content = answer.ok_value
        if status == 412:
            return Ok(KvWriteResult(False, 0))
        if status == 404:
            return Err(KvError(KvFault.NO_LEASE, "the lease is gone"))
        return _decode(content, TxnAnswer).map(
            lambda got: KvWriteResult(True, got.revision)
        )

    async def grant_lease(self, ttl_s: float) -> Result[int, KvError]:
        """Return a new lease's number."""
        body = msgspec.json.encode({"ttlMs": round(ttl_s * 1000)})
        answer = await self._call("POST", const.PATH_LEASE, body, set())
        if isinstance(answer, Err):
            return answer
        granted = _decode(answer.ok_value[1], LeaseAnswer)
        return granted.map(lambda got: got.lease)

    async def renew_lease(self, lease: int) -> Result[float, KvError]:
        """Renew a lease; return the seconds left, 0 when it lapsed."""
        path = f"{const.PATH_KEEP}/{lease}"
        answer = await self._call("POST", path, b"", {404})
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == 404:
            return Ok(0.0)
        return _decode(body, LeaseAnswer).map(lambda got: got.ttlMs / 1000)

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        """Give a lease back."""
        path = f"{const.PATH_LEASE_END}/{lease}"
        answer = await self._call("DELETE", path, b"", {404})
        return answer.map(lambda _: None)

    async def poll(
        self, prefix: str, after: int, wait_s: float = WATCH_POLL_TIMEOUT_S
    ) -> Result[tuple[list[KvEvent], int], KvError]:
        """Return the changes after a revision, and where to go on."""
        query = {
            "prefix": prefix,
            "after": str(after),
            "waitMs": str(round(wait_s * 1000)),
        }
        timeout_s = wait_s + const.WATCH_SLACK_S
        answer = await self._get(
            const.PATH_WATCH, query, WatchAnswer, timeout_s
        )
        return answer.map(
            lambda got: (
                [_read_event(event) for event in got.events],
                max(after, got.storeRevision),
            )
        )

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        kind: type[Message],
        timeout_s: float = const.CALL_TIMEOUT_S,
    ) -> Result[Message, KvError]:
        """Make a reading call."""
        target = path + "?" + urlencode(query)
        answer = await self._call("GET", target, b"", set(), timeout_s)
        if isinstance(answer, Err):
            return answer
        return _decode(answer.ok_value[1], kind)

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        expected: set[int],
        timeout_s: float = const.CALL_TIMEOUT_S,
    ) -> Result[tuple[int, bytes], KvError]:
        """Make one call; statuses but 200 and `expected` are errors."""
        self.calls += 1
        headers = [("Content-Type", "application/json")] if body else []
        try:
            with trio.fail_after(timeout_s):
                answer = await self._pool.fetch(method, target, headers, body)
        except ConnectError as error:
            return Err(KvError(KvFault.NOT_SENT, str(error)))
        except (HttpError, trio.TooSlowError) as error:
            return Err(KvError(KvFault.UNKNOWN, f"{target}: {error!r}"))
        if answer.status == 200 or answer.status in expected:
            return Ok((answer.status, answer.body))
        # 429 and 503 promise that nothing was done, as do refusals.
        refused = answer.status < 500 or answer.status == 503
        fault = KvFault.NOT_SENT if refused else KvFault.UNKNOWN
        return Err(KvError(fault, f"{target}: status {answer.status}"))


def _encode(value: bytes) -> str:
    """Encode a value."""
    return b64encode(value).decode("ascii")


def _decode(body: bytes, kind: type[Message]) -> Result[Message, KvError]:
    """Decode an answer."""
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except msgspec.MsgspecError as error:
        return Err(KvError(KvFault.UNKNOWN, str(error)))


def _read_item(message: ItemMessage) -> KvItem:
    """Make the port's item."""
    value = b64decode(message.value)
    return KvItem(message.key, value, message.revision)


def _read_event(message: ItemMessage) -> KvEvent:
    """Make the port's event."""
    value = None if message.tombstone else b64decode(message.value)
    return KvEvent(message.key, value, message.revision)
