"""Benchmark of the request path on loopback: added latency, requests a core.

One entry, one sidecar and one plain service, each a process, serve a closed
loop of callers. CPU times are read from the operating system.
"""

from pathlib import Path
import sys
import tempfile
import time

from pistachiospar.adapters.http.address import parse_address
from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.models import Headers
import trio

from .fleets import ROOT_FOLDER
from .models import Table
from .processes import read_cpu_s

sys.path.insert(0, str(ROOT_FOLDER / "scripts"))

from deployment import DeploymentPlan  # noqa: E402
from deployment import LV_RIGA  # noqa: E402
from deployment import make_free_port_finder  # noqa: E402
from deployment import UpstreamPlan  # noqa: E402
from deployment import write_deployment  # noqa: E402
from fleet import Fleet  # noqa: E402
from fleet import run_fleet  # noqa: E402
from operators import generate_keys  # noqa: E402
from operators import roll_bundle  # noqa: E402

CALL_COUNT = 1500
CONCURRENCY = 16
CALLER: Headers = [("Pistachiospar-Caller", "booking-app")]
DESIGN_REQUESTS_PER_S = 15_000 / 410


async def run_closed_loop(
    address: str,
    target: str,
    call_count: int,
    concurrency: int,
    headers: Headers,
) -> list[float]:
    """Send GETs in concurrent closed loops; return sorted durations in s."""
    pool = HttpPool(parse_address(address))
    durations: list[float] = []

    async def send_calls() -> None:
        for _ in range(call_count // concurrency):
            started = time.perf_counter()
            response = await pool.fetch("GET", target, headers)
            assert response.status == 200, response
            durations.append(time.perf_counter() - started)

    async with trio.open_nursery() as nursery:
        for _ in range(concurrency):
            nursery.start_soon(send_calls)
    return sorted(durations)


def measure(table: Table) -> None:
    """Run a minimal deployment and measure its request path."""
    plan = DeploymentPlan(
        name="path",
        zones=("riga-a",),
        entries=1,
        upstreams=(UpstreamPlan("lampu-app", "plain", 1, ("riga-a",), 64),),
        bundle=LV_RIGA.bundle,
    )
    with tempfile.TemporaryDirectory(prefix="pistachiospar-") as path:
        folder = Path(path)
        partners = [str(p["name"]) for p in LV_RIGA.bundle["partners"]]
        keys = generate_keys(folder / "keys", partners)
        deployment = write_deployment(
            folder, plan, make_free_port_finder(), keys
        )
        with run_fleet(deployment) as fleet:
            fleet.wait_ready("sidecar")
            roll_bundle(deployment, folder / "keys", folder / "bundle.json5")
            fleet.wait_ready("entry")
            measure_fleet(table, fleet)
            fleet.stop_all()


def measure_fleet(table: Table, fleet: Fleet) -> None:
    """Measure latencies at concurrency 1, then CPU times under load."""
    entry_address = fleet.deployment.entries[0]
    service_address = fleet.deployment.find_process(
        "upstream-lampu-app-1"
    ).listen
    target = "/upstreams/lampu-app/lookup/x"
    trio.run(run_closed_loop, entry_address, target, 200, 4, CALLER)
    direct_s = trio.run(
        run_closed_loop, service_address, "/lookup/x", 600, 1, CALLER
    )
    proxied_s = trio.run(
        run_closed_loop, entry_address, target, 600, 1, CALLER
    )
    added_s = proxied_s[len(proxied_s) // 2] - direct_s[len(direct_s) // 2]
    table.add("path: direct p50", direct_s[len(direct_s) // 2] * 1e3, "ms")
    table.add("path: through entry and sidecar p50", added_s * 1e3, "ms added")
    entry_pid = fleet.running["entry-1"].pid
    sidecar_pid = fleet.running["lampu-app-1"].pid
    cpu_before_s = read_cpu_s(entry_pid), read_cpu_s(sidecar_pid)
    started = time.perf_counter()
    trio.run(
        run_closed_loop, entry_address, target, CALL_COUNT, CONCURRENCY, CALLER
    )
    elapsed_s = time.perf_counter() - started
    entry_s = read_cpu_s(entry_pid) - cpu_before_s[0]
    sidecar_s = read_cpu_s(sidecar_pid) - cpu_before_s[1]
    completed = CALL_COUNT // CONCURRENCY * CONCURRENCY
    table.add("path: closed loop of 16", completed / elapsed_s, "requests/s")
    table.add("entry: processor a request", entry_s / completed * 1e3, "ms")
    table.add(
        "sidecar: processor a request", sidecar_s / completed * 1e3, "ms"
    )
    table.add(
        "entry: requests a core",
        completed / entry_s,
        "requests/s",
        at_least=DESIGN_REQUESTS_PER_S,
    )
    table.add("sidecar: requests a core", completed / sidecar_s, "requests/s")
