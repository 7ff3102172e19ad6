"""Planned stops of gateway processes under calls of many kinds.

Guards: a request that was passed on, or wholly read, and whose connection
ends without an answer; a refusal of a request that has run.
"""

import os
from pathlib import Path
import signal
import subprocess
import sys
from tempfile import TemporaryDirectory

import msgspec
from pistachiospar.adapters.http.address import Address
from pistachiospar.adapters.http.exchange import Exchange
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.server import HttpServer
from pistachiospar.platform import const
from pistachiospar_standins.fakes.configurations import make_route
from pistachiospar_standins.platform.store import PlatformStoreHandler
import trio

from .stop_callers import HOST
from .stop_callers import ROLLOUT
from .stop_callers import StopCallers
from .stop_callers import STREAM
from .stop_callers import UNSAFE
from .stop_models import Attempt
from .stop_models import Stop

POOL, APP = "pool", "app"
CONFIGURATION_VERSIONS = (1, 2, 3)
SAMPLERS = {"s0": POOL, "s1": POOL, "a0": APP, "a1": APP}
SLOTS = 200
EVENT_INTERVAL_S = 0.1
START_S = 3.0
END_TIMEOUT_S = 12.0
# A caller that sent its last byte may find its connection closed this long
# after it: the close may have crossed the request.
CROSSING_S = 0.2


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

    async def run(self) -> None:
        """Start all, stop gateways under calls, and check."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            self._stop_at = trio.current_time() + 1.0
            async with trio.open_nursery() as callers:
                callers.start_soon(self._do_planned_work)
                calls = StopCallers(
                    self._stop, self._stop_at, self._addresses, self._is_over
                )
                for name in self._stop.stopped:
                    calls.start(callers, name)
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

    def _is_over(self, name: str) -> bool:
        """Return whether a gateway's process has ended."""
        return self._processes[name].poll() is not None

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
