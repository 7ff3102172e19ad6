"""Soak test of gateway processes under faults injected from outside.

python -m bench.soak --seeds 50 [--first 0] [--seconds 12]
    [--series] [--gateways 3]

The store and the samplers are stand-ins in this process. Each gateway is a
process of its own and reaches the store through a loopback proxy. Gateways
are killed, suspended, terminated and restarted; the proxy delays, stalls,
resets and refuses connections; instances crash, cut streams and slow down.
What callers and instances saw is checked as in features/submissions.feature.
The samplers have two software versions; callers whose streams break off resume
them at any gateway. The rollout route moves between two pools. Calls run
under their organisation only; a key that was removed, or never held, is
refused at the end; usage reports never differ.

With --series, signals, restarts and changes of the configuration hit the same
gateway one after the other and overlap, and callers use their connections
until the process is gone.

A run takes its IP addresses by its process id, so that several may run at
once, and ends only the processes that it started.
"""

import argparse
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
import ctypes
from functools import partial
import os
from pathlib import Path
from random import Random
import signal
import subprocess
import sys
from tempfile import TemporaryDirectory

import msgspec
from pistachiospar.adapters.http.address import Address
from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.errors import HttpError
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.server import HttpServer
from pistachiospar_standins.fakes.cloud import FakeCloud
from pistachiospar_standins.fakes.gateway_fleet import APP
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import OTHER_POOL
from pistachiospar_standins.fakes.gateway_fleet import POOL
from pistachiospar_standins.fakes.recorders import ResponseRecorder
from pistachiospar_standins.platform.sampler import SamplerHandler
from pistachiospar_standins.platform.store import PlatformStoreHandler
import trio

from .soak_callers import KeptConnections
from .soak_duties import DutyHandler
from .soak_duties import find_duty_violations
from .soak_duties import WINDOW_S
from .soak_faults import FAULTS
from .soak_faults import move_rollouts
from .soak_faults import SERIES_FAULTS
from .soak_keys import AUTHORIZATION
from .soak_keys import find_key_violations
from .soak_keys import probe_keys
from .soak_keys import remove_organisation
from .soak_keys import TENANTS
from .soak_proxy import ProxyFaults
from .soak_proxy import StoreProxy
from .soak_streams import make_stream_output
from .soak_streams import StreamCallers

sys.path.insert(0, str(Path(__file__).parent.parent / "features"))

from support.submission_checks import check_load_orders  # noqa: E402
from support.submission_checks import check_submission  # noqa: E402
from support.submission_faults import degrade_sampler  # noqa: E402
from support.submission_scenarios import read_all_results  # noqa: E402
from support.submission_scenarios import run_trainer  # noqa: E402
from support.submission_scenarios import ScenarioRun  # noqa: E402

GATEWAY_COUNT = 3
# The gateways of a run share one block of 256 loopback addresses, between
# 127.1.0.0 and 127.254.255.255.
MAX_SECOND_OCTET = 254
START_DELAY_S = 3.0
SETTLE_DELAY_S = 14.0
REQUEST_TIMEOUT_S = 13.0
PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)
SOFTWARE_VERSIONS = ("v1", "v2")
# By the first letter of an instance's name.
UPSTREAMS = {"s": POOL, "o": OTHER_POOL, "a": APP}
OTHER_SAMPLERS = 2


class SoakFleet(GatewayFleet):
    """Gateways as processes; the store and samplers stay in this one."""

    def __init__(self, plan: GatewayPlan, folder: Path) -> None:
        """Write settings and logs into the folder; start nothing yet."""
        super().__init__(plan)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.faults = {f"g{n}": ProxyFaults() for n in range(plan.gateways)}
        self._addresses: dict[str, Address] = {}
        self.kept = KeptConnections()
        self.cloud = FakeCloud(self.rng)
        self._cloud_address: Address | None = None
        self.streams = StreamCallers(self._addresses, self.rng)
        self.cluster.make_output = make_stream_output
        self._folder = folder
        self._handler = PlatformStoreHandler()
        self.store = self._handler.store

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Run store, samplers, proxies and gateways; kill them at exit."""
        async with trio.open_nursery() as nursery:
            store = HttpServer(self._handler.handle)
            store_address = await _serve_on_loopback(
                nursery, store.handle_connection
            )
            self._cloud_address = await _serve_on_loopback(
                nursery,
                HttpServer(DutyHandler(self.cloud).handle).handle_connection,
            )
            self.write_configuration()
            kinds = (("s", 4), ("o", self.plan.other_samplers), ("a", 2))
            for kind, count in kinds:
                for number in range(count):
                    await self._serve_sampler(nursery, f"{kind}{number}")
            nursery.start_soon(self._update_instance_list)
            for name, faults in self.faults.items():
                proxy = StoreProxy(store_address, faults)
                address = await _serve_on_loopback(nursery, proxy.handle)
                self._write_settings(name, address)
                self.start_process(name)
            try:
                await trio.sleep(START_DELAY_S)
                yield
            finally:
                for process in self.processes.values():
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                    process.wait()
                nursery.cancel_scope.cancel()

    def start_process(self, name: str) -> None:
        """Start a gateway's process, unless it runs, with a log file."""
        running = self.processes.get(name)
        if running is not None and running.poll() is None:
            return
        log_file = open(self._folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "pistachiospar.cli", "gateway"]
            + ["--settings", str(self._folder / f"{name}.yaml")],
            stdout=log_file,
            stderr=log_file,
            env=dict(os.environ),
            preexec_fn=partial(_end_with_parent, os.getpid()),
        )

    async def call_kept(self, is_over: Callable[[], bool]) -> None:
        """Call all gateways over kept connections."""
        async with trio.open_nursery() as nursery:
            for name, address in self._addresses.items():
                nursery.start_soon(
                    self.kept.call_gateway, name, address, is_over
                )

    async def send_request(
        self,
        gateway: str,
        request: HttpRequest,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> ResponseRecorder | None:
        """Send a request over HTTP; None when no response came in time."""
        target = request.path + (f"?{request.query}" if request.query else "")
        # A request may bring a key of its own.
        headers = {AUTHORIZATION[0].lower(): AUTHORIZATION[1]}
        headers.update(request.headers)
        pool = HttpPool(self._addresses[gateway], 0.5)
        try:
            with trio.fail_after(timeout_s):
                response = await pool.fetch(
                    request.method,
                    target,
                    list(headers.items()),
                    request.body,
                    new_connection=True,
                )
        except (HttpError, trio.TooSlowError):
            return None
        recorder = ResponseRecorder()
        sent = list(response.headers.items())
        await recorder.send_response(response.status, sent, response.body)
        return recorder

    async def _serve_sampler(self, nursery: trio.Nursery, name: str) -> None:
        upstream = UPSTREAMS[name[0]]
        software = SOFTWARE_VERSIONS[int(name[1:]) % 2]
        self.add_sampler(name, upstream, software)
        server = HttpServer(SamplerHandler(self.cluster, name).handle)
        address = await _serve_on_loopback(nursery, server.handle_connection)
        self.addresses[name] = str(address)
        # Registered again, as the address is known only after listening.
        self.add_sampler(name, upstream, software)

    def _write_settings(self, name: str, store: Address) -> None:
        """Write a gateway's settings, with an IP address of its own."""
        high, low = divmod(os.getpid() % (MAX_SECOND_OCTET * 256), 256)
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
                "cloud": {
                    "address": str(self._cloud_address),
                    "duties": ["usage"],
                },
                "bounds": {"reportWindowS": WINDOW_S},
            }
        )
        (self._folder / f"{name}.yaml").write_bytes(text)


def _end_with_parent(parent: int) -> None:
    """Have the kernel kill this process when its parent ends."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        # The parent ended before the request.
        os._exit(1)


async def _serve_on_loopback(
    nursery: trio.Nursery,
    handle: Callable[[trio.SocketStream], Awaitable[None]],
) -> Address:
    """Serve on a free loopback port; return its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, handle, listeners)
    port = int(listeners[0].socket.getsockname()[1])
    return Address("127.0.0.1", port)


async def inject_series(
    fleet: SoakFleet, rng: Random, seconds: float, run: ScenarioRun
) -> None:
    """Inject series of faults; those of one gateway overlap too."""
    until = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            name = f"g{rng.randrange(fleet.plan.gateways)}"
            for _ in range(rng.randint(1, 4)):
                fault = rng.choice(SERIES_FAULTS)
                run.faults.append(f"{fault.__name__} {name}")
                nursery.start_soon(fault, fleet, name, rng)
                await trio.sleep(rng.uniform(0.0, 1.0))
            await trio.sleep(rng.uniform(0.2, 2.0))


async def inject_faults(
    fleet: SoakFleet, rng: Random, seconds: float, run: ScenarioRun
) -> None:
    """Inject overlapping faults, at most one per gateway at a time."""
    until = trio.current_time() + seconds
    busy: set[str] = set()

    async def inject_fault(name: str) -> None:
        fault = rng.choice(FAULTS)
        run.faults.append(f"{fault.__name__} {name}")
        await fault(fleet, name, rng)
        busy.discard(name)

    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            await trio.sleep(rng.uniform(0.2, 2.0))
            name = f"g{rng.randrange(fleet.plan.gateways)}"
            if rng.random() < 0.3:
                nursery.start_soon(degrade_sampler, fleet, rng)
            elif name not in busy:
                busy.add(name)
                nursery.start_soon(inject_fault, name)


async def soak_gateways(
    seed: int, seconds: float, folder: Path, series: bool, gateways: int
) -> ScenarioRun:
    """Run trainers under faults, then check what they saw."""
    rng = Random(seed)
    run = ScenarioRun(seed)
    plan = GatewayPlan(
        gateways=gateways,
        seed=seed,
        tenants=TENANTS,
        public_routes=("score",),
        other_samplers=OTHER_SAMPLERS,
    )
    fleet = SoakFleet(plan, folder)
    async with fleet.serve():
        async with trio.open_nursery() as nursery:
            inject = inject_series if series else inject_faults
            nursery.start_soon(inject, fleet, rng, seconds, run)
            over_at = trio.current_time() + seconds

            def is_over() -> bool:
                return trio.current_time() > over_at

            nursery.start_soon(fleet.streams.run, is_over)
            moves_rng = Random(f"moves {seed}")
            nursery.start_soon(move_rollouts, fleet, moves_rng, is_over)
            if series:
                nursery.start_soon(fleet.call_kept, is_over)
            for model in plan.models:
                nursery.start_soon(run_trainer, fleet, model, rng, run)
        for sampler in fleet.cluster.samplers.values():
            sampler.faults.down = False
            sampler.faults.slow_factor = 1.0
            sampler.faults.truncated_share = 0.0
        # A SIGHUP that hits a process before its handler is there ends it;
        # the platform would start it again.
        for name in fleet.processes:
            fleet.start_process(name)
        remove_organisation(fleet)
        await trio.sleep(SETTLE_DELAY_S)
        run.violations.extend(await probe_keys(fleet))
        for history in run.histories:
            await read_all_results(fleet, history, rng)
            run.violations.extend(check_submission(fleet, history))
        run.violations.extend(check_load_orders(fleet))
        run.violations.extend(find_key_violations(fleet.cluster.runs))
        run.violations.extend(find_duty_violations(fleet.cloud.arrivals))
        run.faults.append(f"{len(fleet.cloud.arrivals)} usage reports")
        run.violations.extend(fleet.kept.find_violations(fleet.cluster.runs))
        run.violations.extend(
            fleet.streams.find_violations(fleet.cluster.generated_software)
        )
        run.faults.append(fleet.streams.describe())
        if series:
            run.faults.append(f"{fleet.kept.answered} answered on kept")
        run.committed_count = sum(
            len(history.results) for history in run.histories
        )
    return run


def run_soak(
    seed: int,
    seconds: float,
    series: bool = False,
    gateways: int = GATEWAY_COUNT,
) -> ScenarioRun:
    """Run one seed; keep the logs in run/ if a guarantee is violated."""
    with TemporaryDirectory() as folder:
        run = trio.run(
            soak_gateways, seed, seconds, Path(folder), series, gateways
        )
        if run.violations:
            log_folder = Path("run") / f"soak-{seed}"
            log_folder.mkdir(parents=True, exist_ok=True)
            for log_file in Path(folder).glob("*.log"):
                (log_folder / log_file.name).write_bytes(log_file.read_bytes())
        return run


def main() -> int:
    """Run the seeds; return 1 if any of them failed."""
    parser = argparse.ArgumentParser(prog="bench.soak")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--series", action="store_true")
    parser.add_argument("--gateways", type=int, default=GATEWAY_COUNT)
    options = parser.parse_args()
    failed_seeds = 0
    for seed in range(options.first, options.first + options.seeds):
        run = run_soak(seed, options.seconds, options.series, options.gateways)
        failed_seeds += bool(run.violations)
        print(
            f"seed {seed}: {run.committed_count} committed, "
            f"{', '.join(run.faults)}"
        )
        for line in run.find_violations():
            print(f"  VIOLATION {line}")
    print(f"{options.seeds} seeds, {failed_seeds} failed")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
