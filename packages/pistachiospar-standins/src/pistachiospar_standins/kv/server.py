"""Support the etcd v3 HTTP/JSON shape over the store."""

from collections import Counter

import msgspec
from pistachiospar.adapters.etcd import const
from pistachiospar.adapters.etcd import models
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.server import Exchange
from pistachiospar.ports.kv import KvCheck
from pistachiospar.ports.kv import KvPut
from pistachiospar.ports.kv import KvTransaction
import trio

from ..serving.models import send_json
from ..serving.models import take_faults
from .store import Store
from .store import StoredEvent
from .store import StoredItem

PROGRESS_S = 2.0
EXPIRY_S = 0.5


class KvFaults(msgspec.Struct):
    """Set the faults of the service; delays are in seconds.

    `lose_reply_every` drops each n-th reply of a write after it took
    effect; `silent_watch` keeps watches open and tells them nothing.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_reply_every: int = 0
    silent_watch: bool = False


class KvSettings(msgspec.Struct):
    """Hold the settings."""

    faults: KvFaults = msgspec.field(default_factory=KvFaults)


class KvHandler:
    """Serve the key-value service."""

    def __init__(self, settings: KvSettings) -> None:
        """Begin empty."""
        self.store = Store()
        self.faults = settings.faults
        self.calls: Counter[str] = Counter()
        self._writes = 0

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request."""
        if await take_faults(self.faults, request, exchange):
            return
        if request.path == "/admin/calls":
            await send_json(exchange, dict(self.calls))
            return
        self.calls[request.path] += 1
        if self.faults.down:
            return
        if self.faults.slow_s:
            await trio.sleep(self.faults.slow_s)
        self.store.expire(trio.current_time())
        if request.path == const.PATH_WATCH:
            await self._watch(request.body, exchange)
            return
        answer = self._answer(request.path, request.body)
        if self._loses_reply(request.path):
            return
        status = 404 if answer is None else 200
        await send_json(exchange, answer, status)

    def _loses_reply(self, path: str) -> bool:
        """Return whether the reply of a write is dropped."""
        every = self.faults.lose_reply_every
        if not every or path not in (const.PATH_TXN, const.PATH_PUT):
            return False
        self._writes += 1
        return self._writes % every == 0

    def _answer(self, path: str, body: bytes) -> msgspec.Struct | None:
        """Return the answer to a call."""
        now = trio.current_time()
        match path:
            case const.PATH_RANGE:
                asked = msgspec.json.decode(body, type=models.RangeRequest)
                return self._read(asked)
            case const.PATH_PUT:
                put = msgspec.json.decode(body, type=models.PutRequest)
                if not self._put(put):
                    return None
                return models.PutResponse(self._header())
            case const.PATH_TXN:
                return self._transact(
                    msgspec.json.decode(body, type=models.TransactionRequest)
                )
            case const.PATH_GRANT:
                grant = msgspec.json.decode(
                    body, type=models.LeaseGrantRequest
                )
                lease = self.store.grant(float(grant.TTL), now)
                return models.LeaseResponse(str(lease), grant.TTL)
            case const.PATH_KEEP_ALIVE:
                kept = msgspec.json.decode(body, type=models.LeaseRequest)
                left_s = int(self.store.keep(int(kept.ID), now))
                return models.KeepAliveResponse(
                    models.LeaseResponse(kept.ID, str(left_s))
                )
            case const.PATH_REVOKE:
                given = msgspec.json.decode(body, type=models.LeaseRequest)
                self.store.revoke(int(given.ID))
                return models.LeaseResponse(given.ID)
        return None

    def _header(self) -> models.ResponseHeader:
        """Return the response header."""
        return models.ResponseHeader(str(self.store.revision))

    def _read(self, asked: models.RangeRequest) -> models.RangeResponse:
        """Answer a range request."""
        end = models.decode_bytes(asked.range_end).decode()
        items = self.store.read(models.decode_bytes(asked.key).decode(), end)
        if asked.sort_target == "MOD":
            items.sort(key=lambda item: item.revision)
        if asked.sort_order == "DESCEND":
            items.reverse()
        if int(asked.limit):
            items = items[: int(asked.limit)]
        messages = [_make_message(item, asked.keys_only) for item in items]
        return models.RangeResponse(self._header(), messages)

    def _put(self, put: models.PutRequest) -> bool:
        """Write a key."""
        return self.store.write(
            models.decode_bytes(put.key).decode(),
            models.decode_bytes(put.value),
            int(put.lease),
            trio.current_time(),
        )

    def _transact(
        self, asked: models.TransactionRequest
    ) -> models.TransactionResponse | None:
        """Do a transaction if its comparisons hold."""
        puts = [op.request_put for op in asked.success if op.request_put]
        gone = [op.request_delete_range for op in asked.success]
        transaction = KvTransaction(
            tuple(
                KvCheck(_read_key(c.key), int(c.mod_revision))
                for c in asked.compare
            ),
            tuple(
                KvPut(
                    _read_key(put.key),
                    models.decode_bytes(put.value),
                    int(put.lease),
                )
                for put in puts
            ),
            tuple(_read_key(delete.key) for delete in gone if delete),
        )
        holds = self.store.transact(transaction, trio.current_time())
        if holds is None:
            return None
        return models.TransactionResponse(self._header(), holds)

    async def _watch(self, body: bytes, exchange: Exchange) -> None:
        """Stream changes until the watcher goes away."""
        asked = msgspec.json.decode(body, type=models.WatchRequest)
        create = asked.create_request
        key = models.decode_bytes(create.key).decode()
        end = models.decode_bytes(create.range_end).decode()
        revision = int(create.start_revision)
        await exchange.start(200, [("Transfer-Encoding", "chunked")])
        while not self.faults.down:
            changed = self.store.changed
            self.store.expire(trio.current_time())
            events = self.store.list_events(key, end, revision)
            if not self.faults.silent_watch:
                await self._send_events(events, exchange)
                revision = max(
                    [revision, *(event.revision + 1 for event in events)]
                )
            with trio.move_on_after(PROGRESS_S):
                await changed.wait()

    async def _send_events(
        self, events: list[StoredEvent], exchange: Exchange
    ) -> None:
        """Send changes; none is a progress notice."""
        messages = [
            models.EventMessage(
                models.KeyValueMessage(
                    models.encode_bytes(event.key.encode()),
                    models.encode_bytes(event.value or b""),
                    str(event.revision),
                ),
                "DELETE" if event.value is None else "PUT",
            )
            for event in events
        ]
        result = models.WatchResult(self._header(), messages)
        data = msgspec.json.encode(models.WatchResponse(result))
        await exchange.write(data + b"\n")


def _read_key(text: str) -> str:
    """Decode a key."""
    return models.decode_bytes(text).decode()


def _make_message(item: StoredItem, keys_only: bool) -> models.KeyValueMessage:
    """Make the message of one key."""
    return models.KeyValueMessage(
        models.encode_bytes(item.key.encode()),
        "" if keys_only else models.encode_bytes(item.value),
        str(item.revision),
        str(item.lease),
    )
