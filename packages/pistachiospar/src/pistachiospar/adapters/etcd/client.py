"""Support the key-value port over the etcd v3 HTTP/JSON gateway."""

from collections.abc import AsyncGenerator
from math import ceil
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ...ports.kv import KvError
from ...ports.kv import KvEvent
from ...ports.kv import KvFault
from ...ports.kv import KvItem
from ...ports.kv import KvTransaction
from ...ports.kv import KvWriteResult
from ...ports.kv import WATCH_POLL_TIMEOUT_S
from ...storing.base import CommitBasedKeyValue
from . import const
from ..http.client import Address
from ..http.client import HttpPool
from ..http.errors import ConnectError
from ..http.errors import HttpError
from . import models

Message = TypeVar("Message")


class EtcdKeyValue(CommitBasedKeyValue):
    """Reach the key-value service; counts its calls."""

    def __init__(self, address: Address) -> None:
        """Begin with no connection."""
        self._pool = HttpPool(address)
        self.calls = 0

    async def list_items(
        self, prefix: str
    ) -> Result[tuple[list[KvItem], int], KvError]:
        """Return the items below a prefix and the store's revision."""
        end = models.encode_bytes(models.end_of_prefix(prefix))
        answer = await self._range(prefix, end)
        return answer.map(_read_range)

    async def get_item(self, key: str) -> Result[KvItem | None, KvError]:
        """Return one item, or None."""
        answer = await self._range(key, "")
        return answer.map(lambda got: next(iter(_read_range(got)[0]), None))

    async def find_newest_revision(self, prefix: str) -> Result[int, KvError]:
        """Return the newest revision below a prefix, 0 for none."""
        request = models.RangeRequest(
            models.encode_bytes(prefix.encode()),
            models.encode_bytes(models.end_of_prefix(prefix)),
            limit="1",
            sort_order="DESCEND",
            sort_target="MOD",
            keys_only=True,
        )
        answer = await self._call(
            const.PATH_RANGE, request, models.RangeResponse
        )
        return answer.map(
            lambda got: int(got.kvs[0].mod_revision) if got.kvs else 0
        )

    async def commit(
        self, transaction: KvTransaction
    ) -> Result[KvWriteResult, KvError]:
        """Carry out a transaction if all its checks hold."""
        operations = [
            models.RequestOperation(_make_put(put.key, put.value, put.lease))
            for put in transaction.puts
        ]
        operations += [
            models.RequestOperation(
                request_delete_range=models.DeleteRange(
                    models.encode_bytes(key.encode())
                )
            )
            for key in transaction.removals
        ]
        request = models.TransactionRequest(
            [
                models.Compare(
                    models.encode_bytes(check.key.encode()),
                    str(check.revision),
                )
                for check in transaction.checks
            ],
            operations,
        )
        answer = await self._call(
            const.PATH_TXN, request, models.TransactionResponse
        )
        return answer.map(
            lambda got: KvWriteResult(got.succeeded, int(got.header.revision))
        )

    async def put_item(
        self, key: str, value: bytes, lease: int = 0
    ) -> Result[int, KvError]:
        """Write without condition; return the store's revision."""
        request = _make_put(key, value, lease)
        answer = await self._call(const.PATH_PUT, request, models.PutResponse)
        return answer.map(lambda got: int(got.header.revision))

    async def grant_lease(self, ttl_s: float) -> Result[int, KvError]:
        """Return a new lease's number."""
        request = models.LeaseGrantRequest(str(ceil(ttl_s)))
        answer = await self._call(
            const.PATH_GRANT, request, models.LeaseResponse
        )
        return answer.map(lambda got: int(got.ID))

    async def renew_lease(self, lease: int) -> Result[float, KvError]:
        """Renew a lease; return the seconds left, 0 when it lapsed."""
        answer = await self._call(
            const.PATH_KEEP_ALIVE,
            models.LeaseRequest(str(lease)),
            models.KeepAliveResponse,
        )
        return answer.map(lambda got: float(got.result.TTL))

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        """Give a lease back."""
        answer = await self._call(
            const.PATH_REVOKE,
            models.LeaseRequest(str(lease)),
            models.LeaseResponse,
        )
        return answer.map(lambda _: None)

    async def watch(
        self,
        prefix: str,
        from_revision: int,
        wait_s: float = WATCH_POLL_TIMEOUT_S,
    ) -> AsyncGenerator[Result[list[KvEvent], KvError], None]:
        """Yield changes from a revision on; the first Err is the last."""
        create = models.WatchCreate(
            models.encode_bytes(prefix.encode()),
            models.encode_bytes(models.end_of_prefix(prefix)),
            str(from_revision),
        )
        body = msgspec.json.encode(models.WatchRequest(create))
        self.calls += 1
        try:
            async with self._pool.request(
                "POST", const.PATH_WATCH, body=body, fresh=True
            ) as answer:
                buffer = b""
                chunks = answer.chunks()
                while True:
                    with trio.fail_after(const.WATCH_SILENCE_S):
                        buffer += await anext(chunks)
                    *lines, buffer = buffer.split(b"\n")
                    for line in lines:
                        yield Ok(_read_events(line))
        except StopAsyncIteration:
            yield Err(KvError(KvFault.UNKNOWN, "watch ended"))
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError) as error:
            yield Err(KvError(KvFault.UNKNOWN, f"watch lost: {error!r}"))

    async def _range(
        self, key: str, end: str
    ) -> Result[models.RangeResponse, KvError]:
        """Read keys."""
        request = models.RangeRequest(models.encode_bytes(key.encode()), end)
        return await self._call(
            const.PATH_RANGE, request, models.RangeResponse
        )

    async def _call(
        self, path: str, request: msgspec.Struct, kind: type[Message]
    ) -> Result[Message, KvError]:
        """Make one call within its timeout."""
        self.calls += 1
        body = msgspec.json.encode(request)
        try:
            with trio.fail_after(const.CALL_TIMEOUT_S):
                answer = await self._pool.fetch("POST", path, body=body)
        except ConnectError as error:
            return Err(KvError(KvFault.NOT_SENT, str(error)))
        except (HttpError, trio.TooSlowError) as error:
            return Err(KvError(KvFault.UNKNOWN, f"{path}: {error!r}"))
        if answer.status != 200:
            detail = f"{path}: status {answer.status}"
            return Err(KvError(KvFault.UNKNOWN, detail))
        try:
            return Ok(msgspec.json.decode(answer.body, type=kind))
        except msgspec.MsgspecError as error:
            return Err(KvError(KvFault.UNKNOWN, f"{path}: {error}"))


def _make_put(key: str, value: bytes, lease: int) -> models.PutRequest:
    """Make the message of one write."""
    return models.PutRequest(
        models.encode_bytes(key.encode()),
        models.encode_bytes(value),
        str(lease),
    )


def _read_range(
    message: models.RangeResponse,
) -> tuple[list[KvItem], int]:
    """Return the items and the store's revision."""
    items = [
        KvItem(
            models.decode_bytes(item.key).decode(),
            models.decode_bytes(item.value),
            int(item.mod_revision),
        )
        for item in message.kvs
    ]
    return items, int(message.header.revision)


def _read_events(line: bytes) -> list[KvEvent]:
    """Return the events of one line of a watch."""
    message = msgspec.json.decode(line, type=models.WatchResponse)
    return [
        KvEvent(
            models.decode_bytes(event.kv.key).decode(),
            None
            if event.type == "DELETE"
            else models.decode_bytes(event.kv.value),
            int(event.kv.mod_revision),
        )
        for event in message.result.events
    ]
