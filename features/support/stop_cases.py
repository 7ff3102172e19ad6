"""Planned stops of gateway processes under calls of many kinds.

Guards: a request that was passed on, or wholly read, and whose connection
ends without an answer; a refusal of a request that has run.
"""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import os
from pathlib import Path
import signal
import subprocess
import sys
from tempfile import TemporaryDirectory

import h11
import msgspec
from pistachiospar.adapters.http.client import Address
from pistachiospar.adapters.http.exchange import Exchange
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.server import HttpServer
from pistachiospar.platform.callers import encode_submission
from pistachiospar.platform import const
from pistachiospar_standins.fakes.configurations import make_route
from pistachiospar_standins.platform.store import PlatformStoreHandler
import trio

from .histories import make_history

HOST = "host.example"
POOL, APP = "pool", "app"
UNSAFE, STREAM, ROLLOUT = "/once/", "/stream/", "/rollout/"
CONFIGURATION_VERSIONS = (1, 2, 3)
SAMPLERS = {"s0": POOL, "s1": POOL, "a0": APP, "a1": APP}
SLOTS = 200
EVENT_INTERVAL_S = 0.1
START_S = 3.0
END_TIMEOUT_S = 12.0
# A caller that sent its last byte may find its connection closed this long
# after it: the close may have crossed the request.
CROSSING_S = 0.2
# Beside other load, a process gets its turn this much later.
CONNECT_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Attempt:
    """One request; times are in seconds after the first SIGTERM.

    `status` is 0 without an answer, `sent_at` when the last byte was sent,
    None if it wasn't. A stream `is_broken` if it has no end. A connection
    `is_reset` if the gateway closed it with unread bytes.
    """

    kind: str
    call_id: str
    begun_at: float
    sent_at: float | None = None
    status: int = 0
    ended_at: float = 0.0
    is_broken: bool = False
    is_reset: bool = False


@dataclass(slots=True)
class Stop:
    """A plan of planned work, and what callers and samplers saw.

    `grace_s` is how long a gateway has between SIGTERM and its end.
    `stopped` names the gateways that get SIGTERM, `gap_s` apart.
    """

    grace_s: float = 5.0
    gateways: int = 2
    stopped: tuple[str, ...] = ("g0",)
    gap_s: float = 0.0
    hangs_up: bool = False
    changes_configuration: bool = False
    calls_per_s: float = 20.0
    attempts: list[Attempt] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    finished: dict[str, float] = field(default_factory=dict)
    ended_after_s: dict[str, float] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)


class StopRun:
    """Gateways as processes, their store and samplers, and callers."""

    def __init__(self, stop: Stop, folder: Path) -> None:
        """Write settings and logs into the folder; start nothing yet."""
        self._stop = stop
        self._folder = folder
        self._store = PlatformStoreHandler()
        self._addresses: dict[str, Address] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._stop_at = float("inf")
        self._number = 0

    async def run(self) -> None:
        """Start all, stop gateways under calls, and check."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            self._stop_at = trio.current_time() + 1.0
            async with trio.open_nursery() as callers:
                callers.start_soon(self._do_planned_work)
                for name in self._stop.stopped:
                    self._start_callers(callers, name)
            nursery.cancel_scope.cancel()
        for process in self._processes.values():
            process.kill()
            process.wait()
        self._find_problems()

    async def _start(self, nursery: trio.Nursery) -> None:
        """Serve store and samplers, and start the gateways."""
        store = await _serve(nursery, HttpServer(self._store.handle))
        self._write_configuration(1)
        for name, upstream in SAMPLERS.items():
            address = await _serve(
                nursery, HttpServer(StopSampler(name, self._stop).handle)
            )
            self._write_entry(name, upstream, address)
        for number in range(self._stop.gateways):
            self._start_gateway(f"g{number}", number, store)
        await trio.sleep(START_S)

    def _start_gateway(self, name: str, number: int, store: Address) -> None:
        """Start a gateway's process with an address of its own."""
        high, low = divmod(os.getpid() % (254 * 256), 256)
        host = f"127.{high + 1}.{low}.{number + 20}"
        self._addresses[name] = Address(host, 7001)
        settings = {
            "node": name,
            "zone": "zone",
            "ip": host,
            "listen": {"front": f"{host}:7001", "ready": f"{host}:7002"},
            "internalPorts": [7003, 7010],
            "platform": {"address": str(store)},
            "bounds": {"graceS": self._stop.grace_s},
        }
        file = self._folder / f"{name}.json"
        file.write_bytes(msgspec.json.encode(settings))
        with open(self._folder / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", "pistachiospar.cli", "gateway"]
                + ["--settings", str(file)],
                stdout=log,
                stderr=log,
            )

    def _write_configuration(self, version: int) -> None:
        """Write a version of the configuration; each has one more route."""
        routes = [
            make_route(HOST, "once", UNSAFE, "unsafe", APP)
            | {"timeoutMs": 20_000},
            make_route(HOST, "stream", STREAM, "safe", POOL)
            | {"stream": True, "resumable": False, "timeoutMs": 20_000},
            make_route(HOST, "roll", ROLLOUT, "rollout", POOL)
            | {"resultDueMs": 7500, "maxAgeS": 40},
        ]
        for number in range(version):
            routes.append(
                make_route(HOST, f"n{number}", f"/n{number}/", "safe", APP)
            )
        models = [{"name": "m0"}]
        value = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": POOL, "maxConns": 500, "engine": {"models": models}},
                {"name": APP, "maxConns": 500},
            ],
            "limits": {},
        }
        self._write(const.KEY_CONFIG, value)

    def _write_entry(self, name: str, upstream: str, at: Address) -> None:
        """List a sampler."""
        models = [{"name": "m0", "version": 1}] if upstream == POOL else []
        entry = {
            "service": upstream,
            "address": str(at),
            "zone": "zone",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "born": 1,
            "models": models,
        }
        self._write(const.PREFIX_INSTANCES + name, entry)

    def _write(self, key: str, value: object) -> None:
        """Write a key as the operator or the platform does."""
        encoded = msgspec.json.encode(value)
        self._store.store.write(key, encoded, 0, trio.current_time())

    async def _do_planned_work(self) -> None:
        """Stop the gateways and do the other planned work; wait for it."""
        await trio.sleep_until(self._stop_at)
        async with trio.open_nursery() as nursery:
            for name in self._stop.stopped:
                process = self._processes[name]
                process.send_signal(signal.SIGTERM)
                nursery.start_soon(self._wait_for_end, name)
                if self._stop.hangs_up:
                    process.send_signal(signal.SIGHUP)
                await trio.sleep(self._stop.gap_s)
            if self._stop.changes_configuration:
                for version in CONFIGURATION_VERSIONS[1:]:
                    self._write_configuration(version)
                    await trio.sleep(1.0)

    async def _wait_for_end(self, name: str) -> None:
        """Wait until a gateway's process has ended."""
        sent_at = trio.current_time()
        process = self._processes[name]
        while process.poll() is None:
            await trio.sleep(0.01)
            if trio.current_time() > sent_at + END_TIMEOUT_S:
                break
        self._stop.ended_after_s[name] = trio.current_time() - sent_at

    def _start_callers(self, nursery: trio.Nursery, name: str) -> None:
        """Call a gateway in many ways until its process has ended."""
        for work_ms in (300, 1500):
            nursery.start_soon(self._call_anew, name, work_ms)
            nursery.start_soon(self._call_kept, name, work_ms)
        nursery.start_soon(self._read_steps, name)
        for begin_s in (-0.5, 0.5, 1.5, 2.3):
            nursery.start_soon(self._call_at, name, begin_s, 9000, 0.0)
            nursery.start_soon(self._submit_at, name, begin_s)
            for work_ms in (1000, 9000):
                nursery.start_soon(self._stream_at, name, begin_s, work_ms)
            for body_s in (0.5, 1.5, 2.5):
                nursery.start_soon(self._call_at, name, begin_s, 1000, body_s)

    def _is_over(self, name: str) -> bool:
        """Return whether a gateway's process has ended."""
        return self._processes[name].poll() is not None

    async def _call_anew(self, name: str, work_ms: int) -> None:
        """Make calls on new connections."""
        async with trio.open_nursery() as nursery:
            while not self._is_over(name):
                nursery.start_soon(self._call, name, f"{UNSAFE}{work_ms}")
                await trio.sleep(1.0 / self._stop.calls_per_s)

    async def _call_kept(self, name: str, work_ms: int) -> None:
        """Make one call after the other on a kept connection."""
        while not self._is_over(name):
            connection = await self._connect(name)
            if connection is None:
                await trio.sleep(0.05)
                continue
            async with connection.stream:
                while await self._exchange(
                    connection, "kept", "POST", f"{UNSAFE}{work_ms}"
                ):
                    await trio.sleep(0.05)

    async def _call(
        self,
        name: str,
        path: str,
        method: str = "POST",
        body: bytes = b"body",
        body_s: float = 0.0,
        kind: str = "new",
        call_id: str = "",
    ) -> None:
        """Make one call on a new connection."""
        connection = await self._connect(name)
        if connection is None:
            return
        async with connection.stream:
            await self._exchange(
                connection, kind, method, path, body, body_s, call_id
            )

    async def _call_at(
        self, name: str, begin_s: float, work_ms: int, body_s: float
    ) -> None:
        """Make a call whose body takes a while to arrive."""
        await trio.sleep_until(self._stop_at + begin_s)
        path = f"{UNSAFE}{work_ms}"
        kind = f"body of {body_s} s, work of {work_ms} ms"
        await self._call(name, path, "POST", b"body" * 10, body_s, kind)

    async def _stream_at(
        self, name: str, begin_s: float, work_ms: int
    ) -> None:
        """Request a stream."""
        await trio.sleep_until(self._stop_at + begin_s)
        await self._call(name, f"{STREAM}{work_ms}", kind="stream")

    async def _submit_at(self, name: str, begin_s: float) -> None:
        """Submit a step, and read its results while that can be done."""
        await trio.sleep_until(self._stop_at + begin_s)
        submission = make_history(f"{name}-{begin_s}", 3).submission
        body = encode_submission(submission)
        path = f"{ROLLOUT}m0/"
        await self._call(name, path, "POST", body, 0.0, "step", submission.id)

    async def _read_steps(self, name: str) -> None:
        """Read a step's results, each time for up to a second."""
        while not self._is_over(name):
            path = f"/lots/{name}--0.5?after=3"
            await self._call(name, path, "GET", b"", kind="read")
            await trio.sleep(0.05)

    async def _connect(self, name: str) -> "Connection | None":
        """Connect to a gateway; None when it doesn't listen."""
        address = self._addresses[name]
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError):
            return None
        return Connection(stream)

    async def _exchange(
        self,
        connection: "Connection",
        kind: str,
        method: str,
        path: str,
        body: bytes = b"body",
        body_s: float = 0.0,
        call_id: str = "",
    ) -> bool:
        """Send a request and read the answer; return whether more may follow.

        The bytes of the body come one after the other for `body_s`.
        """
        self._number += 1
        now = trio.current_time() - self._stop_at
        attempt = Attempt(kind, call_id or f"c{self._number}", now)
        self._stop.attempts.append(attempt)
        try:
            await connection.send(method, path, attempt.call_id, body, body_s)
            attempt.sent_at = trio.current_time() - self._stop_at
            may_go_on = await connection.receive(attempt)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ) as error:
            may_go_on = False
            attempt.is_broken = attempt.status != 0
            attempt.is_reset = not isinstance(error, h11.RemoteProtocolError)
        attempt.ended_at = trio.current_time() - self._stop_at
        return may_go_on

    def _find_problems(self) -> None:
        """Compare what callers saw with what the samplers ran."""
        stop = self._stop
        for attempt in stop.attempts:
            runs = stop.runs[attempt.call_id]
            problem = _find_problem(attempt, runs)
            if problem:
                stop.problems.append(f"{problem}: {attempt}, {runs} runs")
        for name, seconds in stop.ended_after_s.items():
            if seconds > stop.grace_s:
                stop.problems.append(f"{name} ended after {seconds:.1f} s")


def _find_problem(attempt: Attempt, runs: int) -> str:
    """Return what is wrong with a call; an unfinished stream is not."""
    if runs > 1 and attempt.kind != "stream":
        return "ran twice"
    if attempt.status in (429, 503) and runs:
        return "refused, and has run"
    if attempt.status or attempt.sent_at is None:
        return ""
    if runs:
        return "was passed on and has no answer"
    is_crossing = attempt.ended_at <= attempt.sent_at + CROSSING_S
    if not attempt.is_reset and not is_crossing:
        return "was read and has no answer"
    return ""


class Connection:
    """A caller's connection, for one request after the other."""

    def __init__(self, stream: trio.SocketStream) -> None:
        """Wrap a connected stream."""
        self.stream = stream
        self._h11 = h11.Connection(h11.CLIENT)

    async def send(
        self,
        method: str,
        path: str,
        call_id: str,
        body: bytes,
        body_s: float,
    ) -> None:
        """Send a request; its body takes `body_s` seconds."""
        headers = [
            ("Host", HOST),
            ("Request-Id", call_id),
            ("Deadline-Ms", "15000"),
            ("Wait-Ms", "1000"),
            ("Content-Length", str(len(body))),
        ]
        head = h11.Request(method=method, target=path, headers=headers)
        data = self._h11.send(head) or b""
        sent = self._h11.send(h11.Data(data=body)) or b""
        self._h11.send(h11.EndOfMessage())
        if not body_s:
            await self.stream.send_all(data + sent)
            return
        await self.stream.send_all(data)
        for position in range(len(sent)):
            await trio.sleep(body_s / len(sent))
            await self.stream.send_all(sent[position : position + 1])

    async def receive(self, attempt: Attempt) -> bool:
        """Receive the answer; return whether the connection stays open."""
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                data = bytes(await self.stream.receive_some(65536))
                self._h11.receive_data(data)
                continue
            match event:
                case h11.Response():
                    attempt.status = event.status_code
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    return False
        if self._h11.our_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True


class StopSampler:
    """A sampler whose calls take as long as their path says, in ms."""

    def __init__(self, name: str, stop: Stop) -> None:
        """Record what runs in `stop`."""
        self._name = name
        self._stop = stop

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve a report or a call."""
        if request.path == const.PATH_REPORT:
            await exchange.send_response(200, [], b'{"born": 1}')
            return
        call_id = request.headers.get(const.HEADER_REQUEST_ID, "")
        self._stop.runs[call_id] += 1
        headers = [
            ("Request-Id", call_id),
            ("Response-Stamp", f"{call_id} {self._name}"),
            ("Weight-Versions", "1"),
        ]
        last = request.path.rpartition("/")[2]
        work_s = int(last) / 1000 if last.isdecimal() else 0.3
        if SAMPLERS[self._name] == APP:
            await trio.sleep(work_s)
            await exchange.send_response(200, headers, b"done")
            return
        headers.append(("Content-Type", const.MEDIA_TYPE_EVENTS))
        await exchange.start(200, headers)
        for number in range(1, int(work_s / EVENT_INTERVAL_S) + 1):
            await trio.sleep(EVENT_INTERVAL_S)
            await exchange.write(b"id: %d\ndata: x\n\n" % number)
        await exchange.finish()


async def _serve(nursery: trio.Nursery, server: HttpServer) -> Address:
    """Serve on a free loopback port; return its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(
        trio.serve_listeners, server.handle_connection, listeners
    )
    port = int(listeners[0].socket.getsockname()[1])
    return Address("127.0.0.1", port)


CASES: dict[str, Stop] = {
    "one of two gateways stops": Stop(),
    "a gateway with a long grace stops": Stop(grace_s=8.0),
    "two gateways of three stop at once": Stop(
        gateways=3, stopped=("g0", "g1")
    ),
    "a gateway stops beside SIGHUP and new configurations": Stop(
        hangs_up=True, changes_configuration=True
    ),
    "a gateway stops under many calls": Stop(calls_per_s=120.0),
}


def run_case(name: str) -> Stop:
    """Run a case in real time; keep the logs of one that failed."""
    stop = CASES[name]
    with TemporaryDirectory() as folder:
        trio.run(StopRun(stop, Path(folder)).run)
    return stop
