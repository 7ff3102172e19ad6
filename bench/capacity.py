"""Benchmark of the memory, CPU and control traffic of idle processes.

An entry runs against a farm of small sidecars, and a sidecar against tasks
that send heartbeats; lines are fitted to the figures by size. The bounds are
the targets stated for control traffic.
"""

import json
from pathlib import Path
import sys
import tempfile
import time
import tracemalloc
import urllib.request

import msgspec
from pistachiospar.adapters.http.address import Address
from pistachiospar.adapters.sidecar_link.client import NetworkSidecarLink
from pistachiospar.link.codec import encode_message
from pistachiospar.link.messages import Heartbeat
from pistachiospar.link.messages import HeldVersion
from pistachiospar.link.messages import Status
from pistachiospar.membership.const import MAX_HEARTBEATS_PER_S
from pistachiospar.membership.const import MAX_IDLE_QUERIES_PER_POLL
from pistachiospar.ports.instances import Instance
from pistachiospar.sidecar.models import Segment
from pistachiospar.trainers.cursor import encode_cursor
from pistachiospar.trainers.cursor import ReceivedSet
from pistachiospar.trainers.models import Group
from pistachiospar.trainers.models import Sample
from pistachiospar.trainers.models import StepBody
from pistachiospar.trainers.steps import OwnedStep
from pistachiospar_standins.fakes.entry_fleet import list_public_keys
import trio

from .farm import HOST
from .farm import list_partners
from .models import Table
from .processes import BIN_FOLDER
from .processes import fit_series
from .processes import measure_cpu_share
from .processes import read_resident_mb
from .processes import run_process
from .processes import wait_until_ok

LINK_COUNTS = (1, 4, 16, 64, 128)
ENTRY_COUNTS = (1, 4, 16, 64)
MEASURE_DURATION_S = 6.0
SETTLE_DELAY_S = 4.0
FIRST_PORT = 12000
MAX_CPU_SHARE = 0.013
MAX_MEMORY_MB = 64.0
MAX_CONTROL_BYTES_PER_S = 6000.0
# Links of an entry: 12,000 samplers have 4 each, spread over 410 entries.
FULL_SIZE_LINKS = 12_000 * 4 / 410
FULL_SIZE_ENTRIES = 410
FRAME_BYTES = 2 * (52 + 20)
SAMPLE_COUNT = 8_192
SAMPLER_COUNT = 12_000


def write_settings(folder: Path, name: str, values: dict[str, object]) -> Path:
    """Write a settings file with the common keys and these values."""
    path = folder / f"{name}.json5"
    keys = list_public_keys(list_partners())
    common = {"name": name, "zone": "riga-a", "first_partners": keys}
    common["log"] = str(folder / f"{name}.log")
    path.write_text(json.dumps({**common, **values}))
    return path


def fetch_counts(admin: str) -> dict[str, int]:
    """Return the counters of a process, read from its admin port."""
    with urllib.request.urlopen(f"http://{admin}/state") as response:
        return dict(json.load(response)["counts"])


def measure_entry(folder: Path, links: int, port_offset: int) -> list[float]:
    """Return memory in MB, share of a core, heartbeats/s of an idle entry."""
    first_port = FIRST_PORT + port_offset
    admin = f"{HOST}:{first_port + 601}"
    settings = write_settings(
        folder,
        f"entry-{links}",
        {
            "region": "lv-riga",
            "listen": f"{HOST}:{first_port + 600}",
            "admin": admin,
            "peer": f"{HOST}:{first_port + 602}",
            "key_value": f"{HOST}:{first_port}",
            "instance_list": f"{HOST}:{first_port + 1}",
        },
    )
    farm = (sys.executable, "-m", "bench.farm", "--sidecars", str(links))
    with run_process(*farm, "--first-port", str(first_port)):
        command = (str(BIN_FOLDER / "pistachiospard"), "entry")
        with run_process(*command, "--settings", str(settings)) as process:
            wait_until_ok(f"http://{admin}/readyz")
            time.sleep(SETTLE_DELAY_S + links / 32)
            before = fetch_counts(admin)["heartbeats"]
            share = measure_cpu_share(process.pid, MEASURE_DURATION_S)
            heartbeats = fetch_counts(admin)["heartbeats"] - before
            memory = read_resident_mb(process.pid)
    return [memory, share, heartbeats / MEASURE_DURATION_S]


def measure_sidecar(
    folder: Path, entries: int, port_offset: int
) -> list[float]:
    """Return memory in MB and share of a core of an idle sidecar."""
    first_port = FIRST_PORT + port_offset
    admin = f"{HOST}:{first_port + 3}"
    settings = write_settings(
        folder,
        f"sidecar-{entries}",
        {
            "admin": admin,
            "upstream": "lampu-app",
            "kind": "plain",
            "upstream_address": f"{HOST}:{first_port}",
            "data": f"{HOST}:{first_port + 1}",
            "control": f"{HOST}:{first_port + 2}",
        },
    )
    command = (str(BIN_FOLDER / "pistachiospard"), "sidecar")
    with run_process(*command, "--settings", str(settings)) as process:
        wait_until_ok(f"http://{admin}/healthz")
        measured: list[float] = []

        async def run_heartbeats() -> None:
            async with trio.open_nursery() as nursery:
                for number in range(entries):
                    nursery.start_soon(send_heartbeats, first_port, number)
                await trio.sleep(2.0)
                share = await trio.to_thread.run_sync(
                    measure_cpu_share, process.pid, MEASURE_DURATION_S
                )
                measured.extend([read_resident_mb(process.pid), share])
                nursery.cancel_scope.cancel()

        trio.run(run_heartbeats)
    return measured


async def send_heartbeats(first_port: int, number: int) -> None:
    """Send a heartbeat each second, as an entry does."""
    data, control = (
        Address(HOST, first_port + 1),
        Address(HOST, first_port + 2),
    )
    link = NetworkSidecarLink(data, control)
    await trio.sleep(number / 64)
    while True:
        await link.send_control(Heartbeat(f"entry-{number}", 0))
        await trio.sleep(1.0)


def measure(table: Table) -> None:
    """Measure processes, messages, the instance list and steps."""
    with tempfile.TemporaryDirectory(prefix="pistachiospar-") as path:
        folder = Path(path)
        measure_entries(table, folder)
        measure_sidecars(table, folder)
    measure_messages(table)
    measure_steps(table)


def measure_entries(table: Table, folder: Path) -> None:
    """Measure idle entries by their number of links."""
    rows = [
        measure_entry(folder, links, 700 * number)
        for number, links in enumerate(LINK_COUNTS)
    ]
    sizes = [float(links) for links in LINK_COUNTS]
    memory = fit_series(
        table, "entry memory", "links", "MB", sizes, [r[0] for r in rows]
    )
    table.add("entry: memory, base", memory.base, "MB")
    table.add("entry: memory, slope", memory.slope, "MB/link")
    table.add("entry: memory, residual", memory.residual, "MB")
    table.add(
        "entry: memory, 16 links", rows[2][0], "MB", at_most=MAX_MEMORY_MB
    )
    table.add(
        "entry: memory, full size", memory.predict(FULL_SIZE_LINKS), "MB"
    )
    heartbeats = [row[2] for row in rows]
    share = fit_series(
        table,
        "entry processor",
        "heartbeats/s",
        "of a core",
        heartbeats,
        [row[1] for row in rows],
    )
    table.add("entry: processor, base", share.base, "of a core")
    table.add("entry: processor, slope", share.slope * 1e3, "ms/heartbeat")
    table.add("entry: processor, residual", share.residual, "of a core")
    table.add("entry: heartbeats at 128 links", heartbeats[-1], "/s")
    table.add(
        "entry: processor, 16 links",
        rows[2][1],
        "of a core",
        at_most=MAX_CPU_SHARE,
    )
    table.add("entry: processor, 128 links", rows[-1][1], "of a core")


def measure_sidecars(table: Table, folder: Path) -> None:
    """Measure sidecars by the number of entries that send heartbeats."""
    rows = [
        measure_sidecar(folder, entries, 5000 + 10 * number)
        for number, entries in enumerate(ENTRY_COUNTS)
    ]
    sizes = [float(entries) for entries in ENTRY_COUNTS]
    memory = fit_series(
        table, "sidecar memory", "entries", "MB", sizes, [r[0] for r in rows]
    )
    share = fit_series(
        table,
        "sidecar processor",
        "heartbeats/s",
        "of a core",
        sizes,
        [row[1] for row in rows],
    )
    table.add("sidecar: memory, base", memory.base, "MB")
    table.add("sidecar: memory, slope", memory.slope, "MB/entry")
    table.add("sidecar: memory, residual", memory.residual, "MB")
    table.add("sidecar: memory, 4 entries", rows[1][0], "MB", MAX_MEMORY_MB)
    table.add("sidecar: processor, base", share.base, "of a core")
    table.add("sidecar: processor, slope", share.slope * 1e3, "ms/heartbeat")
    table.add("sidecar: processor, residual", share.residual, "of a core")
    table.add(
        "sidecar: processor, 4 entries",
        rows[1][1],
        "of a core",
        at_most=MAX_CPU_SHARE,
    )


def measure_messages(table: Table) -> None:
    """Measure the sizes of control messages and the resulting traffic."""
    heartbeat = encode_message(Heartbeat("entry-riga-a-1", 64_000))
    held_versions = [HeldVersion(f"trainer-{n}", 1000) for n in range(3)]
    status = encode_message(
        Status(
            "lm-pool-12000",
            "0123456789abcdef",
            True,
            False,
            86_400.5,
            64_000,
            16,
            12,
            4,
            4096,
            held_versions,
            1,
            [],
            20.125,
        )
    )
    round_trip_bytes = len(heartbeat) + len(status) + FRAME_BYTES
    table.add("link: heartbeat", len(heartbeat), "bytes")
    table.add("link: status, 3 models", len(status), "bytes")
    table.add(
        "entry: control, full size, idle",
        round_trip_bytes * MAX_HEARTBEATS_PER_S,
        "bytes/s",
        at_most=MAX_CONTROL_BYTES_PER_S,
    )
    table.add(
        "entry: control, full size, quiet attempts everywhere",
        round_trip_bytes * (MAX_HEARTBEATS_PER_S + MAX_IDLE_QUERIES_PER_POLL),
        "bytes/s",
    )
    table.add(
        "sidecar: control, 4 entries",
        round_trip_bytes * 4 * MAX_HEARTBEATS_PER_S / FULL_SIZE_LINKS,
        "bytes/s",
        at_most=MAX_CONTROL_BYTES_PER_S,
    )
    measure_list(table)


def measure_list(table: Table) -> None:
    """Measure the memory of an entry's instance list at full size."""
    instances = [
        Instance(
            f"lm-pool-{n}",
            "lm-pool",
            f"zone-{n % 7}",
            f"10.0.{n % 256}.{n // 256}:9000",
            f"10.0.{n % 256}.{n // 256}:9001",
        )
        for n in range(SAMPLER_COUNT)
    ]
    data = msgspec.json.encode(instances)
    del instances
    tracemalloc.start()
    decoded = msgspec.json.decode(data, type=list[Instance])
    by_name = {instance.name: instance for instance in decoded}
    list_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    table.add(
        "entry: instance list", list_bytes / len(by_name), "bytes/instance"
    )
    table.add("entry: instance list, 12,000", list_bytes / 1e6, "MB")


def measure_steps(table: Table) -> None:
    """Measure a step's cursor and sample sizes, and the time of a pull."""
    body = StepBody(
        "engine",
        1,
        1000,
        [Group(f"g{n}", "x" * 2000, 8) for n in range(SAMPLE_COUNT // 8)],
    )
    owned_step = OwnedStep("t", "s", body, 0.0)
    received = ReceivedSet(SAMPLE_COUNT)
    for ordinal in range(0, SAMPLE_COUNT, 3):
        received.add(ordinal)
    cursor = encode_cursor(owned_step.digest, received)
    table.add("step: cursor, a third taken", len(cursor), "bytes")
    text = "word " * 1000
    sample = Sample("g1", 1, text, [Segment(1, 1000)])
    encoded = len(msgspec.json.encode(sample))
    table.add("step: a sample of 1,000 tokens", encoded, "bytes")
    for ordinal in range(SAMPLE_COUNT):
        owned_step.samples[ordinal] = sample
    started = time.process_time()
    response = owned_step.collect_batch(ReceivedSet(SAMPLE_COUNT), 256)
    msgspec.json.encode(response)
    spent_s = time.process_time() - started
    table.add("step: a pull of 256 samples", spent_s * 1e3, "ms")
