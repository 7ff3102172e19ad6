"""Key-value client for the JSON gateway of etcd v3."""

from collections.abc import AsyncGenerator
from math import ceil
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ...kv_access.base import CommitBasedKeyValue
from ...ports.kv import KvError
from ...ports.kv import KvEvent
from ...ports.kv import KvFault
from ...ports.kv import KvItem
from ...ports.kv import KvTransaction
from ...ports.kv import KvWriteResult
from ...ports.kv import WATCH_POLL_TIMEOUT_S
from . import const
from ..http.address import Address
from ..http.client import HttpPool
from ..http.errors import ConnectError
from ..http.errors import HttpError
from . import models

Message = TypeVar("Message")


class EtcdKeyValue(CommitBasedKeyValue):
    """Client of etcd; `call_count` includes failed calls and watches."""

    def __init__(self, address: Address) -> None:
        """Create a client; connections are opened when they are needed."""
        self._pool = HttpPool(address)
        self.call_count = 0

    async def list_items(
        self, prefix: str
    ) -> Result[tuple[list[KvItem], int], KvError]:
        """Return the items under a prefix and the store's revision."""
        end = models.encode_bytes(models.compute_prefix_end(prefix))
        response = await self._fetch_range(prefix, end)
        return response.map(_decode_range)

    async def get_item(self, key: str) -> Result[KvItem | None, KvError]:
        """Return one item, or None when the key is absent."""
        response = await self._fetch_range(key, "")
        return response.map(
            lambda reply: next(iter(_decode_range(reply)[0]), None)
        )

    async def find_newest_revision(self, prefix: str) -> Result[int, KvError]:
        """Return the newest revision under a prefix, 0 for none."""
        request = models.RangeRequest(
            models.encode_bytes(prefix.encode()),
            models.encode_bytes(models.compute_prefix_end(prefix)),
            limit="1",
            sort_order="DESCEND",
            sort_target="MOD",
            keys_only=True,
        )
        response = await self._post(
            const.PATH_RANGE, request, models.RangeResponse
        )
        return response.map(
            lambda reply: int(reply.kvs[0].mod_revision) if reply.kvs else 0
        )

    async def commit(
        self, transaction: KvTransaction
    ) -> Result[KvWriteResult, KvError]:
        """Apply a transaction if all its checks hold."""
        operations = [
            models.RequestOperation(
                _make_put_request(put.key, put.value, put.lease)
            )
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
        response = await self._post(
            const.PATH_TXN, request, models.TransactionResponse
        )
        return response.map(
            lambda reply: KvWriteResult(
                reply.succeeded, int(reply.header.revision)
            )
        )

    async def put_item(
        self, key: str, value: bytes, lease: int = 0
    ) -> Result[int, KvError]:
        """Write unconditionally; return the store's revision."""
        request = _make_put_request(key, value, lease)
        response = await self._post(
            const.PATH_PUT, request, models.PutResponse
        )
        return response.map(lambda reply: int(reply.header.revision))

    async def grant_lease(self, ttl_s: float) -> Result[int, KvError]:
        """Create a lease of at least `ttl_s`; return its number."""
        request = models.LeaseGrantRequest(str(ceil(ttl_s)))
        response = await self._post(
            const.PATH_GRANT, request, models.LeaseResponse
        )
        return response.map(lambda reply: int(reply.ID))

    async def renew_lease(self, lease: int) -> Result[float, KvError]:
        """Renew a lease; return the seconds left, 0 when it has expired."""
        response = await self._post(
            const.PATH_KEEP_ALIVE,
            models.LeaseRequest(str(lease)),
            models.KeepAliveResponse,
        )
        return response.map(lambda reply: float(reply.result.TTL))

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        """End a lease and remove the keys written under it."""
        response = await self._post(
            const.PATH_REVOKE,
            models.LeaseRequest(str(lease)),
            models.LeaseResponse,
        )
        return response.map(lambda _: None)

    async def watch(
        self,
        prefix: str,
        from_revision: int,
        wait_s: float = WATCH_POLL_TIMEOUT_S,
    ) -> AsyncGenerator[Result[list[KvEvent], KvError], None]:
        """Yield the changes from a revision on; the first Err is the last.

        `wait_s` is unused: etcd pushes changes and progress notices.
        """
        create = models.WatchCreate(
            models.encode_bytes(prefix.encode()),
            models.encode_bytes(models.compute_prefix_end(prefix)),
            str(from_revision),
        )
        body = msgspec.json.encode(models.WatchRequest(create))
        self.call_count += 1
        try:
            async with self._pool.request(
                "POST", const.PATH_WATCH, body=body, new_connection=True
            ) as response:
                buffer = b""
                chunks = response.iter_chunks()
                while True:
                    with trio.fail_after(const.WATCH_IDLE_TIMEOUT_S):
                        buffer += await anext(chunks)
                    *lines, buffer = buffer.split(b"\n")
                    for line in lines:
                        yield Ok(_decode_events(line))
        except StopAsyncIteration:
            yield Err(KvError(KvFault.UNKNOWN, "the server ended the watch"))
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError) as error:
            yield Err(KvError(KvFault.UNKNOWN, f"watch failed: {error!r}"))

    async def _fetch_range(
        self, key: str, end: str
    ) -> Result[models.RangeResponse, KvError]:
        """Fetch the keys from `key` up to `end`; only `key` without `end`."""
        request = models.RangeRequest(models.encode_bytes(key.encode()), end)
        return await self._post(
            const.PATH_RANGE, request, models.RangeResponse
        )

    async def _post(
        self, path: str, request: msgspec.Struct, response_type: type[Message]
    ) -> Result[Message, KvError]:
        """Post a request and decode the response, within the call timeout."""
        self.call_count += 1
        body = msgspec.json.encode(request)
        try:
            with trio.fail_after(const.CALL_TIMEOUT_S):
                response = await self._pool.fetch("POST", path, body=body)
        except ConnectError as error:
            return Err(KvError(KvFault.NOT_SENT, str(error)))
        except (HttpError, trio.TooSlowError) as error:
            return Err(KvError(KvFault.UNKNOWN, f"{path}: {error!r}"))
        if response.status != 200:
            detail = f"{path}: status {response.status}"
            return Err(KvError(KvFault.UNKNOWN, detail))
        try:
            return Ok(msgspec.json.decode(response.body, type=response_type))
        except msgspec.MsgspecError as error:
            return Err(KvError(KvFault.UNKNOWN, f"{path}: {error}"))


def _make_put_request(key: str, value: bytes, lease: int) -> models.PutRequest:
    """Build the request of one write."""
    return models.PutRequest(
        models.encode_bytes(key.encode()),
        models.encode_bytes(value),
        str(lease),
    )


def _decode_range(
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


def _decode_events(line: bytes) -> list[KvEvent]:
    """Return the events of one watch message."""
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
