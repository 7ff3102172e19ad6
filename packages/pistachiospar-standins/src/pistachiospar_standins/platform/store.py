"""HTTP handler of the platform's store, over the key-value store."""

from base64 import b64decode
from base64 import b64encode

import msgspec
from pistachiospar.adapters.etcd.models import compute_prefix_end
from pistachiospar.adapters.http.exchange import Exchange
from pistachiospar.adapters.http.models import HttpRequest
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
from ..serving.models import handle_fault_request
from ..serving.models import send_json

MAX_PAGE_ITEMS = 3


class PlatformStoreHandler:
    """A handler of the platform's store.

    Pages are small, so that tests read more than one.
    """

    def __init__(self) -> None:
        """Create a handler over an empty store, without faults."""
        self.store = Store()
        self.faults = KvFaults()
        self._writes = 0

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request; status 503 while `down` is set."""
        if await handle_fault_request(self.faults, request, exchange):
            return
        if self.faults.down:
            await send_json(exchange, {}, 503)
            return
        if self.faults.slow_s:
            await trio.sleep(self.faults.slow_s)
        self.store.expire_leases(trio.current_time())
        parameters = request.parse_query()
        match request.path:
            case const.PATH_KEY:
                await self._send_item(parameters["key"], exchange)
            case const.PATH_RANGE:
                await self._send_page(parameters, exchange)
            case const.PATH_WATCH:
                await self._send_changes(parameters, exchange)
            case const.PATH_TXN:
                await self._transact(request.body, exchange)
            case _:
                await self._handle_lease(request, exchange)

    async def _send_item(self, key: str, exchange: Exchange) -> None:
        """Send one item, 404 when it is absent."""
        item = self.store.items.get(key)
        if item is None:
            await send_json(exchange, {}, 404)
            return
        message = msgspec.to_builtins(_make_item(item))
        revision = {"storeRevision": self.store.revision}
        await send_json(exchange, message | revision)

    async def _send_page(
        self, parameters: dict[str, str], exchange: Exchange
    ) -> None:
        """Send one page of the items under a prefix."""
        prefix = parameters["prefix"]
        end = compute_prefix_end(prefix).decode()
        after = parameters.get("after", "")
        items = [i for i in self.store.read(prefix, end) if i.key > after]
        page = [_make_item(item) for item in items[:MAX_PAGE_ITEMS]]
        truncated = len(items) > len(page)
        revision = self.store.revision
        response = messages.RangeResponse(page, truncated, revision)
        await send_json(exchange, response)

    async def _send_changes(
        self, parameters: dict[str, str], exchange: Exchange
    ) -> None:
        """Wait for changes and send them; 410 for a compacted revision."""
        prefix = parameters["prefix"]
        after = int(parameters["after"])
        if after < self.store.compacted_revision:
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
        changes = [_make_event(event) for event in events]
        response = messages.WatchResponse(changes, self.store.revision)
        await send_json(exchange, response)

    async def _transact(self, body: bytes, exchange: Exchange) -> None:
        """Apply a transaction: 412 when a check fails, 404 for no lease."""
        request = msgspec.json.decode(body, type=messages.TxnMessage)
        transaction = KvTransaction(
            tuple(KvCheck(row.key, row.revision) for row in request.expected),
            tuple(
                KvPut(row.key, b64decode(row.value), row.lease)
                for row in request.puts
            ),
            tuple(request.remove),
        )
        applied = self.store.transact(transaction, trio.current_time())
        self._writes += 1
        every = self.faults.lose_reply_every
        if every and self._writes % every == 0:
            return
        if applied is None:
            await send_json(exchange, {}, 404)
        elif applied:
            await send_json(exchange, {"revision": self.store.revision})
        else:
            await send_json(exchange, {"items": []}, 412)

    async def _handle_lease(
        self, request: HttpRequest, exchange: Exchange
    ) -> None:
        """Grant, renew or revoke a lease."""
        now = trio.current_time()
        path, _, number = request.path.rpartition("/")
        if request.path == const.PATH_LEASE_GRANT:
            ttl_ms = msgspec.json.decode(request.body)["ttlMs"]
            lease = self.store.grant_lease(ttl_ms / 1000, now)
            await send_json(exchange, {"lease": lease, "ttlMs": ttl_ms})
        elif path == const.PATH_LEASE_RENEW:
            remaining_s = self.store.renew_lease(int(number), now)
            status = 200 if remaining_s else 404
            await send_json(
                exchange, {"ttlMs": int(remaining_s * 1000)}, status
            )
        elif path == const.PATH_LEASE_REVOKE:
            self.store.revoke_lease(int(number))
            await send_json(exchange, {})
        else:
            await send_json(exchange, {}, 400)


def _make_item(item: StoredItem) -> messages.ItemMessage:
    """Convert an item of the store to its message."""
    value = b64encode(item.value).decode()
    return messages.ItemMessage(item.key, item.revision, value, item.lease)


def _make_event(event: StoredEvent) -> messages.ItemMessage:
    """Convert a change to its message, a tombstone for a deletion."""
    if event.value is None:
        return messages.ItemMessage(event.key, event.revision, tombstone=True)
    value = b64encode(event.value).decode()
    return messages.ItemMessage(event.key, event.revision, value)
