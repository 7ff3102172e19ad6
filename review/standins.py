"""Stand-ins of the users' platform for the cases of the review.

Everything is made of the standard library: the platform's store, samplers of
language models, plain samplers, consumers, and gateways as processes that run
with the command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
from base64 import b64decode
from base64 import b64encode
import hashlib
import json
import os
from pathlib import Path
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "lampu.example"
START = time.monotonic()


def now() -> float:
    """Return the seconds since this script began."""
    return time.monotonic() - START


def is_trouble() -> bool:
    """Return whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; the exit status is 2."""


class Record:
    """Lines about what was sent, answered and run, kept in record.txt."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")

    def add(self, *words: object) -> None:
        """Add one line with the time."""
        text = " ".join(str(word) for word in words)
        self._file.write(f"{now():8.3f} {text}\n")
        self._file.flush()


# ---------------------------------------------------------------- HTTP


class Request:
    """A request that a stand-in received."""

    def __init__(self, method, target, headers, body) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.path, _, query = target.partition("?")
        self.query = {k: v[0] for k, v in parse_qs(query).items()}


async def read_head(reader):
    """Return the first line and the headers; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yield the chunks of a body; raises IncompleteReadError when cut."""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(reader, headers) -> bytes:
    """Return a complete body."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(status: int, headers: dict, body: bytes | None = b"") -> bytes:
    """Return a response, or only its head when `body` is None."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


def encode_json(status: int, value: object) -> bytes:
    """Return a response with a JSON body."""
    body = json.dumps(value).encode()
    return encode(status, {"Content-Type": "application/json"}, body)


class Server:
    """An HTTP server; `answer` writes the response to a request.

    It returns False to close the connection.
    """

    def __init__(self, answer) -> None:
        self._answer = answer
        self._server = None
        self.writers = set()

    async def listen(self, host: str, port: int = 0) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 22, backlog=1024
        )
        return "%s:%d" % self._server.sockets[0].getsockname()[:2]

    async def close(self) -> None:
        """Listen no more and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                if await self._answer(request, reader, writer) is False:
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Answer:
    """A complete answer, as a consumer saw it."""

    def __init__(self, status, headers, body) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


async def fetch(
    address, method, target, headers=None, body=b"", timeout=10.0
) -> Answer | None:
    """Send a request on a new connection; None without a whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            given = {"Host": HOST_NAME, **(headers or {})}
            given["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in given.items()]
            head = ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8")
            writer.write(head + body)
            await writer.drain()
            found = await read_head(reader)
            if found is None:
                return None
            first, response = found
            content = await read_body(reader, response)
            return Answer(int(first.split(" ")[1]), response, content)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


# ---------------------------------------------------------------- store


class Store:
    """The platform's store: linearizable, with leases and watches.

    `mode` is how it answers: "up", "busy" (503, nothing done), "reset"
    (connections are reset, nothing done). `lose` says of a call whether its
    answer is lost although it was carried out.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 7000
        self.mode = "up"
        self.lose = lambda request: False
        self.answer_s = 0.004
        self._changed = asyncio.Event()
        self._server = Server(self._answer)
        self.lost = 0

    async def listen(self, host: str) -> str:
        """Serve; return the address."""
        asyncio.ensure_future(self._expire())
        return await self._server.listen(host)

    def set_mode(self, mode: str) -> None:
        """Change how the store answers."""
        self.record.add("store is", mode)
        self.mode = mode
        if mode != "up":
            self._server.reset()

    def put(self, key: str, value: object) -> int:
        """Write as the platform or operator does; return the revision."""
        self._apply([(key, json.dumps(value).encode(), 0)], [])
        self.record.add("written", key, "revision", self.revision)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key as the platform does."""
        self._apply([], [key])

    def list(self, prefix: str) -> dict:
        """Return the values below a prefix by key."""
        return {
            key: item["value"]
            for key, item in sorted(self.items.items())
            if key.startswith(prefix)
        }

    def _apply(self, puts, removals) -> None:
        self.revision += 1
        for key, value, lease in puts:
            known = self.items.get(key)
            self.items[key] = {
                "value": value,
                "revision": self.revision,
                "created": known["created"] if known else self.revision,
                "lease": lease,
            }
            self.events.append((self.revision, key, value, lease))
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key, None, 0))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            at = time.monotonic()
            for lease, (_, end) in list(self.leases.items()):
                if end <= at:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [k for k, i in self.items.items() if i["lease"] == lease]
        if keys:
            self._apply([], keys)

    async def _answer(self, request, reader, writer):
        if self.mode == "busy":
            writer.write(encode_json(503, {}))
            return True
        if self.mode == "reset":
            writer.transport.abort()
            return False
        await asyncio.sleep(self.answer_s)
        status, value = await self._execute(request)
        if self.lose(request):
            # Such a connection returns nothing further.
            self.lost += 1
            self.record.add("answer of the store lost:", request.path)
            await asyncio.sleep(30.0)
            return False
        if self.mode == "reset":
            writer.transport.abort()
            return False
        writer.write(encode_json(status, value))
        return True

    async def _execute(self, request):
        path, query = request.path, request.query
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            found = self._show(query["key"], item)
            return 200, {**found, "storeRevision": self.revision}
        if path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > after
            )
            page = [self._show(key, self.items[key]) for key in keys[:500]]
            return 200, {
                "items": page,
                "truncated": len(keys) > 500,
                "storeRevision": self.revision,
            }
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(json.loads(request.body))
        return self._serve_lease(request)

    async def _watch(self, query):
        after, end = int(query["after"]), time.monotonic()
        end += int(query["waitMs"]) / 1000
        while True:
            changed = self._changed
            events = [
                self._show_event(*event)
                for event in self.events
                if event[0] > after and event[1].startswith(query["prefix"])
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass

    def _transact(self, call):
        for row in call.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [row["key"] for row in call["expected"]]
                found = [
                    self._show(key, self.items[key])
                    for key in keys
                    if key in self.items
                ]
                return 412, {"items": found}
        puts = [
            (put["key"], b64decode(put["value"]), put.get("lease", 0))
            for put in call.get("puts", [])
        ]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        self._apply(puts, call.get("remove", []))
        return 200, {"revision": self.revision}

    def _serve_lease(self, request):
        at = time.monotonic()
        if request.path == "/kv-lease":
            ttl_ms = json.loads(request.body)["ttlMs"]
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl_ms, at + ttl_ms / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl_ms}
        lease = int(request.path.rpartition("/")[2])
        known = self.leases.get(lease)
        if known is None:
            return 404, {}
        if request.path.startswith("/kv-keep/"):
            self.leases[lease] = (known[0], at + known[0] / 1000)
            return 200, {"lease": lease, "ttlMs": known[0]}
        self._end_lease(lease)
        return 200, {}

    @staticmethod
    def _show(key, item):
        return {**item, "key": key, "value": b64encode(item["value"]).decode()}

    @staticmethod
    def _show_event(revision, key, value, lease):
        if value is None:
            return {"key": key, "revision": revision, "tombstone": True}
        encoded = b64encode(value).decode()
        return {
            "key": key,
            "revision": revision,
            "value": encoded,
            "lease": lease,
        }


# ---------------------------------------------------------------- samplers


def make_stamp(request_id: str, instance: str) -> str:
    """Return the signature of an answer."""
    return hashlib.sha256(f"{request_id} {instance}".encode()).hexdigest()[:20]


class Sampler:
    """A sampler of language models, or a plain one.

    `lengths` has the events of each item by id. `runs` has a row for each
    request that it began to work on: time, id, first event, path. `spans`
    has begin, end (None while it runs), id and whether it was finished.
    """

    def __init__(
        self, store, record, name, service, models=(), slots=8, zone="riga-a"
    ) -> None:
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.zone = zone
        self.versions = {model: 1 for model in models}
        self.sequence = 0
        self.busy = False
        self.running = 0
        self.waiting = 0
        self.runs = []
        self.spans = []
        self.orders = []
        self.event_s = 0.035
        self.work_s = 0.02
        self.lengths = {}
        self.padding = ""
        self.born = int(time.time() * 1000)
        self._free = asyncio.Semaphore(slots)
        self._server = Server(self._answer)
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen and register."""
        self.address = await self._server.listen(host)
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write this sampler's entry."""
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "coldLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born,
                "stage": "hybrid",
                "models": self._list_models(),
            },
        )

    def _list_models(self):
        return [
            {"name": model, "version": version, "adapters": []}
            for model, version in self.versions.items()
        ]

    async def _answer(self, request, reader, writer):
        expected = request.headers.get("expect-instance", self.name)
        request_id = request.headers.get("request-id", "")
        common = {"Request-Id": request_id} if request_id else {}
        if expected != self.name:
            writer.write(encode(421, {**common, "Not-Executed": "1"}))
            return True
        if request.path == "/report":
            writer.write(encode_json(200, self._report()))
            return True
        if request.path == "/order":
            writer.write(encode(self._order(json.loads(request.body)), {}))
            return True
        if self.waiting >= 24:
            writer.write(encode(503, {**common, "Not-Executed": "1"}))
            return True
        self.waiting += 1
        gone = asyncio.ensure_future(_wait_closed(reader))
        try:
            taken = asyncio.ensure_future(self._free.acquire())
            await asyncio.wait(
                {gone, taken}, return_when=asyncio.FIRST_COMPLETED
            )
            if gone.done():
                if taken.done():
                    self._free.release()
                taken.cancel()
                return False
        finally:
            self.waiting -= 1
        self.running += 1
        span = [now(), None, request_id, False]
        self.spans.append(span)
        work = asyncio.ensure_future(
            self._run(request, request_id, common, writer)
        )
        try:
            await asyncio.wait(
                {gone, work}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                self.record.add("sampler", self.name, "dropped", request_id)
                work.cancel()
                return False
            work.result()
            span[3] = True
            if gone.done():
                return False
            gone.cancel()
            try:
                await gone
            except asyncio.CancelledError:
                pass
            return True
        finally:
            self.running -= 1
            span[1] = now()
            self._free.release()

    async def _run(self, request, request_id, common, writer) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.runs.append((now(), request_id, first, request.path))
        self.record.add(
            "sampler", self.name, "runs", request_id, "from event", first
        )
        headers = {
            **common,
            "Response-Stamp": make_stamp(request_id, self.name),
            "Instance-Load": f"{self.running},{self.waiting},{self.slots}",
        }
        if not self.versions:
            await asyncio.sleep(self.work_s)
            body = b"done " + request_id.encode()
            writer.write(encode(200, headers, body))
            return
        model = request.headers.get("model", "")
        headers["Weight-Versions"] = str(self.versions.get(model, 1))
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        writer.write(encode(200, headers, None))
        for number in range(first, self.lengths.get(request_id, 12) + 1):
            await asyncio.sleep(self.event_s)
            event = make_event(request_id, number) + self.padding
            block = f"id: {number}\ndata: {event}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(block), block))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def _report(self):
        return {
            "stage": "hybrid",
            "models": self._list_models(),
            "busy": self.busy,
            "sequence": self.sequence,
            "waiting": self.waiting,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 109325,
            "handles": 0,
            "born": self.born,
        }

    def _order(self, order) -> int:
        self.orders.append((now(), order))
        self.record.add("sampler", self.name, "order", json.dumps(order))
        if self.versions.get(order["model"]) == order["version"]:
            return 200
        if self.busy or order.get("expected", self.sequence) != self.sequence:
            return 409
        self.busy = True
        self.sequence += 1
        asyncio.ensure_future(self._load(order["model"], order["version"]))
        return 202

    async def _load(self, model: str, version: int) -> None:
        await asyncio.sleep(0.9)
        self.versions[model] = version
        self.busy = False
        self.register()


async def _wait_closed(reader) -> None:
    """Wait until the caller closed its connection."""
    try:
        await reader.read(1)
    except ConnectionError:
        pass


def make_event(item: str, number: int) -> str:
    """Return the data of an event of an item."""
    return f"{item}.{number}"


def make_text(item: str, events: int) -> str:
    """Return an item's whole text."""
    return "\n".join(make_event(item, n) for n in range(1, events + 1))


# ---------------------------------------------------------------- gateways


class Gateway:
    """A gateway as a process, run with the command of the deploy file."""

    def __init__(self, folder, record, name, ip, store, limits) -> None:
        self.name = name
        self.front = f"{ip}:8149"
        self.ready = f"{ip}:8141"
        self._folder = folder
        self._record = record
        self._process = None
        self._settings = folder / f"{name}.json"
        self._values = make_settings(name, ip, store)
        self._values["limits"] |= limits

    def start(self) -> None:
        """Start the process."""
        # Only the first start is that of the whole system.
        self._values["bootstrap"] = self._process is None
        self._settings.write_text(json.dumps(self._values))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"]
        command = command.replace("{{listen.front}}", self.front)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PISTACHIOSPAR_NODE_FILE"] = str(self._settings)
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                shlex.split(command),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.add("gateway", self.name, "starts")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record.add("gateway", self.name, "gets", number.name)
        self._process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def read_memory_mb(self) -> float:
        """Return the memory that the process uses, in MB of 2**20 bytes."""
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    @property
    def status(self):
        """Return the exit status, None while the process runs."""
        return self._process.poll()

    async def wait_ended(self, timeout: float = 12.0) -> None:
        """Wait until the process ended."""
        end = time.monotonic() + timeout
        while self.is_running():
            if time.monotonic() > end:
                raise CannotRun(f"{self.name} does not end")
            await asyncio.sleep(0.02)
        self._record.add("gateway", self.name, "ended with", self.status)

    async def wait_ready(self, timeout: float = 15.0) -> None:
        """Wait until the gateway counts as ready."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if not self.is_running():
                raise CannotRun(f"{self.name} ended: {self.read_log()[-800:]}")
            answer = await fetch(self.ready, "GET", "/readyz", timeout=1.0)
            if answer is not None and answer.status == 200:
                self._record.add("gateway", self.name, "is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready: {self.read_log()[-800:]}")

    def read_log(self) -> str:
        """Return what the process wrote."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def end(self) -> None:
        """End the process if it runs."""
        if self.is_running():
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()


def make_settings(name: str, ip: str, store: str) -> dict:
    """Return the settings of a gateway of a small deployment."""
    return {
        "node": name,
        "role": "gateway",
        "machineClass": "front",
        "serves": ["front"],
        "ip": ip,
        "zone": "riga-a",
        "region": "lv-riga",
        "zones": {"riga-a": "lv-riga"},
        "listen": {"front": f"{ip}:8149", "ready": f"{ip}:8141"},
        "internalPorts": [7380, 7395],
        "seeds": [],
        "bootstrap": True,
        "countLoss": False,
        "limits": {
            "cpuShare": 0.817,
            "cores": 1,
            "memoryMb": 300,
            "maxFds": 4100,
            "linkMbps": 1000.0,
            "diskMb": 0,
        },
        "dataDir": None,
        "discovery": "platform",
        "entry": "vip",
        "heartbeatMs": 1200,
        "contracts": ["base", "drain", "config", "batch", "platform"],
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
        },
        "platform": {
            "address": store,
            "form": "kv",
            "writesPerS": 400,
            "readsPerS": 2000,
            "historyS": 20,
            "valueBytes": 1048576,
            "ttlMinMs": 1000,
        },
    }


def make_route(name, prefix, service, kind="safe", **fields) -> dict:
    """Return a route of a manifest."""
    route = {
        "name": name,
        "host": HOST_NAME,
        "prefix": prefix,
        "service": service,
        "kind": kind,
        "timeoutMs": 10_000,
        "targetLatencyMs": 400,
        "priority": 2,
        "maxAttempts": 3,
    }
    if kind == "rollout":
        route |= {"resultDueMs": 7500, "maxAgeS": 40, "sticky": True}
    return route | fields


def make_manifest(version: int, routes: list, services: dict) -> dict:
    """Return a manifest; `services` has the models by service."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 150,
                **(
                    {"engine": {"models": [{"name": m} for m in models]}}
                    if models
                    else {}
                ),
            }
            for name, models in services.items()
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 33554432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Deployment:
    """Store, samplers and gateways of one case, in a temporary folder."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case)
        seed = os.environ.get("SEED") or random.randrange(10**6)
        self.rng = random.Random(int(seed))
        self.record.add("seed", seed)
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.block = find_block()
        self.store = Store(self.record)
        self.store_address = ""
        self.samplers = []
        self.gateways = []

    async def start_store(self) -> None:
        """Serve the store."""
        self.store_address = await self.store.listen(f"{self.block}.2")

    async def add_sampler(self, name, service, models=(), **fields) -> Sampler:
        """Start a sampler."""
        sampler = Sampler(
            self.store, self.record, name, service, models, **fields
        )
        await sampler.start(f"{self.block}.3")
        self.samplers.append(sampler)
        return sampler

    async def start_gateways(self, count: int, **limits: float) -> None:
        """Start gateways and wait until all are ready.

        `limits` replace those of a machine in the settings.
        """
        for number in range(count):
            gateway = Gateway(
                self.folder,
                self.record,
                f"front-{number}",
                f"{self.block}.{10 + number}",
                self.store_address,
                limits,
            )
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    def find_holder(self, pool: str) -> Gateway | None:
        """Return the gateway that holds a pool, from the logs' view."""
        value = self.store.list("ps/g/holder/").get(f"ps/g/holder/{pool}")
        if value is None:
            return None
        name = json.loads(value)["gateway"]
        return next(g for g in self.gateways if g.name == name)

    async def wait_holder(self, pool: str, timeout: float = 10.0) -> Gateway:
        """Wait until a gateway holds a pool."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            holder = self.find_holder(pool)
            if holder is not None:
                self.record.add("holder of", pool, "is", holder.name)
                return holder
            await asyncio.sleep(0.02)
        raise CannotRun(f"nobody holds {pool}")

    def end(self) -> None:
        """End all processes; KEEP_LOGS names a folder for their logs."""
        for gateway in self.gateways:
            gateway.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
            for gateway in self.gateways:
                name = Path(keep) / f"{gateway.name}.log"
                name.write_text(gateway.read_log())
        self._folder.cleanup()


def find_block() -> str:
    """Return the first three numbers of unused loopback addresses."""
    rng = random.Random()
    for _ in range(50):
        block = f"127.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}"
        try:
            for number in range(10, 16):
                for port in (8149, 8141, 7380):
                    with socket.socket() as probe:
                        probe.bind((f"{block}.{number}", port))
        except OSError:
            continue
        return block
    raise CannotRun("no free loopback addresses")


# ---------------------------------------------------------------- trainers


class Lot:
    """A batch submission and all that its sender saw of it.

    `pages` has the reads that got results: time, gateway, position, ids.
    """

    def __init__(
        self, name, prefix, model, groups, size, lengths, min_version=1
    ) -> None:
        self.name = name
        self.prefix = prefix
        self.model = model
        self.lengths = lengths
        self.statuses = []
        self.seen = {}
        self.pages = []
        self.body = json.dumps(
            {
                "step": 0,
                "model": model,
                "minVersion": min_version,
                "targetGroups": groups,
                "items": [
                    {
                        "id": item,
                        "path": f"{prefix}run/{number}",
                        "headers": {
                            "Model": model,
                            "Token-Counts": f"1016,{lengths[item]}",
                            "Prefix-Hash": f"{number // size:x}a:1000",
                            "Length-Hint": str(lengths[item]),
                        },
                        "body": b64encode(item.encode()).decode(),
                        "tokens": 1016 + lengths[item],
                        "group": f"{name}-g{number // size}",
                    }
                    for number, item in enumerate(lengths)
                ],
            }
        ).encode()


def make_lot(
    deployment, name, prefix, model, groups, size, events, min_version=1
) -> Lot:
    """Return a submission whose items have `events` (least, most) events."""
    lengths = {
        f"{name}-{number:03d}": deployment.rng.randint(*events)
        for number in range(groups * size)
    }
    for sampler in deployment.samplers:
        sampler.lengths.update(lengths)
    return Lot(name, prefix, model, groups, size, lengths, min_version)


async def submit(
    deployment, lot, gateway, deadline_ms=12_000, timeout=13.0
) -> Answer | None:
    """Send a submission once."""
    answer = await fetch(
        gateway.front,
        "POST",
        lot.prefix + lot.name,
        {
            "Request-Id": lot.name,
            "Deadline-Ms": str(deadline_ms),
            "Content-Type": "application/json",
        },
        lot.body,
        timeout,
    )
    status = answer.status if answer else None
    lot.statuses.append(status)
    deployment.record.add("submission", lot.name, gateway.name, status)
    return answer


async def read_results(
    deployment, lot, gateway, after, wait_ms=0, timeout=3.0
) -> dict | None:
    """Read results once; None without a 200."""
    answer = await fetch(
        gateway.front,
        "GET",
        f"/lots/{lot.name}?after={after}",
        {"Wait-Ms": str(wait_ms)} if wait_ms else {},
        timeout=timeout,
    )
    if answer is None or answer.status != 200:
        deployment.record.add(
            "read",
            lot.name,
            "at",
            gateway.name,
            "after",
            after,
            "->",
            answer.status if answer else None,
        )
        return None
    page = answer.json()
    ids = [result["id"] for result in page["results"]]
    if ids:
        deployment.record.add(
            "read",
            lot.name,
            "at",
            gateway.name,
            "after",
            after,
            "of",
            page["total"],
            "->",
            *ids,
        )
        lot.pages.append((now(), gateway.name, after, ids))
    return page


async def read_all(deployment, lot, gateway) -> list | None:
    """Read a submission from its start; None if that fails."""
    results = []
    while True:
        page = await read_results(deployment, lot, gateway, len(results))
        if page is None:
            return None
        if not page["results"]:
            return results
        results += page["results"]


async def end_lot(deployment, lot, gateway) -> Answer | None:
    """End a submission."""
    answer = await fetch(gateway.front, "DELETE", f"/lots/{lot.name}")
    status = answer.status if answer else None
    deployment.record.add("end", lot.name, gateway.name, status)
    return answer


def find_starved(deployment, lot, samplers, until: float) -> list:
    """Return the items of a step that broke the LOST rule on steps.

    No sampler has finished them, they were at no sampler in the 5 s before
    `until`, others of the step had begun, the samplers were under half full
    all the while, and no item of any model began in the last 3 s.
    """
    since = until - 5.0
    spans = [span for s in samplers for span in s.spans]
    finished = {span[2] for span in spans if span[3]}
    begun = {span[2] for span in spans if span[0] < since}
    if not begun & set(lot.lengths):
        return []
    slots = sum(s.slots for s in samplers)
    for step in range(101):
        at = since + step * 0.05
        full = sum(s[0] <= at < (s[1] or 1e9) for s in spans)
        if full * 2 >= slots:
            deployment.record.add("samplers were half full at", round(at, 2))
            return []
    if any(until - 3.0 < span[0] < until for span in spans):
        deployment.record.add("an item began in the last 3 s")
        return []
    recent = {s[2] for s in spans if s[0] < until and (s[1] or 1e9) > since}
    return [i for i in lot.lengths if i not in finished | recent]


class Restarter:
    """The platform's part: it starts processes that ended by themselves."""

    def __init__(self, deployment) -> None:
        self._deployment = deployment
        self.ends = {g.name: 0 for g in deployment.gateways}
        self.paused = set()

    async def run(self) -> None:
        """Start each gateway again a second after it ended."""
        async with asyncio.TaskGroup() as group:
            for gateway in self._deployment.gateways:
                group.create_task(self._watch(gateway))

    async def _watch(self, gateway) -> None:
        while True:
            await asyncio.sleep(0.05)
            if gateway.is_running() or gateway.name in self.paused:
                continue
            self.ends[gateway.name] += 1
            self._deployment.record.add(
                "gateway", gateway.name, "ended by itself:", gateway.status
            )
            await asyncio.sleep(1.0)
            gateway.start()


def run_case(case_file: str, play) -> None:
    """Play a case; exit with 10 if the rule was broken, 0 if it held.

    Any other status says that the case couldn't run. `play` gets the
    deployment and returns the breaches that were seen.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def run() -> list:
        deployment = Deployment(Path(case_file).resolve().parent)
        try:
            async with asyncio.timeout(115.0):
                await deployment.start_store()
                breaches = await play(deployment)
            for breach in breaches:
                deployment.record.add("BREACH", breach)
            deployment.record.add(
                "rule broken" if breaches else "rule held",
                "trouble" if is_trouble() else "no trouble",
            )
            return breaches
        finally:
            deployment.end()

    try:
        breaches = asyncio.run(run())
    except (CannotRun, TimeoutError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    for breach in breaches[:8]:
        print(f"BREACH {breach}")
    print("rule broken" if breaches else "rule held")
    sys.exit(10 if breaches else 0)
