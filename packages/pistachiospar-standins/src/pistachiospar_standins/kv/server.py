"""HTTP server of the key-value stand-in, with etcd's v3 JSON API."""

from collections import Counter

import msgspec
from pistachiospar.adapters.etcd import const
from pistachiospar.adapters.etcd import models
from pistachiospar.adapters.http.exchange import Exchange
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.ports.kv import KvCheck
from pistachiospar.ports.kv import KvPut
from pistachiospar.ports.kv import KvTransaction
import trio

from ..serving.models import handle_fault_request
from ..serving.models import send_json
from .store import Store
from .store import StoredEvent
from .store import StoredItem

PROGRESS_INTERVAL_S = 2.0
EXPIRY_S = 0.5


class KvFaults(msgspec.Struct):
    """The faults of the service; delays are in seconds.

    `lose_reply_every` drops each n-th reply to a write, after the write took
    effect; `silent_watch` keeps watches open without sending them anything.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_reply_every: int = 0
    silent_watch: bool = False


class KvSettings(msgspec.Struct):
    """The settings of the key-value stand-in."""

    faults: KvFaults = msgspec.field(default_factory=KvFaults)


class KvHandler:
    """A handler of etcd's calls that counts the calls of each path."""

    def __init__(self, settings: KvSettings) -> None:
        """Create a handler over an empty store."""
        self.store = Store()
        self.faults = settings.faults
        self.calls: Counter[str] = Counter()
        self._writes = 0

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request; no response while `down` is set."""
        if await handle_fault_request(self.faults, request, exchange):
            return
        if request.path == "/admin/calls":
            await send_json(exchange, dict(self.calls))
            return
        self.calls[request.path] += 1
        if self.faults.down:
            return
        if self.faults.slow_s:
            await trio.sleep(self.faults.slow_s)
        self.store.expire_leases(trio.current_time())
        if request.path == const.PATH_WATCH:
            await self._watch(request.body, exchange)
            return
        response = self._execute(request.path, request.body)
        if self._drops_reply(request.path):
            return
        status = 404 if response is None else 200
        await send_json(exchange, response, status)

    def _drops_reply(self, path: str) -> bool:
        """Count the writes; return whether this one's reply is dropped."""
        every = self.faults.lose_reply_every
        if not every or path not in (const.PATH_TXN, const.PATH_PUT):
            return False
        self._writes += 1
        return self._writes % every == 0

    def _execute(self, path: str, body: bytes) -> msgspec.Struct | None:
        """Execute a call; return its response, None for 404."""
        now = trio.current_time()
        match path:
            case const.PATH_RANGE:
                request = msgspec.json.decode(body, type=models.RangeRequest)
                return self._read_range(request)
            case const.PATH_PUT:
                put = msgspec.json.decode(body, type=models.PutRequest)
                if not self._put(put):
                    return None
                return models.PutResponse(self._make_header())
            case const.PATH_TXN:
                return self._transact(
                    msgspec.json.decode(body, type=models.TransactionRequest)
                )
            case const.PATH_GRANT:
                grant_request = msgspec.json.decode(
                    body, type=models.LeaseGrantRequest
                )
                lease = self.store.grant_lease(float(grant_request.TTL), now)
                return models.LeaseResponse(str(lease), grant_request.TTL)
            case const.PATH_KEEP_ALIVE:
                renewal = msgspec.json.decode(body, type=models.LeaseRequest)
                left_s = int(self.store.renew_lease(int(renewal.ID), now))
                return models.KeepAliveResponse(
                    models.LeaseResponse(renewal.ID, str(left_s))
                )
            case const.PATH_REVOKE:
                revocation = msgspec.json.decode(
                    body, type=models.LeaseRequest
                )
                self.store.revoke_lease(int(revocation.ID))
                return models.LeaseResponse(revocation.ID)
        return None

    def _make_header(self) -> models.ResponseHeader:
        """Return a response header with the current revision."""
        return models.ResponseHeader(str(self.store.revision))

    def _read_range(
        self, request: models.RangeRequest
    ) -> models.RangeResponse:
        """Return the items of a range, sorted and limited as requested."""
        end = models.decode_bytes(request.range_end).decode()
        items = self.store.read(models.decode_bytes(request.key).decode(), end)
        if request.sort_target == "MOD":
            items.sort(key=lambda item: item.revision)
        if request.sort_order == "DESCEND":
            items.reverse()
        if int(request.limit):
            items = items[: int(request.limit)]
        messages = [_make_message(item, request.keys_only) for item in items]
        return models.RangeResponse(self._make_header(), messages)

    def _put(self, put: models.PutRequest) -> bool:
        """Write a key; return False when its lease has expired."""
        return self.store.write(
            models.decode_bytes(put.key).decode(),
            models.decode_bytes(put.value),
            int(put.lease),
            trio.current_time(),
        )

    def _transact(
        self, request: models.TransactionRequest
    ) -> models.TransactionResponse | None:
        """Apply a transaction if its comparisons hold; None for no lease."""
        puts = [op.request_put for op in request.success if op.request_put]
        deletions = [op.request_delete_range for op in request.success]
        transaction = KvTransaction(
            tuple(
                KvCheck(_decode_key(c.key), int(c.mod_revision))
                for c in request.compare
            ),
            tuple(
                KvPut(
                    _decode_key(put.key),
                    models.decode_bytes(put.value),
                    int(put.lease),
                )
                for put in puts
            ),
            tuple(
                _decode_key(deletion.key) for deletion in deletions if deletion
            ),
        )
        applied = self.store.transact(transaction, trio.current_time())
        if applied is None:
            return None
        return models.TransactionResponse(self._make_header(), applied)

    async def _watch(self, body: bytes, exchange: Exchange) -> None:
        """Stream changes until the client disconnects or `down` is set."""
        request = msgspec.json.decode(body, type=models.WatchRequest)
        create = request.create_request
        key = models.decode_bytes(create.key).decode()
        end = models.decode_bytes(create.range_end).decode()
        revision = int(create.start_revision)
        await exchange.start(200, [("Transfer-Encoding", "chunked")])
        while not self.faults.down:
            changed = self.store.changed
            self.store.expire_leases(trio.current_time())
            events = self.store.list_events(key, end, revision)
            if not self.faults.silent_watch:
                await self._send_events(events, exchange)
                revision = max(
                    [revision, *(event.revision + 1 for event in events)]
                )
            with trio.move_on_after(PROGRESS_INTERVAL_S):
                await changed.wait()

    async def _send_events(
        self, events: list[StoredEvent], exchange: Exchange
    ) -> None:
        """Send changes; a message without any is a progress notification."""
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
        result = models.WatchResult(self._make_header(), messages)
        data = msgspec.json.encode(models.WatchResponse(result))
        await exchange.write(data + b"\n")


def _decode_key(text: str) -> str:
    """Return a key from its base64 form."""
    return models.decode_bytes(text).decode()


def _make_message(item: StoredItem, keys_only: bool) -> models.KeyValueMessage:
    """Convert an item to its message, without its value if `keys_only`."""
    return models.KeyValueMessage(
        models.encode_bytes(item.key.encode()),
        "" if keys_only else models.encode_bytes(item.value),
        str(item.revision),
        str(item.lease),
    )
