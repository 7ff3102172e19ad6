"""Stand-ins for the scripts of this review: store, samplers, consumers.

Standard library only. Everything listens at loopback addresses. The programs
of the project are started as separate processes, with the command of the
deploy file. The stand-ins do what the users' pages say of a sound store, a
sound sampler and a sound platform; a script makes trouble by its own means.
"""

import asyncio
from base64 import b64decode
from base64 import b64encode
import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, file):
        self.started = time.monotonic()
        self.file = open(file, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, kind, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():9.3f} {kind} {text}\n")
        self.file.flush()


# --- HTTP ------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        self.path, _, query = target.partition("?")
        self.query = {k: v[0] for k, v in parse_qs(query).items()}


async def read_head(reader):
    """Return the first line and the headers, None at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if not field.strip():
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


async def read_chunks(reader):
    """Yield the chunks of a body; raises when it is cut off."""
    while True:
        size = int((await reader.readuntil(b"\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readuntil(b"\n")
        if not size:
            return
        yield chunk


class Connection:
    """A connection that a server accepted; it may go silent for good."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.silent = False
        self.forever = asyncio.Event()

    async def hold(self):
        """Never return once the connection is silent."""
        if self.silent:
            await self.forever.wait()

    async def send(self, data):
        """Send bytes; on a silent connection they get lost on the way."""
        if self.silent:
            return
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, status, body=b"", headers=()):
        fields = "".join(f"{n}: {v}\r\n" for n, v in headers)
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        await self.send((head + fields + "\r\n").encode("latin-1") + body)


class Server:
    """An HTTP server; subclasses implement `handle`."""

    def __init__(self):
        self.connections = set()
        self.address = ""
        self.server = None

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(
            self.serve, host, port, backlog=512, limit=1 << 20
        )
        name = self.server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    def silence(self):
        """Let all open connections go silent; new ones work."""
        for connection in self.connections:
            connection.silent = True
        return len(self.connections)

    async def serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while True:
                request = await self.read_request(connection)
                if request is None:
                    break
                if await self.handle(request, connection) is False:
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The run ends.
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    async def read_request(self, connection):
        reader = connection.reader
        head = await read_head(reader)
        await connection.hold()
        if head is None:
            return None
        method, target, _ = head[0].split(" ")
        body = b""
        if "content-length" in head[1]:
            body = await reader.readexactly(int(head[1]["content-length"]))
        elif "chunked" in head[1].get("transfer-encoding", ""):
            async for chunk in read_chunks(reader):
                body += chunk
        await connection.hold()
        return Request(method, target, head[1], body)

    async def handle(self, request, connection):
        raise NotImplementedError


class Answer:
    def __init__(self, status, headers, body, complete=True):
        self.status, self.headers = status, headers
        self.body, self.complete = body, complete

    def json(self):
        return json.loads(self.body)


async def call(
    address, method, target, body=b"", headers=(), timeout=10.0, host=HOST
):
    """Make one call on a new connection; None without an answer."""
    try:
        async with asyncio.timeout(timeout):
            return await call_once(
                address, method, target, body, headers, host
            )
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None


async def call_once(address, method, target, body, headers, host):
    name, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(
        name, int(port), limit=1 << 20
    )
    try:
        fields = "".join(f"{n}: {v}\r\n" for n, v in headers)
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
            f"Content-Length: {len(body)}\r\n{fields}\r\n"
        )
        writer.write(head.encode("latin-1"))
        writer.write(body)
        await writer.drain()
        found = await read_head(reader)
        if found is None:
            return None
        status = int(found[0].split(" ")[1])
        content = b""
        if "content-length" in found[1]:
            content = await reader.readexactly(int(found[1]["content-length"]))
        elif "chunked" in found[1].get("transfer-encoding", ""):
            async for chunk in read_chunks(reader):
                content += chunk
        return Answer(status, found[1], content)
    finally:
        writer.close()


# --- The platform's store --------------------------------------------------


class Store(Server):
    """The platform's store, in memory; linearizable, never slow."""

    def __init__(self, history=4096):
        super().__init__()
        self.items = {}
        self.events = []
        self.history = history
        self.revision = 100
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        # Called for each transaction: may delay it or lose its answer.
        self.disturb = None
        # Watches that wait now: prefix and when they began, by connection.
        self.watching = {}

    # What the operator and the samplers do; the return is the ack.

    def put(self, key, value, lease=0):
        return self.apply([], [(key, value, lease)], [])

    def put_json(self, key, value):
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        return self.apply([], [], [key])

    def apply(self, expected, puts, removals):
        """Apply a transaction; None if a condition doesn't hold."""
        self.expire()
        for key, revision in expected:
            if (self.items[key][1] if key in self.items else 0) != revision:
                return None
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key][3] if key in self.items else None
            self.items[key] = (
                value,
                self.revision,
                lease,
                created or self.revision,
            )
            self.events.append((self.revision, key, value, lease))
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key, None, 0))
        del self.events[: -self.history]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def expire(self):
        now = time.monotonic()
        for lease, (_, ends_at) in list(self.leases.items()):
            if now >= ends_at:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item[2] == lease]
        if keys:
            self.apply([], [], keys)

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            self.expire()

    def silence_watches(self, prefix):
        """Let the connections go silent that wait on a prefix."""
        found = [c for c, w in self.watching.items() if w[0] == prefix]
        for connection in found:
            connection.silent = True
        return len(found)

    def list_watches(self, prefix):
        """Return when the watches that wait on a prefix began."""
        return [at for found, at in self.watching.values() if found == prefix]

    async def handle(self, request, connection):
        self.expire()
        handlers = {
            "/kv-key": self.get_key,
            "/kv-range": self.get_range,
            "/kv-watch": self.watch,
            "/kv-txn": self.transact,
        }
        handler = handlers.get(request.path, self.handle_lease)
        if request.path == "/kv-watch":
            began = request.query["prefix"], time.monotonic()
            self.watching[connection] = began
        try:
            status, message = await handler(request)
        finally:
            self.watching.pop(connection, None)
        if status is None:
            # The answer is lost, and the connection returns nothing more.
            connection.silent = True
            await connection.hold()
        await connection.answer(
            status,
            json.dumps(message).encode(),
            [("Content-Type", "application/json")],
        )

    def describe(self, key):
        value, revision, lease, created = self.items[key]
        return {
            "key": key,
            "value": b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": lease,
        }

    async def get_key(self, request):
        key = request.query["key"]
        if key not in self.items:
            return 404, {"storeRevision": self.revision}
        return 200, self.describe(key) | {"storeRevision": self.revision}

    async def get_range(self, request):
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        return 200, {
            "items": [self.describe(key) for key in keys[:500]],
            "truncated": len(keys) > 500,
            "storeRevision": self.revision,
        }

    async def watch(self, request):
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        if len(self.events) == self.history and self.events[0][0] > after + 1:
            return 410, {}
        ends_at = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            changed = self.changed
            found = [
                event
                for event in self.events
                if event[0] > after and event[1].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass
        events = []
        for revision, key, value, lease in found:
            if value is None:
                events.append(
                    {"key": key, "revision": revision, "tombstone": True}
                )
            else:
                encoded = b64encode(value).decode()
                events.append(
                    {
                        "key": key,
                        "revision": revision,
                        "value": encoded,
                        "lease": lease,
                    }
                )
        return 200, {"events": events, "storeRevision": self.revision}

    async def transact(self, request):
        message = json.loads(request.body)
        expected = [(r["key"], r["revision"]) for r in message["expected"]]
        puts = [
            (r["key"], b64decode(r["value"]), r.get("lease", 0))
            for r in message["puts"]
        ]
        is_lost = False
        if self.disturb is not None:
            is_lost = await self.disturb(expected, puts)
        self.expire()
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        revision = self.apply(expected, puts, message["remove"])
        if is_lost:
            return None, {}
        if revision is None:
            keys = [key for key, _ in expected if key in self.items]
            return 412, {"items": [self.describe(key) for key in keys]}
        return 200, {"revision": revision}

    async def handle_lease(self, request):
        path, _, number = request.path.rpartition("/")
        if request.path == "/kv-lease":
            ttl_ms = json.loads(request.body)["ttlMs"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ends_at = time.monotonic() + ttl_ms / 1000
            self.leases[lease] = (ttl_ms, ends_at)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        lease = int(number)
        if path == "/kv-keep":
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][0]
            ends_at = time.monotonic() + ttl_ms / 1000
            self.leases[lease] = (ttl_ms, ends_at)
            return 200, {"ttlMs": ttl_ms}
        if path == "/kv-lease-end":
            self.end_lease(lease)
            return 200, {}
        return 400, {}


# --- Samplers --------------------------------------------------------------


class Sampler(Server):
    """A sampler of one service, plain or with models."""

    def __init__(self, record, store, name, service, slots=8, models=()):
        super().__init__()
        self.record, self.store = record, store
        self.name, self.service, self.slots = name, service, slots
        self.versions = dict.fromkeys(models, 1)
        self.state = "ready"
        self.sequence = 0
        self.highest_fence = 0
        self.busy_until = 0.0
        self.running = 0
        self.work_s = 0.02
        self.event_s = 0.035
        self.make_events = lambda request: 12
        self.beat = 0
        self.born = int(time.time() * 1000)
        self.keep_alive_s = None
        # Called with each request that begins to run.
        self.on_run = None
        self.listed = True

    def register(self):
        """Write the sampler's entry; the return is the store's ack."""
        self.beat += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "1.0",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.beat,
            "born": self.born,
        }
        if self.versions:
            entry["stage"] = "hybrid"
            entry["models"] = self.list_models()
        return self.store.put_json(f"servers/{self.name}", entry)

    async def run(self):
        while self.listed:
            self.register()
            await asyncio.sleep(1.2)

    def list_models(self):
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]

    async def handle(self, request, connection):
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            await connection.answer(421, b"", [("Not-Executed", "1")])
        elif request.path == "/report":
            await self.report(connection)
        elif request.path == "/order":
            await self.order(request, connection)
        elif request.path == "/healthz":
            await connection.answer(200, b"", [("Instance-Id", self.name)])
        else:
            await self.run_request(request, connection)

    async def report(self, connection):
        message = {
            "stage": "hybrid",
            "models": self.list_models(),
            "busy": time.monotonic() < self.busy_until,
            "sequence": self.sequence,
            "waiting": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 100_000,
            "handles": 0,
            "born": self.born,
        }
        await connection.answer(200, json.dumps(message).encode())

    async def order(self, request, connection):
        message = json.loads(request.body)
        fence = message["fence"]
        model, version = message["model"], message["version"]
        status = 202
        if fence < self.highest_fence:
            status = 412
        elif self.versions.get(model) == version:
            status = 200
        elif time.monotonic() < self.busy_until or (
            message.get("expected", self.sequence) != self.sequence
        ):
            status = 409
        self.highest_fence = max(fence, self.highest_fence)
        self.record.write(
            "order",
            sampler=self.name,
            holder=message["holder"],
            fence=fence,
            version=version,
            status=status,
        )
        if status == 202:
            self.sequence += 1
            self.busy_until = time.monotonic() + 0.9
            asyncio.get_running_loop().call_later(
                0.9, self.versions.__setitem__, model, version
            )
        await connection.answer(status)

    async def run_request(self, request, connection):
        request_id = request.headers.get("request-id", "")
        headers = [
            ("Request-Id", request_id),
            ("Instance-Load", f"{self.running},0,{self.slots}"),
        ]
        if self.keep_alive_s:
            headers.append(("Keep-Alive", f"timeout={self.keep_alive_s}"))
        if self.running >= self.slots:
            headers.append(("Not-Executed", "1"))
            await connection.answer(503, b"", headers)
            return
        stamp = f"{self.name}.{request_id}"
        headers.append(("Response-Stamp", stamp))
        self.running += 1
        self.record.write(
            "run",
            sampler=self.name,
            service=self.service,
            request=request_id,
            path=request.path,
            after=request.headers.get("last-event-id", "0"),
        )
        if self.on_run is not None:
            self.on_run(self, request)
        try:
            model = request.headers.get("model", "")
            if model in self.versions:
                await self.stream(request, connection, headers, model)
            else:
                await asyncio.sleep(self.work_s)
                await connection.answer(200, self.make_body(request), headers)
        finally:
            self.running -= 1

    def make_body(self, request):
        return f"{self.service} {request.headers.get('request-id')}".encode()

    async def stream(self, request, connection, headers, model):
        """Send events until the text is complete or the caller left."""
        version = self.versions[model]
        headers = [
            *headers,
            ("Weight-Versions", str(version)),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        fields = "".join(f"{n}: {v}\r\n" for n, v in headers)
        await connection.send(f"HTTP/1.1 200 OK\r\n{fields}\r\n".encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.make_events(request) + 1):
            await asyncio.sleep(self.event_s)
            text = ""
            if self.versions[model] != version:
                version = self.versions[model]
                text = f"weight-versions: {version}\n"
            text += f"id: {number}\ndata: piece {number}\n\n"
            event = text.encode()
            await connection.send(b"%x\r\n%b\r\n" % (len(event), event))
        await connection.send(b"0\r\n\r\n")


# --- The deployment --------------------------------------------------------


def make_route(name, service, **fields):
    route = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "safe",
        "timeoutMs": 4000,
        "targetLatencyMs": 200,
        "priority": 2,
        "maxAttempts": 2,
        "service": service,
    }
    return route | fields


def make_manifest(version, routes, services):
    """Return a manifest; `services` maps names to models."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "maxConns": 110, "healthPath": "/healthz"}
            | (
                {"engine": {"models": [{"name": m} for m in models]}}
                if models
                else {}
            )
            for name, models in services.items()
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 33554432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def make_step(step, groups, size, model, path, score_path):
    """Return a batch submission of a trainer, and the ids of its items."""
    items = [
        {
            "id": make_id(),
            "path": path,
            "headers": {"Model": model, "Token-Counts": "1016,60"},
            "body": b64encode(os.urandom(300)).decode(),
            "tokens": 1076,
            "group": f"step{step}-group{group}",
            "scorer": {
                "id": make_id(),
                "host": HOST,
                "path": score_path,
                "body": "3q2+7w==",
            },
        }
        for group in range(groups)
        for _ in range(size)
    ]
    message = {
        "step": step,
        "model": model,
        "minVersion": 1,
        "targetGroups": groups,
        "items": items,
    }
    return json.dumps(message).encode(), [item["id"] for item in items]


def make_id():
    return f"{random.getrandbits(64):016x}"


class Deployment:
    """A store, samplers and gateways of one run; ended by `stop`."""

    def __init__(self, case, gateways=3, memory_mb=300, bounds=None):
        self.folder = Path(case)
        self.record = Record(self.folder / "record.txt")
        self.work = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.samplers = {}
        self.processes = {}
        self.tasks = []
        self.memory_mb = memory_mb
        self.names = [f"g{n}" for n in range(gateways)]
        self.bounds = {
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
        } | (bounds or {})
        self.fronts, self.ready = {}, {}

    async def start_store(self):
        await self.store.start()
        self.start_task(self.store.run())

    def start_task(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    async def add_sampler(self, name, service, **fields):
        sampler = Sampler(self.record, self.store, name, service, **fields)
        await sampler.start()
        self.samplers[name] = sampler
        self.start_task(sampler.run())
        return sampler

    def start_gateways(self):
        octets = random.Random().sample(range(1, 255), 2)
        for number, name in enumerate(self.names):
            host = f"127.{octets[0]}.{octets[1]}.{number + 2}"
            self.write_settings(name, host, number)
            self.start_process(name)

    def write_settings(self, name, host, number):
        ports = [find_port(host) for _ in range(3)]
        first = find_ports(host)
        self.fronts[name] = f"{host}:{ports[0]}"
        self.ready[name] = f"{host}:{ports[1]}"
        settings = {
            "node": name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front"],
            "ip": host,
            "zone": "zone-a",
            "region": "region",
            "zones": {"zone-a": "region"},
            "listen": {
                "front": self.fronts[name],
                "ready": self.ready[name],
            },
            "internalPorts": [first, first + 15],
            "seeds": [],
            "bootstrap": True,
            "countLoss": False,
            "limits": {
                "cpuShare": 0.817,
                "cores": 1,
                "memoryMb": self.memory_mb,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "samples",
                "stream",
                "engine",
                "batch",
                "platform",
            ],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self.bounds,
            "platform": {
                "address": self.store.address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
        (self.work / f"{name}.json").write_text(json.dumps(settings))

    def start_process(self, name):
        """Start a gateway with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"]
        command = command.replace("{{listen.front}}", self.fronts[name])
        words = command.split(" ")
        words[0] = sys.executable if words[0] == "python3" else words[0]
        environment = {
            k: os.environ[k]
            for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        environment["PISTACHIOSPAR_NODE_FILE"] = str(
            self.work / f"{name}.json"
        )
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = open(self.work / f"{name}.log", "ab")
        import subprocess

        self.processes[name] = subprocess.Popen(
            words,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.record.write("started", process=name)

    async def wait_ready(self, timeout=15.0):
        """Wait until all gateways are ready; return whether they are."""
        ends_at = time.monotonic() + timeout
        for name in self.names:
            while True:
                answer = await call(
                    self.ready[name], "GET", "/readyz", timeout=1.0
                )
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > ends_at:
                    return False
                await asyncio.sleep(0.1)
        return True

    def find_holder(self):
        """Return the gateway that holds a pool, by the store's keys."""
        for key, item in self.store.items.items():
            if key.startswith("ps/g/holder/"):
                return json.loads(item[0])["gateway"]
        return ""

    async def stop(self):
        """End all processes that were started, and remove their files."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            target = Path(os.environ["KEEP_LOGS"])
            for log in self.work.glob("*.log"):
                shutil.copy(log, target / log.name)
        shutil.rmtree(self.work, ignore_errors=True)
        self.record.file.flush()


def find_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def find_ports(host):
    """Return the first of 16 free ports that follow each other."""
    while True:
        first = random.randrange(20000, 32000)
        probes = []
        try:
            for port in range(first, first + 16):
                probes.append(socket.socket())
                probes[-1].bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()


def read_peak_mib(pid):
    """Return the most resident memory of a process so far, 0 without one."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def run_case(play, *arguments):
    """Play a case; the return is the exit status of `run.sh`.

    SIGTERM ends it too, and with it all processes that it started.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        async with asyncio.timeout(110):
            return await play(*arguments)
    except TimeoutError:
        print("could not run: out of time")
        return 2
    except asyncio.CancelledError:
        print("could not run: ended from outside")
        return 2
    except Exception as error:
        # Exit status 1 says that the rule was broken, and nothing else.
        print(f"could not run: {error!r}")
        return 2
