"""The key-value port over the platform's store."""

from base64 import b64decode
from base64 import b64encode
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ..adapters.http.address import Address
from ..adapters.http.client import HttpPool
from ..adapters.http.errors import ConnectError
from ..adapters.http.errors import HttpError
from . import const
from ..kv_access.base import PollBasedKeyValue
from ..ports.kv import KvError
from ..ports.kv import KvEvent
from ..ports.kv import KvFault
from ..ports.kv import KvItem
from ..ports.kv import KvTransaction
from ..ports.kv import KvWriteResult
from ..ports.kv import WATCH_POLL_TIMEOUT_S

Message = TypeVar("Message")
STATUS_GONE = 410
# The call itself is wrong: too large, too long, or for another's key.
_REFUSED_STATUSES = frozenset((400, 403, 405, 411, 413, 414, 415, 422, 431))


class ItemMessage(msgspec.Struct):
    """An item, or an event: `tombstone` marks a deletion."""

    key: str
    revision: int
    value: str = ""
    lease: int = 0
    tombstone: bool = False


class ItemResponse(ItemMessage):
    """An item and the store's revision."""

    storeRevision: int = 0


class RangeResponse(msgspec.Struct):
    """One page of items; `truncated` says that more follow."""

    items: list[ItemMessage]
    truncated: bool
    storeRevision: int


class WatchResponse(msgspec.Struct):
    """Changes; the next watch starts after `storeRevision`."""

    events: list[ItemMessage]
    storeRevision: int


class CheckMessage(msgspec.Struct):
    """A condition of a transaction; revision 0 means absent."""

    key: str
    revision: int


class PutMessage(msgspec.Struct, omit_defaults=True):
    """A write of a transaction; `value` is base64."""

    key: str
    value: str
    lease: int = 0


class TxnMessage(msgspec.Struct):
    """Request for a transaction."""

    expected: list[CheckMessage]
    puts: list[PutMessage]
    remove: list[str]


class TxnResponse(msgspec.Struct):
    """Response to a committed transaction."""

    revision: int


class LeaseResponse(msgspec.Struct):
    """Response to a grant or a renewal."""

    ttlMs: int = 0
    lease: int = 0


class PlatformKeyValue(PollBasedKeyValue):
    """Client of the platform's store; `call_count` counts its calls."""

    def __init__(self, address: Address) -> None:
        """Set up without connections."""
        self._pool = HttpPool(address, const.CONNECT_TIMEOUT_S)
        self.call_count = 0

    async def list_items(
        self, prefix: str
    ) -> Result[tuple[list[KvItem], int], KvError]:
        """Return the items below a prefix and the first page's revision.

        Pages are no snapshot: a watch from the first page's revision yields
        the changes since then.
        """
        items: list[KvItem] = []
        first_revision = 0
        query = {"prefix": prefix}
        while True:
            response = await self._fetch(
                const.PATH_RANGE, query, RangeResponse
            )
            if isinstance(response, Err):
                return response
            page = response.ok_value
            first_revision = first_revision or page.storeRevision
            items.extend(_read_item(item) for item in page.items)
            if not page.truncated or not page.items:
                return Ok((items, first_revision))
            query = {"prefix": prefix, "after": page.items[-1].key}

    async def get_item(self, key: str) -> Result[KvItem | None, KvError]:
        """Return one item, None if the key is absent."""
        response = await self._call(
            "GET", const.PATH_KEY + "?" + urlencode({"key": key}), b"", {404}
        )
        if isinstance(response, Err):
            return response
        status, body = response.ok_value
        if status == 404:
            return Ok(None)
        return _decode_response(body, ItemResponse).map(_read_item)

    async def commit(
        self, transaction: KvTransaction
    ) -> Result[KvWriteResult, KvError]:
        """Commit a transaction if all its checks hold."""
        message = TxnMessage(
            [CheckMessage(c.key, c.revision) for c in transaction.checks],
            [
                PutMessage(put.key, _encode_value(put.value), put.lease)
                for put in transaction.puts
            ],
            list(transaction.removals),
        )
        body = msgspec.json.encode(message)
        response = await self._call("POST", const.PATH_TXN, body, {404, 412})
        if isinstance(response, Err):
            return response
        status, content = response.ok_value
        if status == 412:
            return Ok(KvWriteResult(False, 0))
        if status == 404:
            return Err(
                KvError(KvFault.NO_LEASE, "lease has expired or was revoked")
            )
        return _decode_response(content, TxnResponse).map(
            lambda got: KvWriteResult(True, got.revision)
        )

    async def grant_lease(self, ttl_s: float) -> Result[int, KvError]:
        """Return a new lease's id."""
        body = msgspec.json.encode({"ttlMs": round(ttl_s * 1000)})
        response = await self._call(
            "POST", const.PATH_LEASE_GRANT, body, set()
        )
        if isinstance(response, Err):
            return response
        granted = _decode_response(response.ok_value[1], LeaseResponse)
        return granted.map(lambda got: got.lease)

    async def renew_lease(self, lease: int) -> Result[float, KvError]:
        """Renew a lease; return the seconds left, 0 if it has expired."""
        path = f"{const.PATH_LEASE_RENEW}/{lease}"
        response = await self._call("POST", path, b"", {404})
        if isinstance(response, Err):
            return response
        status, body = response.ok_value
        if status == 404:
            return Ok(0.0)
        return _decode_response(body, LeaseResponse).map(
            lambda got: got.ttlMs / 1000
        )

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        """Revoke a lease; one that has expired is no error."""
        path = f"{const.PATH_LEASE_REVOKE}/{lease}"
        response = await self._call("DELETE", path, b"", {404})
        return response.map(lambda _: None)

    async def poll(
        self, prefix: str, after: int, wait_s: float = WATCH_POLL_TIMEOUT_S
    ) -> Result[tuple[list[KvEvent], int], KvError]:
        """Return the changes after a revision, and the revision reached."""
        query = {
            "prefix": prefix,
            "after": str(after),
            "waitMs": str(round(wait_s * 1000)),
        }
        timeout_s = wait_s + const.WATCH_EXTRA_TIMEOUT_S
        response = await self._fetch(
            const.PATH_WATCH, query, WatchResponse, timeout_s
        )
        return response.map(
            lambda got: (
                [_read_event(event) for event in got.events],
                max(after, got.storeRevision),
            )
        )

    async def _fetch(
        self,
        path: str,
        query: dict[str, str],
        message_type: type[Message],
        timeout_s: float = const.CALL_TIMEOUT_S,
    ) -> Result[Message, KvError]:
        """Make a call that only reads, and decode its response."""
        target = path + "?" + urlencode(query)
        response = await self._call("GET", target, b"", set(), timeout_s)
        if isinstance(response, Err):
            return response
        return _decode_response(response.ok_value[1], message_type)

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        expected: set[int],
        timeout_s: float = const.CALL_TIMEOUT_S,
    ) -> Result[tuple[int, bytes], KvError]:
        """Make one call; statuses other than 200 and `expected` are errors."""
        self.call_count += 1
        headers = [("Content-Type", "application/json")] if body else []
        try:
            with trio.fail_after(timeout_s):
                response = await self._pool.fetch(
                    method, target, headers, body
                )
        except ConnectError as error:
            return Err(KvError(KvFault.NOT_SENT, str(error)))
        except (HttpError, trio.TooSlowError) as error:
            return Err(KvError(KvFault.UNKNOWN, f"{target}: {error!r}"))
        if response.status == 200 or response.status in expected:
            return Ok((response.status, response.body))
        if response.status == STATUS_GONE:
            return Err(KvError(KvFault.COMPACTED, target))
        fault = classify_status(response.status)
        return Err(KvError(fault, f"{target}: status {response.status}"))


def classify_status(status: int) -> KvFault:
    """Return what a status that is an error tells of a call.

    429, 503 and the other refusals guarantee that nothing was done.
    """
    if status in _REFUSED_STATUSES:
        return KvFault.REFUSED
    if status < 500 or status == 503:
        return KvFault.NOT_SENT
    return KvFault.UNKNOWN


def _encode_value(value: bytes) -> str:
    """Encode a value as base64."""
    return b64encode(value).decode("ascii")


def _decode_response(
    body: bytes, message_type: type[Message]
) -> Result[Message, KvError]:
    """Decode a response; an unreadable one has an unknown outcome."""
    try:
        return Ok(msgspec.json.decode(body, type=message_type))
    except msgspec.MsgspecError as error:
        return Err(KvError(KvFault.UNKNOWN, str(error)))


def _read_item(message: ItemMessage) -> KvItem:
    """Convert an item."""
    value = b64decode(message.value)
    return KvItem(message.key, value, message.revision)


def _read_event(message: ItemMessage) -> KvEvent:
    """Convert an event."""
    value = None if message.tombstone else b64decode(message.value)
    return KvEvent(message.key, value, message.revision)
