"""Support the platform's store over the content of the key-value one."""

from base64 import b64decode
from base64 import b64encode

import msgspec
from pistachiospar.adapters.etcd.models import compute_prefix_end
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.server import Exchange
from pistachiospar.platform import const
from pistachiospar.platform import store as messages
from pistachiospar.ports.kv import KvCheck
from pistachiospar.ports.kv import KvPut
from pistachiospar.ports.kv import KvTransaction
import trio

from ..kv.server import KvFaults
from ..kv.store import Store
from ..kv.store import StoredEvent
from ..kv.store import StoredItem
from ..serving.models import send_json
from ..serving.models import take_faults

PAGE_ITEMS = 3


class PlatformStoreHandler:
    """Serve the platform's store; pages are small, to be met in tests."""

    def __init__(self) -> None:
        """Begin empty."""
        self.store = Store()
        self.faults = KvFaults()
        self._writes = 0

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request."""
        if await take_faults(self.faults, request, exchange):
            return
        if self.faults.down:
            await send_json(exchange, {}, 503)
            return
        if self.faults.slow_s:
            await trio.sleep(self.faults.slow_s)
        self.store.expire(trio.current_time())
        parameters = request.parse_query()
        match request.path:
            case const.PATH_KEY:
                await self._get(parameters["key"], exchange)
            case const.PATH_RANGE:
                await self._range(parameters, exchange)
            case const.PATH_WATCH:
                await self._watch(parameters, exchange)
            case const.PATH_TXN:
                await self._transact(request.body, exchange)
            case _:
                await self._lease(request, exchange)

    async def _get(self, key: str, exchange: Exchange) -> None:
        """Answer with one item."""
        item = self.store.items.get(key)
        if item is None:
            await send_json(exchange, {}, 404)
            return
        message = msgspec.to_builtins(_make_item(item))
        revision = {"storeRevision": self.store.revision}
        await send_json(exchange, message | revision)

    async def _range(
        self, parameters: dict[str, str], exchange: Exchange
    ) -> None:
        """Answer with one page."""
        prefix = parameters["prefix"]
        end = compute_prefix_end(prefix).decode()
        after = parameters.get("after", "")
        items = [i for i in self.store.read(prefix, end) if i.key > after]
        page = [_make_item(item) for item in items[:PAGE_ITEMS]]
        truncated = len(items) > len(page)
        revision = self.store.revision
        answer = messages.RangeResponse(page, truncated, revision)
        await send_json(exchange, answer)

    async def _watch(
        self, parameters: dict[str, str], exchange: Exchange
    ) -> None:
        """Wait for changes."""
        prefix = parameters["prefix"]
        after = int(parameters["after"])
        if after < self.store.forgotten:
            await send_json(exchange, {}, 410)
            return
        end = compute_prefix_end(prefix).decode()
        events: list[StoredEvent] = []
        with trio.move_on_after(int(parameters["waitMs"]) / 1000):
            while not events or self.faults.silent_watch:
                changed = self.store.changed
                events = self.store.list_events(prefix, end, after + 1)
                if not events:
                    await changed.wait()
        told = [_make_event(event) for event in events]
        answer = messages.WatchResponse(told, self.store.revision)
        await send_json(exchange, answer)

    async def _transact(self, body: bytes, exchange: Exchange) -> None:
        """Carry out a transaction."""
        asked = msgspec.json.decode(body, type=messages.TxnMessage)
        transaction = KvTransaction(
            tuple(KvCheck(row.key, row.revision) for row in asked.expected),
            tuple(
                KvPut(row.key, b64decode(row.value), row.lease)
                for row in asked.puts
            ),
            tuple(asked.remove),
        )
        won = self.store.transact(transaction, trio.current_time())
        self._writes += 1
        every = self.faults.lose_reply_every
        if every and self._writes % every == 0:
            return
        if won is None:
            await send_json(exchange, {}, 404)
        elif won:
            await send_json(exchange, {"revision": self.store.revision})
        else:
            await send_json(exchange, {"items": []}, 412)

    async def _lease(self, request: HttpRequest, exchange: Exchange) -> None:
        """Grant, renew or end a lease."""
        now = trio.current_time()
        path, _, number = request.path.rpartition("/")
        if request.path == const.PATH_LEASE_GRANT:
            ttl_ms = msgspec.json.decode(request.body)["ttlMs"]
            lease = self.store.grant(ttl_ms / 1000, now)
            await send_json(exchange, {"lease": lease, "ttlMs": ttl_ms})
        elif path == const.PATH_LEASE_RENEW:
            left_s = self.store.keep(int(number), now)
            status = 200 if left_s else 404
            await send_json(exchange, {"ttlMs": int(left_s * 1000)}, status)
        elif path == const.PATH_LEASE_REVOKE:
            self.store.revoke(int(number))
            await send_json(exchange, {})
        else:
            await send_json(exchange, {}, 400)


def _make_item(item: StoredItem) -> messages.ItemMessage:
    """Make the message of an item."""
    value = b64encode(item.value).decode()
    return messages.ItemMessage(item.key, item.revision, value, item.lease)


def _make_event(event: StoredEvent) -> messages.ItemMessage:
    """Make the message of a change."""
    if event.value is None:
        return messages.ItemMessage(event.key, event.revision, tombstone=True)
    value = b64encode(event.value).decode()
    return messages.ItemMessage(event.key, event.revision, value)
