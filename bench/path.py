"""Measure the real path on loopback: latency added, requests a core.

One entry, one sidecar and one plain service, each a process; a closed loop
of callers. Processor time is read from the operating system.
"""

from pathlib import Path
import sys
import tempfile
import time

from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.client import parse_address
from pistachiospar.adapters.http.models import Headers
import trio

from .fleets import ROOT
from .models import Table
from .processes import read_cpu_s

sys.path.insert(0, str(ROOT / "scripts"))

from deployment import DeploymentPlan  # noqa: E402
from deployment import find_free_ports  # noqa: E402
from deployment import LV_RIGA  # noqa: E402
from deployment import UpstreamPlan  # noqa: E402
from deployment import write_deployment  # noqa: E402
from fleet import Fleet  # noqa: E402
from fleet import run_fleet  # noqa: E402
from operators import generate_keys  # noqa: E402
from operators import roll_bundle  # noqa: E402

CALLS = 1500
WIDTH = 16
CALLER: Headers = [("Pistachiospar-Caller", "booking-app")]
DESIGN_RATE = 15_000 / 410


async def call_often(
    address: str, target: str, calls: int, width: int, headers: Headers
) -> list[float]:
    """Call in a closed loop; return the durations in seconds."""
    pool = HttpPool(parse_address(address))
    durations: list[float] = []

    async def loop() -> None:
        for _ in range(calls // width):
            started = time.perf_counter()
            answer = await pool.fetch("GET", target, headers)
            assert answer.status == 200, answer
            durations.append(time.perf_counter() - started)

    async with trio.open_nursery() as nursery:
        for _ in range(width):
            nursery.start_soon(loop)
    return sorted(durations)


def measure(table: Table) -> None:
    """Measure the path."""
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
        made = write_deployment(folder, plan, find_free_ports(), keys)
        with run_fleet(made) as fleet:
            fleet.wait_ready("sidecar")
            roll_bundle(made, folder / "keys", folder / "bundle.json5")
            fleet.wait_ready("entry")
            measure_fleet(table, fleet)
            fleet.stop_all()


def measure_fleet(table: Table, fleet: Fleet) -> None:
    """Measure a running fleet."""
    entry = fleet.deployment.entries[0]
    service = fleet.deployment.find("upstream-lampu-app-1").listen
    target = "/upstreams/lampu-app/lookup/x"
    trio.run(call_often, entry, target, 200, 4, CALLER)
    direct = trio.run(call_often, service, "/lookup/x", 600, 1, CALLER)
    through = trio.run(call_often, entry, target, 600, 1, CALLER)
    added = through[len(through) // 2] - direct[len(direct) // 2]
    table.add("path: direct p50", direct[len(direct) // 2] * 1e3, "ms")
    table.add("path: through entry and sidecar p50", added * 1e3, "ms added")
    entry_pid = fleet.running["entry-1"].pid
    sidecar_pid = fleet.running["lampu-app-1"].pid
    before = read_cpu_s(entry_pid), read_cpu_s(sidecar_pid)
    started = time.perf_counter()
    trio.run(call_often, entry, target, CALLS, WIDTH, CALLER)
    spent = time.perf_counter() - started
    entry_s = read_cpu_s(entry_pid) - before[0]
    sidecar_s = read_cpu_s(sidecar_pid) - before[1]
    done = CALLS // WIDTH * WIDTH
    table.add("path: closed loop of 16", done / spent, "requests/s")
    table.add("entry: processor a request", entry_s / done * 1e3, "ms")
    table.add("sidecar: processor a request", sidecar_s / done * 1e3, "ms")
    table.add(
        "entry: requests a core",
        done / entry_s,
        "requests/s",
        at_least=DESIGN_RATE,
    )
    table.add("sidecar: requests a core", done / sidecar_s, "requests/s")
