"""Measure what each role needs, as slope and base of a fitted line.

Real entries and sidecars, idle, against a farm of small sidecars or a few
tasks that send heartbeats; the limits are those stated for control.
"""

import json
from pathlib import Path
import sys
import tempfile
import time
import tracemalloc
import urllib.request

import msgspec
from pistachiospar.adapters.http.client import Address
from pistachiospar.adapters.sidecar_link.client import NetworkSidecarLink
from pistachiospar.link.codec import encode_message
from pistachiospar.link.messages import Heartbeat
from pistachiospar.link.messages import HeldVersion
from pistachiospar.link.messages import Status
from pistachiospar.membership.const import MAX_HEARTBEATS_PER_S
from pistachiospar.membership.const import MAX_IDLE_HEARTBEATS
from pistachiospar.ports.instances import Instance
from pistachiospar.sidecar.models import Segment
from pistachiospar.trainers.cursor import encode_cursor
from pistachiospar.trainers.cursor import ReceivedSet
from pistachiospar.trainers.models import Group
from pistachiospar.trainers.models import Sample
from pistachiospar.trainers.models import StepBody
from pistachiospar.trainers.steps import OwnedStep
from pistachiospar_standins.fakes.fleet import public_keys
import trio

from .farm import get_partners
from .farm import HOST
from .models import Table
from .processes import BIN
from .processes import fit_series
from .processes import measure_cpu_share
from .processes import read_resident_mb
from .processes import run_process
from .processes import wait_for

LINKS = (1, 4, 16, 64, 128)
BEATERS = (1, 4, 16, 64)
IDLE_S = 6.0
SETTLE_S = 4.0
FIRST_PORT = 12000
LIMIT_CPU_SHARE = 0.013
LIMIT_MB = 64.0
LIMIT_BYTES_S = 6000.0
FULL_LINKS = 12_000 * 4 / 410
FULL_ENTRIES = 410
FRAME_BYTES = 2 * (52 + 20)
SAMPLES = 8_192
SAMPLERS = 12_000


def write_settings(folder: Path, name: str, values: dict[str, object]) -> Path:
    """Write a settings file."""
    path = folder / f"{name}.json5"
    keys = public_keys(get_partners())
    common = {"name": name, "zone": "riga-a", "first_partners": keys}
    common["log"] = str(folder / f"{name}.log")
    path.write_text(json.dumps({**common, **values}))
    return path


def fetch_counts(admin: str) -> dict[str, int]:
    """Return the counts of a process."""
    with urllib.request.urlopen(f"http://{admin}/state") as answer:
        return dict(json.load(answer)["counts"])


def measure_entry(folder: Path, links: int, offset: int) -> list[float]:
    """Return memory, processor share and heartbeats/s of an idle entry."""
    first = FIRST_PORT + offset
    admin = f"{HOST}:{first + 601}"
    settings = write_settings(
        folder,
        f"entry-{links}",
        {
            "region": "lv-riga",
            "listen": f"{HOST}:{first + 600}",
            "admin": admin,
            "peer": f"{HOST}:{first + 602}",
            "key_value": f"{HOST}:{first}",
            "instance_list": f"{HOST}:{first + 1}",
        },
    )
    farm = (sys.executable, "-m", "bench.farm", "--sidecars", str(links))
    with run_process(*farm, "--first-port", str(first)):
        command = (str(BIN / "pistachiospard"), "entry")
        with run_process(*command, "--settings", str(settings)) as process:
            wait_for(f"http://{admin}/readyz")
            time.sleep(SETTLE_S + links / 32)
            before = fetch_counts(admin)["heartbeats"]
            share = measure_cpu_share(process.pid, IDLE_S)
            beats = fetch_counts(admin)["heartbeats"] - before
            memory = read_resident_mb(process.pid)
    return [memory, share, beats / IDLE_S]


def measure_sidecar(folder: Path, beaters: int, offset: int) -> list[float]:
    """Return memory and processor share of a sidecar that is beaten."""
    first = FIRST_PORT + offset
    admin = f"{HOST}:{first + 3}"
    settings = write_settings(
        folder,
        f"sidecar-{beaters}",
        {
            "admin": admin,
            "upstream": "lampu-app",
            "kind": "plain",
            "upstream_address": f"{HOST}:{first}",
            "data": f"{HOST}:{first + 1}",
            "control": f"{HOST}:{first + 2}",
        },
    )
    command = (str(BIN / "pistachiospard"), "sidecar")
    with run_process(*command, "--settings", str(settings)) as process:
        wait_for(f"http://{admin}/healthz")
        found: list[float] = []

        async def beat_all() -> None:
            async with trio.open_nursery() as nursery:
                for number in range(beaters):
                    nursery.start_soon(beat, first, number)
                await trio.sleep(2.0)
                share = await trio.to_thread.run_sync(
                    measure_cpu_share, process.pid, IDLE_S
                )
                found.extend([read_resident_mb(process.pid), share])
                nursery.cancel_scope.cancel()

        trio.run(beat_all)
    return found


async def beat(first: int, number: int) -> None:
    """Send a heartbeat each second, as an entry does."""
    data, control = Address(HOST, first + 1), Address(HOST, first + 2)
    link = NetworkSidecarLink(data, control)
    await trio.sleep(number / 64)
    while True:
        await link.send_control(Heartbeat(f"entry-{number}", 0))
        await trio.sleep(1.0)


def measure(table: Table) -> None:
    """Measure all roles."""
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
        for number, links in enumerate(LINKS)
    ]
    sizes = [float(links) for links in LINKS]
    memory = fit_series(
        table, "entry memory", "links", "MB", sizes, [r[0] for r in rows]
    )
    table.add("entry: memory, base", memory.base, "MB")
    table.add("entry: memory, slope", memory.slope, "MB/link")
    table.add("entry: memory, residual", memory.residual, "MB")
    table.add("entry: memory, 16 links", rows[2][0], "MB", at_most=LIMIT_MB)
    table.add("entry: memory, full size", memory.at(FULL_LINKS), "MB")
    beats = [row[2] for row in rows]
    share = fit_series(
        table,
        "entry processor",
        "heartbeats/s",
        "of a core",
        beats,
        [row[1] for row in rows],
    )
    table.add("entry: processor, base", share.base, "of a core")
    table.add("entry: processor, slope", share.slope * 1e3, "ms/heartbeat")
    table.add("entry: processor, residual", share.residual, "of a core")
    table.add("entry: heartbeats at 128 links", beats[-1], "/s")
    table.add(
        "entry: processor, 16 links",
        rows[2][1],
        "of a core",
        at_most=LIMIT_CPU_SHARE,
    )
    table.add("entry: processor, 128 links", rows[-1][1], "of a core")


def measure_sidecars(table: Table, folder: Path) -> None:
    """Measure sidecars by the number of entries that beat them."""
    rows = [
        measure_sidecar(folder, beaters, 5000 + 10 * number)
        for number, beaters in enumerate(BEATERS)
    ]
    sizes = [float(beaters) for beaters in BEATERS]
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
    table.add("sidecar: memory, 4 entries", rows[1][0], "MB", LIMIT_MB)
    table.add("sidecar: processor, base", share.base, "of a core")
    table.add("sidecar: processor, slope", share.slope * 1e3, "ms/heartbeat")
    table.add("sidecar: processor, residual", share.residual, "of a core")
    table.add(
        "sidecar: processor, 4 entries",
        rows[1][1],
        "of a core",
        at_most=LIMIT_CPU_SHARE,
    )


def measure_messages(table: Table) -> None:
    """Measure the bytes of control messages."""
    beat = encode_message(Heartbeat("entry-riga-a-1", 64_000))
    held = [HeldVersion(f"trainer-{n}", 1000) for n in range(3)]
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
            held,
            1,
            [],
            20.125,
        )
    )
    both = len(beat) + len(status) + FRAME_BYTES
    table.add("link: heartbeat", len(beat), "bytes")
    table.add("link: status, 3 models", len(status), "bytes")
    table.add(
        "entry: control, full size, idle",
        both * MAX_HEARTBEATS_PER_S,
        "bytes/s",
        at_most=LIMIT_BYTES_S,
    )
    table.add(
        "entry: control, full size, quiet attempts everywhere",
        both * (MAX_HEARTBEATS_PER_S + MAX_IDLE_HEARTBEATS),
        "bytes/s",
    )
    table.add(
        "sidecar: control, 4 entries",
        both * 4 * MAX_HEARTBEATS_PER_S / FULL_LINKS,
        "bytes/s",
        at_most=LIMIT_BYTES_S,
    )
    measure_list(table)


def measure_list(table: Table) -> None:
    """Measure the memory of the instance list as an entry holds it."""
    instances = [
        Instance(
            f"lm-pool-{n}",
            "lm-pool",
            f"zone-{n % 7}",
            f"10.0.{n % 256}.{n // 256}:9000",
            f"10.0.{n % 256}.{n // 256}:9001",
        )
        for n in range(SAMPLERS)
    ]
    data = msgspec.json.encode(instances)
    del instances
    tracemalloc.start()
    found = msgspec.json.decode(data, type=list[Instance])
    held = {instance.name: instance for instance in found}
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    table.add("entry: instance list", size / len(held), "bytes/instance")
    table.add("entry: instance list, 12,000", size / 1e6, "MB")


def measure_steps(table: Table) -> None:
    """Measure a step's cursor, memory and time at its owner."""
    body = StepBody(
        "engine",
        1,
        1000,
        [Group(f"g{n}", "x" * 2000, 8) for n in range(SAMPLES // 8)],
    )
    owned = OwnedStep("t", "s", body, 0.0)
    received = ReceivedSet(SAMPLES)
    for ordinal in range(0, SAMPLES, 3):
        received.add(ordinal)
    cursor = encode_cursor(owned.digest, received)
    table.add("step: cursor, a third taken", len(cursor), "bytes")
    text = "word " * 1000
    sample = Sample("g1", 1, text, [Segment(1, 1000)])
    encoded = len(msgspec.json.encode(sample))
    table.add("step: a sample of 1,000 tokens", encoded, "bytes")
    for ordinal in range(SAMPLES):
        owned.samples[ordinal] = sample
    started = time.process_time()
    answer = owned.collect_batch(ReceivedSet(SAMPLES), 256)
    msgspec.json.encode(answer)
    spent = time.process_time() - started
    table.add("step: a pull of 256 samples", spent * 1e3, "ms")
