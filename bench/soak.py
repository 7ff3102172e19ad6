"""Soak gateways, as real processes, under faults from outside.

python -m bench.soak --seeds 50 [--first 0] [--seconds 12]

Each run has IP numbers of its own, by its process's number, so that several
may run at once.

The store and the samplers are stand-ins in this process; each gateway is a
process of its own that reaches the store by way of a loopback proxy. Faults:
processes killed, stopped for a while, told to stop, started again; the proxy
delays, resets, silences and refuses; instances crash, break off, slow down.
What callers and instances saw is judged as in features/submissions.feature.
It ends only the processes that it started.
"""

import argparse
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
import os
from pathlib import Path
from random import Random
import signal
import subprocess
import sys
from tempfile import TemporaryDirectory

import msgspec
from pistachiospar.adapters.http.client import Address
from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.errors import HttpError
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.server import HttpServer
from pistachiospar_standins.fakes.gateways import GatewayFleet
from pistachiospar_standins.fakes.gateways import GatewayPlan
from pistachiospar_standins.fakes.sinks import ResponseRecorder
from pistachiospar_standins.platform.sampler import SamplerHandler
from pistachiospar_standins.platform.store import PlatformStoreHandler
import trio

sys.path.insert(0, str(Path(__file__).parent.parent / "features"))

from support.submission_checks import check_load_orders  # noqa: E402
from support.submission_checks import check_submission  # noqa: E402
from support.submission_faults import degrade_sampler  # noqa: E402
from support.submission_scenarios import read_all_results  # noqa: E402
from support.submission_scenarios import run_trainer  # noqa: E402
from support.submission_scenarios import ScenarioRun  # noqa: E402

GATEWAYS = 3
# Loopback has 127.1.0.0 to 127.254.255.255 to draw from.
HOST_GROUPS = 254
START_S = 3.0
SETTLE_S = 14.0
CALL_S = 13.0


@dataclass(slots=True)
class ProxyFaults:
    """Set what a proxy does to connections; delays are in seconds."""

    refuse: bool = False
    silent: bool = False
    delay_s: float = 0.0
    scopes: set[trio.CancelScope] = field(default_factory=set)

    def reset(self) -> None:
        """Cut all connections."""
        for scope in list(self.scopes):
            scope.cancel()


class Proxy:
    """Carry bytes between a gateway and the store."""

    def __init__(self, target: Address, faults: ProxyFaults) -> None:
        """Take where the bytes go."""
        self._target = target
        self._faults = faults

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        with trio.CancelScope() as scope:
            self._faults.scopes.add(scope)
            try:
                if not self._faults.refuse:
                    await self._carry(stream)
            finally:
                self._faults.scopes.discard(scope)
        stream.socket.close()

    async def _carry(self, stream: trio.SocketStream) -> None:
        """Carry both ways until one side ends."""
        other = await trio.open_tcp_stream(
            self._target.host, self._target.port
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, stream, other, nursery)
                nursery.start_soon(self._copy, other, stream, nursery)
        finally:
            other.socket.close()

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        nursery: trio.Nursery,
    ) -> None:
        """Carry one way."""
        try:
            async for data in source:
                while self._faults.silent:
                    await trio.sleep(0.05)
                if self._faults.delay_s:
                    await trio.sleep(self._faults.delay_s)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()


class SoakFleet(GatewayFleet):
    """Run gateways as processes; the world stays in this one."""

    def __init__(self, plan: GatewayPlan, folder: Path) -> None:
        """Begin with nothing running."""
        super().__init__(plan)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.faults = {f"g{n}": ProxyFaults() for n in range(GATEWAYS)}
        self._folder = folder
        self._addresses: dict[str, Address] = {}
        self._handler = PlatformStoreHandler()
        self.store = self._handler.store

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Serve the world and the gateways."""
        async with trio.open_nursery() as nursery:
            store = HttpServer(self._handler.handle)
            at_store = await _listen(nursery, store.handle_connection)
            self.write_configuration()
            for kind, count in (("s", 4), ("a", 2)):
                for number in range(count):
                    await self._serve_sampler(nursery, f"{kind}{number}")
            nursery.start_soon(self._update_instance_list)
            for name, faults in self.faults.items():
                proxy = Proxy(at_store, faults)
                address = await _listen(nursery, proxy.handle)
                self._write_settings(name, address)
                self.launch(name)
            try:
                await trio.sleep(START_S)
                yield
            finally:
                for process in self.processes.values():
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                    process.wait()
                nursery.cancel_scope.cancel()

    def launch(self, name: str) -> None:
        """Start a gateway's process."""
        log = open(self._folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "pistachiospar.cli", "gateway"]
            + ["--settings", str(self._folder / f"{name}.yaml")],
            stdout=log,
            stderr=log,
            env=dict(os.environ),
        )

    async def send_request(
        self, gateway: str, request: HttpRequest, timeout_s: float = CALL_S
    ) -> ResponseRecorder | None:
        """Ask a gateway over HTTP; None when no answer came."""
        target = request.path + (f"?{request.query}" if request.query else "")
        pool = HttpPool(self._addresses[gateway], 0.5)
        try:
            with trio.fail_after(timeout_s):
                answer = await pool.fetch(
                    request.method,
                    target,
                    list(request.headers.items()),
                    request.body,
                    new_connection=True,
                )
        except (HttpError, trio.TooSlowError):
            return None
        exchange = ResponseRecorder()
        headers = list(answer.headers.items())
        await exchange.send_response(answer.status, headers, answer.body)
        return exchange

    async def _serve_sampler(self, nursery: trio.Nursery, name: str) -> None:
        """Serve one instance over TCP."""
        self.add_sampler(name, "pool" if name[0] == "s" else "app")
        server = HttpServer(SamplerHandler(self.cluster, name).handle)
        address = await _listen(nursery, server.handle_connection)
        self.addresses[name] = str(address)
        self.add_sampler(name, "pool" if name[0] == "s" else "app")

    def _write_settings(self, name: str, store: Address) -> None:
        """Write the settings of a gateway; its IP number is its own."""
        high, low = divmod(os.getpid() % (HOST_GROUPS * 256), 256)
        host = f"127.{high + 1}.{low}.{int(name[1:]) + 2}"
        self._addresses[name] = Address(host, 7001)
        text = msgspec.json.encode(
            {
                "node": name,
                "zone": "zone",
                "ip": host,
                "listen": {
                    "front": f"{host}:7001",
                    "ready": f"{host}:7002",
                },
                "internalPorts": [7003, 7010],
                "platform": {"address": str(store)},
            }
        )
        (self._folder / f"{name}.yaml").write_bytes(text)


async def _listen(
    nursery: trio.Nursery,
    handle: Callable[[trio.SocketStream], Awaitable[None]],
) -> Address:
    """Serve on a free port of loopback."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, handle, listeners)
    port = int(listeners[0].socket.getsockname()[1])
    return Address("127.0.0.1", port)


async def kill(fleet: SoakFleet, name: str, rng: Random) -> None:
    """Kill a gateway and start it again."""
    process = fleet.processes[name]
    process.kill()
    await trio.to_thread.run_sync(process.wait)
    await trio.sleep(rng.uniform(0.1, 2.0))
    fleet.launch(name)


async def stop(fleet: SoakFleet, name: str, rng: Random) -> None:
    """Tell a gateway to stop, then start it again."""
    process = fleet.processes[name]
    process.send_signal(signal.SIGTERM)
    await trio.to_thread.run_sync(process.wait)
    fleet.launch(name)


async def pause(fleet: SoakFleet, name: str, rng: Random) -> None:
    """Let a gateway stand still for a while."""
    process = fleet.processes[name]
    process.send_signal(signal.SIGSTOP)
    await trio.sleep(rng.uniform(0.5, 6.0))
    process.send_signal(signal.SIGCONT)


async def cut(fleet: SoakFleet, name: str, rng: Random) -> None:
    """Let a gateway's way to the store refuse, fall silent or reset."""
    faults = fleet.faults[name]
    match rng.randint(0, 3):
        case 0:
            faults.refuse = True
            faults.reset()
        case 1:
            faults.silent = True
        case 2:
            faults.delay_s = rng.uniform(0.05, 0.5)
        case _:
            faults.reset()
    await trio.sleep(rng.uniform(0.5, 5.0))
    faults.refuse = faults.silent = False
    faults.delay_s = 0.0


BLOWS = [kill, kill, stop, pause, cut, cut]


async def strike(
    fleet: SoakFleet, rng: Random, seconds: float, tale: ScenarioRun
) -> None:
    """Strike in series that overlap."""
    until = trio.current_time() + seconds
    busy: set[str] = set()

    async def blow_at(name: str) -> None:
        blow = rng.choice(BLOWS)
        tale.faults.append(f"{blow.__name__} {name}")
        await blow(fleet, name, rng)
        busy.discard(name)

    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            await trio.sleep(rng.uniform(0.2, 2.0))
            name = f"g{rng.randrange(GATEWAYS)}"
            if rng.random() < 0.3:
                nursery.start_soon(degrade_sampler, fleet, rng)
            elif name not in busy:
                busy.add(name)
                nursery.start_soon(blow_at, name)


async def soak(seed: int, seconds: float, folder: Path) -> ScenarioRun:
    """Run one seed; return what broke."""
    rng = Random(seed)
    tale = ScenarioRun(seed)
    plan = GatewayPlan(gateways=GATEWAYS, seed=seed)
    fleet = SoakFleet(plan, folder)
    async with fleet.serve():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(strike, fleet, rng, seconds, tale)
            for model in plan.models:
                nursery.start_soon(run_trainer, fleet, model, rng, tale)
        for sampler in fleet.cluster.samplers.values():
            sampler.faults.down = False
            sampler.faults.slow_factor = 1.0
            sampler.faults.truncated_share = 0.0
        await trio.sleep(SETTLE_S)
        for story in tale.histories:
            await read_all_results(fleet, story, rng)
            tale.violations.extend(check_submission(fleet, story))
        tale.violations.extend(check_load_orders(fleet))
        tale.listed = sum(len(story.results) for story in tale.histories)
    return tale


def run_soak(seed: int, seconds: float) -> ScenarioRun:
    """Run one seed in a folder of its own."""
    with TemporaryDirectory() as folder:
        tale = trio.run(soak, seed, seconds, Path(folder))
        if tale.violations:
            kept = Path("run") / f"soak-{seed}"
            kept.mkdir(parents=True, exist_ok=True)
            for log in Path(folder).glob("*.log"):
                (kept / log.name).write_bytes(log.read_bytes())
        return tale


def main() -> int:
    """Run the seeds; return the exit status."""
    parser = argparse.ArgumentParser(prog="bench.soak")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=12.0)
    options = parser.parse_args()
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        tale = run_soak(seed, options.seconds)
        broken += bool(tale.violations)
        print(f"seed {seed}: {tale.listed} listed, {', '.join(tale.faults)}")
        for line in tale.find_violations():
            print(f"  BROKEN {line}")
    print(f"{options.seeds} seeds, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
