"""Stand-ins of the second review: platform store, samplers, services, clients.

Only the standard library is used. Everything listens on loopback addresses,
and each run takes IP addresses of its own, so that several may run at once.
"""

import asyncio
import base64
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
import ctypes
from dataclasses import dataclass
from dataclasses import field
from functools import partial
import json
import os
from pathlib import Path
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ROOT = Path(__file__).resolve().parent.parent
MAX_KEY_BYTES = 200
MAX_ROWS = 32
PAGE_ITEMS = 500
PR_SET_PDEATHSIG = 1
MAX_RUN_S = 112.0
FRONT_PORT, READY_PORT, CONTROL_PORT = 7001, 7002, 7003
INTERNAL_PORTS = [7380, 7395]
_LIBC = ctypes.CDLL(None)


@dataclass
class Request:
    """A request that was read whole; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: str = ""


@dataclass
class Reply:
    """A response; `stream` sends the body itself when it is set."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    stream: "Callable[[asyncio.StreamWriter], Awaitable[bool]] | None" = None


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], list[tuple[str, str]]] | None:
    """Return the first line and headers of a message; None at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    raw: list[tuple[str, str]] = []
    while (entry := await reader.readline()).strip():
        name, _, value = entry.decode("latin-1").partition(":")
        raw.append((name.strip(), value.strip()))
    headers = {name.lower(): value for name, value in raw}
    return line.decode("latin-1").strip(), headers, raw


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], to_end: bool
) -> bytes:
    """Return a message's body, by its length, chunks or the connection."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts: list[bytes] = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size)
            await reader.readline()
            if not size:
                return b"".join(parts)
            parts.append(part)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


class Server:
    """An HTTP/1.1 server on a loopback address."""

    def __init__(
        self, handler: Callable[[Request], Awaitable[Reply | None]]
    ) -> None:
        self._handler = handler
        self._server: asyncio.base_events.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""
        # Whether an answer is also sent a second time, late: at the point
        # where the next answer on its connection is expected.
        self.repeats: Callable[[Request], bool] = lambda request: False
        self._late: dict[asyncio.StreamWriter, tuple[str, bytes]] = {}
        self.on_late: Callable[[str, Request], None] = lambda first, now: None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=2**16, backlog=512
        )
        found = self._server.sockets[0].getsockname()
        self.address = f"{found[0]}:{found[1]}"
        return self.address

    def set_handler(
        self, handler: Callable[[Request], Awaitable[Reply | None]]
    ) -> None:
        """Serve requests by another handler from now on."""
        self._handler = handler

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self._late.pop(writer, None)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        message = await read_message(reader)
        if message is None:
            return False
        line, headers, _ = message
        method, target, _ = line.split(" ", 2)
        body = await read_body(reader, headers, False)
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        request = Request(method, parts.path, query, headers, body, target)
        late = self._late.pop(writer, None)
        if late is not None:
            self.on_late(late[0], request)
            writer.write(late[1])
            await writer.drain()
        # The caller may close meanwhile, which ends the work on its request.
        work = asyncio.ensure_future(self._handler(request))
        gone = asyncio.ensure_future(wait_for_end(reader))
        done, _ = await asyncio.wait(
            (work, gone), return_when=asyncio.FIRST_COMPLETED
        )
        if work not in done:
            work.cancel()
            return False
        reply = work.result()
        if reply is None:
            gone.cancel()
            return False
        head = f"HTTP/1.1 {reply.status} X\r\n"
        for name, value in reply.headers:
            head += f"{name}: {value}\r\n"
        if reply.stream is None:
            gone.cancel()
            head += f"Content-Length: {len(reply.body)}\r\n\r\n"
            data = head.encode("latin-1") + reply.body
            writer.write(data)
            await writer.drain()
            if self.repeats(request):
                name = request.headers.get("request-id", "")
                self._late[writer] = name, data
            return True
        head += "Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode("latin-1"))
        sending = asyncio.ensure_future(reply.stream(writer))
        await asyncio.wait(
            (sending, gone), return_when=asyncio.FIRST_COMPLETED
        )
        if not sending.done():
            sending.cancel()
            return False
        gone.cancel()
        if not sending.result():
            writer.transport.abort()
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def wait_for_end(reader: asyncio.StreamReader) -> None:
    """Return when the other side has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write one chunk of a body."""
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Reply | None:
    """Make one call on a new connection; None without a whole response."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            all_headers = {"Host": address, **(headers or {})}
            all_headers["Content-Length"] = str(len(body))
            head = f"{method} {target} HTTP/1.1\r\n" + "".join(
                f"{n}: {v}\r\n" for n, v in all_headers.items()
            )
            writer.write(head.encode("latin-1") + b"\r\n" + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None
            line, found, raw = message
            content = await read_body(reader, found, True)
            return Reply(int(line.split(" ")[1]), raw, content)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


class Proxy:
    """A TCP proxy whose open connections can go silent for good."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._generation = 0
        self._server: asyncio.base_events.Server | None = None
        self.address = ""

    async def start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        found = self._server.sockets[0].getsockname()
        self.address = f"{found[0]}:{found[1]}"
        return self.address

    def silence(self) -> None:
        """Pass nothing more on connections that are open now."""
        self._generation += 1

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        generation = self._generation
        far_reader, far_writer = await asyncio.open_connection(host, int(port))

        async def pump(
            source: asyncio.StreamReader, sink: asyncio.StreamWriter
        ) -> None:
            try:
                while data := await source.read(65_536):
                    if generation == self._generation:
                        sink.write(data)
                        await sink.drain()
            except OSError:
                pass
            if generation == self._generation:
                sink.close()

        await asyncio.gather(
            pump(reader, far_writer), pump(far_reader, writer)
        )
        writer.close()
        far_writer.close()


@dataclass
class Entry:
    """An item of the store."""

    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """The platform's store, as PROTOCOL.md describes it.

    Values above `value_bytes`, keys above 200 bytes and more than 32 rows
    are refused with 400, and nothing is done. While `down` is set, all calls
    get 503 and leases pause.
    """

    def __init__(self, value_bytes: int = 1_048_576) -> None:
        self.value_bytes = value_bytes
        self.items: dict[str, Entry] = {}
        self.revision = 1
        self.down = False
        self.delay_s = 0.0
        self.refused_writes: list[str] = []
        self.on_refused: Callable[[str], None] = lambda detail: None
        self._log: deque[tuple[int, str, bytes | None]] = deque(maxlen=200_000)
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self.server = Server(self.handle)

    async def run(self) -> None:
        """End leases whose time is up, until cancelled."""
        paused_at: float | None = None
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.down:
                paused_at = paused_at or now
                continue
            if paused_at is not None:
                for lease, (ttl_s, ends) in list(self._leases.items()):
                    self._leases[lease] = (ttl_s, ends + now - paused_at)
                paused_at = None
            for lease, (_, ends_at) in list(self._leases.items()):
                if now >= ends_at:
                    self._end_lease(lease)

    def put(self, key: str, value: object) -> int:
        """Write as the operator, a sampler or a trainer; return the revision."""
        self.revision += 1
        self._set(key, json.dumps(value).encode(), 0)
        self._notify()
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key as a sampler does."""
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._notify()

    def _set(self, key: str, value: bytes, lease: int) -> None:
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = Entry(value, self.revision, created, lease)
        self._log.append((self.revision, key, value))

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._log.append((self.revision, key, None))

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [k for k, e in self.items.items() if e.lease == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: Request) -> Reply | None:
        """Serve one call."""
        if self.down:
            return Reply(503)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if request.path == "/kv-key":
            return self._get(request.query["key"])
        if request.path == "/kv-range":
            return self._range(request.query)
        if request.path == "/kv-watch":
            return await self._watch(request.query)
        if request.path == "/kv-txn":
            return self._transact(json.loads(request.body))
        return self._serve_lease(request)

    def _make_item(self, key: str) -> dict[str, object]:
        entry = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(entry.value).decode(),
            "revision": entry.revision,
            "created": entry.created,
            "lease": entry.lease,
        }

    def _send(self, status: int, message: dict[str, object]) -> Reply:
        body = json.dumps(message).encode()
        return Reply(status, [("Content-Type", "application/json")], body)

    def _get(self, key: str) -> Reply:
        if key not in self.items:
            return self._send(404, {"storeRevision": self.revision})
        item = self._make_item(key)
        return self._send(200, {**item, "storeRevision": self.revision})

    def _range(self, query: dict[str, str]) -> Reply:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        page: list[dict[str, object]] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key].value) * 4 // 3
            if page and size > 1_000_000:
                break
            page.append(self._make_item(key))
        return self._send(
            200,
            {
                "items": page,
                "truncated": len(page) < len(keys),
                "storeRevision": self.revision,
            },
        )

    async def _watch(self, query: dict[str, str]) -> Reply:
        prefix, after = query["prefix"], int(query["after"])
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self._changed
            events: list[dict[str, object]] = []
            for revision, key, value in reversed(self._log):
                if revision <= after:
                    break
                if not key.startswith(prefix):
                    continue
                event: dict[str, object] = {"key": key, "revision": revision}
                if value is None:
                    event["tombstone"] = True
                else:
                    event["value"] = base64.b64encode(value).decode()
                events.append(event)
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                events.reverse()
                return self._send(
                    200, {"events": events, "storeRevision": self.revision}
                )
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass
            if self.down:
                return Reply(503)

    def _find_fault(self, message: dict[str, list]) -> tuple[int, str]:
        rows = [*message["expected"], *message["puts"]]
        keys = [row["key"] for row in rows] + message["remove"]
        if len(keys) > MAX_ROWS:
            return 400, f"{len(keys)} rows"
        for key in keys:
            if len(key.encode()) > MAX_KEY_BYTES:
                return 400, f"a key of {len(key.encode())} bytes: {key}"
        for row in message["puts"]:
            size = len(base64.b64decode(row["value"]))
            if size > self.value_bytes:
                return 400, f"a value of {size} bytes: {row['key']}"
            if row["key"].startswith(("op/", "servers/")):
                return 403, row["key"]
        return 0, ""

    def _transact(self, message: dict[str, list]) -> Reply:
        status, detail = self._find_fault(message)
        if status:
            self.refused_writes.append(detail)
            self.on_refused(detail)
            return self._send(status, {"error": detail})
        for row in message["expected"]:
            known = self.items.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
                found = [
                    self._make_item(r["key"])
                    for r in message["expected"]
                    if r["key"] in self.items
                ]
                return self._send(412, {"items": found})
        for row in message["puts"]:
            if row.get("lease") and row["lease"] not in self._leases:
                return self._send(404, {})
        self.revision += 1
        for row in message["puts"]:
            value = base64.b64decode(row["value"])
            self._set(row["key"], value, row.get("lease", 0))
        for key in message["remove"]:
            self._remove(key)
        self._notify()
        return self._send(200, {"revision": self.revision})

    def _serve_lease(self, request: Request) -> Reply:
        now = time.monotonic()
        path, _, number = request.path.rpartition("/")
        if request.path == "/kv-lease":
            ttl_ms = json.loads(request.body)["ttlMs"]
            self._next_lease += 1
            lease = self._next_lease
            self._leases[lease] = (ttl_ms / 1000, now + ttl_ms / 1000)
            return self._send(200, {"lease": lease, "ttlMs": ttl_ms})
        lease = int(number) if number.isdecimal() else 0
        if path == "/kv-keep":
            if lease not in self._leases:
                return self._send(404, {})
            ttl_s = self._leases[lease][0]
            self._leases[lease] = (ttl_s, now + ttl_s)
            return self._send(200, {"ttlMs": int(ttl_s * 1000)})
        if path == "/kv-lease-end":
            self._end_lease(lease)
            return self._send(200, {})
        return self._send(400, {})


@dataclass
class Run:
    """One run of a request at a sampler; times are monotonic."""

    name: str
    began_at: float
    ended_at: float = 0.0
    is_complete: bool = False


# Returns the texts of the events of an item, by its id and body.
MakeEvents = Callable[[Request], list[str]]


class Sampler:
    """A model sampler: streams, reports and orders to load weights."""

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        models: list[str],
        make_events: MakeEvents,
        slots: int = 8,
        event_s: float = 0.02,
        record: Callable[[str], None] = lambda line: None,
    ) -> None:
        self.store, self.name, self.service = store, name, service
        self.versions = dict.fromkeys(models, 1)
        self.slots, self.event_s = slots, event_s
        self.make_events = make_events
        self.record = record
        self.running: dict[str, float] = {}
        self.runs: list[tuple[float, str]] = []
        self.history: list[Run] = []
        self.busy = False
        self.sequence = 0
        self.highest_fence = 0
        self.born = int(time.time() * 1000)
        self.software = "v1"
        self.kv_total = 109_325
        # Items that can never be done: they are answered 422.
        self.impossible: set[str] = set()
        self.server = Server(self.handle)
        self._beat = 0

    def find_runs(self, name: str) -> list[Run]:
        """Return the runs of a request here."""
        return [run for run in self.history if run.name == name]

    def register(self) -> None:
        """Write the entry in the store's list."""
        self._beat += 1
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.server.address,
                "zone": "zone-a",
                "version": self.software,
                "slots": self.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": self._beat,
                "born": self.born,
                "stage": "hybrid",
                "models": self._list_models(),
            },
        )

    def _list_models(self) -> list[dict[str, object]]:
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]

    async def handle(self, request: Request) -> Reply | None:
        """Serve one call."""
        if request.headers.get("expect-instance", self.name) != self.name:
            return Reply(421, [("Not-Executed", "1")])
        if request.path == "/report":
            return self._report()
        if request.path == "/order":
            return self._order(json.loads(request.body))
        return self._run(request)

    def _report(self) -> Reply:
        message = {
            "stage": "hybrid",
            "models": self._list_models(),
            "busy": self.busy,
            "sequence": self.sequence,
            "waiting": 0,
            "running": len(self.running),
            "kvUsed": 0,
            "kvTotal": self.kv_total,
            "handles": 0,
            "born": self.born,
        }
        body = json.dumps(message).encode()
        return Reply(200, [("Content-Type", "application/json")], body)

    def _order(self, order: dict) -> Reply:
        self.record(f"order at {self.name}: {json.dumps(order)}")
        if order["fence"] < self.highest_fence:
            return Reply(412)
        self.highest_fence = order["fence"]
        if self.versions.get(order["model"]) == order["version"]:
            return Reply(200)
        expected = order.get("expected", self.sequence)
        if self.busy or expected != self.sequence:
            return Reply(409)
        self.sequence += 1
        self.busy = True
        asyncio.ensure_future(self._load(order["model"], order["version"]))
        return Reply(202)

    async def _load(self, model: str, version: int) -> None:
        await asyncio.sleep(0.9)
        self.versions[model] = version
        self.busy = False
        self.register()

    def _run(self, request: Request) -> Reply:
        request_id = request.headers.get("request-id", "")
        head = [("Request-Id", request_id)]
        if len(self.running) >= self.slots:
            return Reply(503, [*head, ("Not-Executed", "1")])
        if not request_id:
            return Reply(400, [("Not-Executed", "1")])
        now = time.monotonic()
        self.runs.append((now, request_id))
        self.record(f"run of {request_id} at {self.name}")
        if request_id in self.impossible:
            self.record(f"{request_id} is answered 422 by {self.name}")
            head.append(("Response-Stamp", f"stamp-{request_id}"))
            return Reply(422, head)
        model = request.headers.get("model", "")
        version = self.versions.get(model, 1)
        events = self.make_events(request)
        after = int(request.headers.get("last-event-id", "0"))
        self.running[request_id] = now
        run = Run(request_id, now)
        self.history.append(run)

        async def stream(writer: asyncio.StreamWriter) -> bool:
            try:
                for number in range(after + 1, len(events) + 1):
                    await asyncio.sleep(self.event_s)
                    text = events[number - 1]
                    data = f"id: {number}\ndata: {text}\n\n".encode()
                    write_chunk(writer, data)
                    await writer.drain()
                run.is_complete = True
                return True
            finally:
                run.ended_at = time.monotonic()
                self.running.pop(request_id, None)

        head += [
            ("Response-Stamp", f"stamp-{request_id}"),
            ("Weight-Versions", str(version)),
            ("Content-Type", "text/event-stream"),
        ]
        return Reply(200, head, stream=stream)


class PlainServer:
    """An instance of a plain service; `respond` makes each answer."""

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        work_s: float = 0.02,
        body: bytes = b"x" * 800,
        slots: int = 6,
        record: Callable[[str], None] = lambda line: None,
    ) -> None:
        self.store, self.name, self.service = store, name, service
        self.work_s, self.body, self.slots = work_s, body, slots
        self.record = record
        self.runs: list[tuple[float, str]] = []
        self.born = int(time.time() * 1000)
        self.running = 0
        self.server = Server(self.handle)

    def register(self) -> None:
        """Write the entry in the store's list."""
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.server.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": 1,
                "born": self.born,
            },
        )

    async def handle(self, request: Request) -> Reply | None:
        """Run one request."""
        if request.headers.get("expect-instance", self.name) != self.name:
            return Reply(421, [("Not-Executed", "1")])
        request_id = request.headers.get("request-id", "")
        head = [("Request-Id", request_id)]
        if request.path == "/healthz":
            return Reply(200, [("Instance-Id", self.name)])
        self.runs.append((time.monotonic(), request_id))
        self.record(f"run of {request_id} at {self.name}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        head.append(("Response-Stamp", f"stamp-{request_id}"))
        return Reply(200, head, self.body)


def choose_network() -> str:
    """Return the first three octets of loopback addresses that are free."""
    rng = random.Random(os.getpid())
    while True:
        network = f"127.{rng.randrange(100, 220)}.{rng.randrange(1, 255)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{network}.2", FRONT_PORT))
                return network
            except OSError:
                continue


def _end_with_parent(parent: int) -> None:
    """Have the kernel kill this process when its parent ends."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        os._exit(1)


class Gateway:
    """A gateway as a process, by the commands of the deploy file."""

    def __init__(
        self,
        name: str,
        ip: str,
        store_address: str,
        folder: Path,
        cores: float = 1.0,
        bounds: dict[str, object] | None = None,
        memory_mb: int = 300,
    ) -> None:
        self.name, self.ip, self.folder = name, ip, folder
        self.memory_mb = memory_mb
        self.address = f"{ip}:{FRONT_PORT}"
        self.ready = f"{ip}:{READY_PORT}"
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = folder / f"{name}.log"
        self.peak_mb = 0.0
        self._settings = {
            "node": name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front"],
            "ip": ip,
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listen": {"front": self.address, "ready": self.ready},
            "internalPorts": INTERNAL_PORTS,
            "seeds": [],
            "bootstrap": True,
            "countLoss": False,
            "limits": {
                "cpuShare": 0.817,
                "cores": cores,
                "memoryMb": memory_mb,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seedLagS": 3,
                "reuseAfterS": 2,
                "stableMs": 3000,
                "ackMs": 4000,
                "catchUpS": 4.8,
                "drainMs": 2000,
                "graceS": 8,
                "lossSlackMs": 200,
                "configApplyMs": 2000,
                "downgradeSlackMs": 250,
                "skewMaxMs": 5000,
                "recoveryS": 12,
                "passMs": 120,
                "retryAfterS": 0,
                "finishS": 10,
                "statusS": 120,
                "cancelMs": 3000,
                "settleMs": 1000,
                "quotaOverage": 0.1,
                "requireFence": True,
                "leaseMs": 3000,
                "thawSlackMs": 300,
                **(bounds or {}),
            },
            "platform": {
                "address": store_address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1_048_576,
                "ttlMinMs": 1000,
            },
        }

    def start(self, first: bool = True) -> None:
        """Start the process."""
        self._settings["bootstrap"] = first
        settings = self.folder / f"{self.name}.json"
        settings.write_text(json.dumps(self._settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PISTACHIOSPAR_NODE_FILE"] = str(settings)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "deploy/launch.py", "gateway"]
                + ["--listen", self.address],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=partial(_end_with_parent, os.getpid()),
            )

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def read_memory_mb(self) -> float:
        """Return the resident memory of the process, 0 when it has ended."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                found = int(line.split()[1]) / 1024
                self.peak_mb = max(self.peak_mb, found)
                return found
        return 0.0

    def read_log(self) -> str:
        """Return the log so far."""
        return self.log_path.read_text(errors="replace")


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, line: str) -> None:
        since_s = time.monotonic() - self._began
        self._file.write(f"{since_s:8.3f} {line}\n")
        self._file.flush()


async def submit(
    gateway: Gateway, lot: str, body: bytes, timeout_s: float = 12.0
) -> int:
    """Send a batch submission; return the status, 0 without a response."""
    reply = await call(
        gateway.address,
        "POST",
        f"/rollout/{lot[:16]}",
        {
            "Host": "train.example",
            "Request-Id": lot,
            "Content-Type": "application/json",
        },
        body,
        timeout_s,
    )
    return reply.status if reply else 0


async def read_results(
    gateway: Gateway, lot: str, after: int = 0, wait_ms: int = 500
) -> tuple[int, dict]:
    """Return the status and body of a read of results."""
    reply = await call(
        gateway.address,
        "GET",
        f"/lots/{lot}?after={after}",
        {"Host": "train.example", "Wait-Ms": str(wait_ms)},
        timeout_s=6.0,
    )
    if reply is None:
        return 0, {}
    return reply.status, json.loads(reply.body) if reply.status == 200 else {}


async def end_lot(gateway: Gateway, lot: str) -> int:
    """End a batch submission; return the status, 0 without a response."""
    reply = await call(
        gateway.address,
        "DELETE",
        f"/lots/{lot}",
        {"Host": "train.example"},
    )
    return reply.status if reply else 0


async def send_safe(
    gateway: Gateway, request_id: str, path: str = "/book/x"
) -> Reply | None:
    """Send a request on a safe route."""
    return await call(
        gateway.address,
        "POST",
        path,
        {
            "Host": "app.example",
            "Request-Id": request_id,
            "Deadline-Ms": "2000",
        },
        b"booking",
        3.0,
    )


async def wait_until_ready(
    gateways: list[Gateway], timeout_s: float = 15.0
) -> bool:
    """Return whether all gateways get ready in time."""
    until = time.monotonic() + timeout_s
    for gateway in gateways:
        while True:
            reply = await call(gateway.ready, "GET", "/readyz", timeout_s=1)
            if reply is not None and reply.status == 200:
                break
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.1)
    return True


class Deployment:
    """A small deployment: the store, samplers, plain servers, gateways."""

    def __init__(self, record: "Record", work: Path) -> None:
        self.record, self.work = record, work
        self.store = Store()
        self.samplers: list[Sampler] = []
        self.plain: list[PlainServer] = []
        self.gateways: list[Gateway] = []
        self._leases: asyncio.Future[None] | None = None

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.server.start()
        self._leases = asyncio.ensure_future(self.store.run())

    async def add_samplers(
        self,
        service: str,
        count: int,
        make_events: MakeEvents,
        slots: int = 8,
        event_s: float = 0.05,
        models: list[str] | None = None,
    ) -> None:
        """Start and register samplers of a service."""
        for number in range(count):
            sampler = Sampler(
                self.store,
                f"{service}-{number}",
                service,
                models or ["m0"],
                make_events,
                slots,
                event_s,
                self.record,
            )
            await sampler.server.start()
            sampler.register()
            self.samplers.append(sampler)

    async def add_plain(self, service: str, count: int) -> None:
        """Start and register the instances of a plain service."""
        for number in range(count):
            server = PlainServer(
                self.store, f"{service}-{number}", service, record=self.record
            )
            await server.server.start()
            server.register()
            self.plain.append(server)

    async def start_gateways(
        self, count: int, store_addresses: list[str] | None = None
    ) -> bool:
        """Start gateways; return whether they get ready."""
        network = choose_network()
        for number in range(count):
            address = self.store.server.address
            if store_addresses:
                address = store_addresses[number]
            self.gateways.append(
                Gateway(
                    f"front-{number}",
                    f"{network}.{number + 2}",
                    address,
                    self.work,
                )
            )
        for gateway in self.gateways:
            gateway.start()
        return await wait_until_ready(self.gateways)

    def end(self) -> None:
        """End all processes."""
        for gateway in self.gateways:
            gateway.end()
        if self._leases is not None:
            self._leases.cancel()


async def wait_for_holder(
    store: Store, pool: str, timeout_s: float = 10.0
) -> str:
    """Return the name of a pool's holder, empty when there is none."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        entry = store.items.get(f"ps/g/holder/{pool}")
        if entry is not None:
            return str(json.loads(entry.value)["gateway"])
        await asyncio.sleep(0.05)
    return ""


def make_manifest(
    version: int, routes: list[dict], services: list[dict]
) -> dict[str, object]:
    """Return a manifest as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 33_554_432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
    }


def make_rollout_route(
    service: str = "lm-pool", prefix: str = "/rollout/"
) -> dict:
    """Return a rollout route with the values of the users' sheets."""
    return {
        "name": "rollout",
        "host": "train.example",
        "prefix": prefix,
        "kind": "rollout",
        "service": service,
        "timeoutMs": 10_000,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 3,
        "resultDueMs": 7500,
        "maxAgeS": 40,
        "sticky": True,
        "singleVersion": False,
    }


def make_safe_route(service: str = "app", name: str = "book") -> dict:
    """Return a safe route with the values of the users' sheets."""
    return {
        "name": name,
        "host": "app.example",
        "prefix": f"/{name}/",
        "kind": "safe",
        "service": service,
        "timeoutMs": 2000,
        "targetLatencyMs": 192,
        "priority": 2,
        "maxAttempts": 2,
    }


def make_engine_service(name: str, models: list[str]) -> dict:
    """Return a service of samplers as the operator writes it."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 150,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 8,
            "kvCacheTokens": 109_325,
            "kvTokenBytes": 18_432,
            "models": [{"name": model} for model in models],
        },
    }


def make_plain_service(name: str = "app") -> dict:
    """Return a plain service as the operator writes it."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 110,
        "protocol": "h1",
        "tls": False,
    }


def make_lot(
    items: list[dict], step: int = 0, model: str = "m0", version: int = 1
) -> bytes:
    """Return the body of a batch submission."""
    return json.dumps(
        {
            "step": step,
            "model": model,
            "minVersion": version,
            "targetGroups": 1,
            "items": items,
        }
    ).encode()


def make_item(
    item: str, body: bytes = b"prompt", group: str = "g", tokens: int = 256
) -> dict:
    """Return an item of a batch submission."""
    return {
        "id": item,
        "path": f"/rollout/{item}",
        "headers": {
            "Model": "m0",
            "Token-Counts": f"16,{tokens}",
            "Prefix-Hash": "9c2e41:16",
        },
        "body": base64.b64encode(body).decode(),
        "tokens": 16 + tokens,
        "group": group,
    }


def run_case(
    main: Callable[[Record, Path, bool], Awaitable[int]], folder: Path
) -> int:
    """Run a case with its record; 2 when it couldn't run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {int(trouble)}")

    async def run(work: Path) -> int:
        # Connections that are cut at the end are no matter.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        async with asyncio.timeout(MAX_RUN_S):
            return await main(record, work, trouble)

    with tempfile.TemporaryDirectory() as work:
        try:
            status = asyncio.run(run(Path(work)))
        except Exception as error:  # noqa: BLE001
            record(f"the case couldn't run: {error!r}")
            print(f"couldn't run: {error!r}", file=sys.stderr)
            return 2
    record(f"exit status {status}")
    return status
