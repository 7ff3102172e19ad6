"""Run the acceptance of requests, training and bundles on real processes.

    python scripts/acceptance.py requests|training|bundles

Processes are killed with SIGKILL while work goes on. Exits with 1 when a
promise broke.
"""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
from collections import Counter
import json
from pathlib import Path
import sys
import tempfile
import time
import urllib.request

import msgspec
from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.client import parse_address
from pistachiospar.adapters.http.errors import HttpError
from pistachiospar.trainers.models import Group
from pistachiospar.trainers.models import StepBody
from pistachiospar_standins.caller.client import Caller
from pistachiospar_standins.trainer.client import Trainer
import trio

from deployment import find_free_ports
from deployment import LV_RIGA
from deployment import write_deployment
from fleet import Fleet
from fleet import run_fleet
from operators import generate_keys
from operators import roll_bundle
from operators import run_ctl

RECORDS = 400
BUNDLES = 50
POLL_S = 0.05
IN_FORCE_S = 4.0


def set_faults(address: str, values: dict[str, object]) -> None:
    """Set the faults of a stand-in."""
    request = urllib.request.Request(
        f"http://{address}/admin/faults",
        json.dumps(values).encode(),
        method="POST",
    )
    urllib.request.urlopen(request, timeout=5.0).close()


async def accept_requests(fleet: Fleet, keys: Path) -> list[str]:
    """Record weights while sidecar, entry and upstream are killed."""
    deployment = fleet.deployment
    caller = Caller("weight-log", deployment.entries, 4000)

    async def strike() -> None:
        await trio.sleep(1.0)
        fleet.kill("lampu-app-1")
        await trio.sleep(1.0)
        fleet.kill("entry-2")
        await trio.sleep(1.0)
        fleet.start("lampu-app-1")
        fleet.kill("upstream-lampu-app-2")
        await trio.sleep(1.0)
        fleet.start("entry-2")

    killed = await _read_runs(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(strike)
        for number in range(RECORDS):
            nursery.start_soon(caller.record, "lampu-app", f"k{number}")
            await trio.sleep(0.0125)
            if number % 10 == 0:
                killed = killed | await _read_runs(fleet)
    runs = killed | await _read_runs(fleet)
    broken = list(caller.log.wrong)
    for key, outcome in caller.log.by_key.items():
        times = runs[key]
        if times > 1:
            broken.append(f"{key} ran {times} times")
        if outcome == "not-run" and times:
            broken.append(f"{key} not-run, and ran")
    print("records:", dict(caller.log.outcomes))
    return broken


async def _read_runs(fleet: Fleet) -> Counter[str]:
    """Return the runs of all services that live."""
    runs: Counter[str] = Counter()
    for plan in fleet.deployment.processes:
        if plan.kind == "service" and plan.name in fleet.running:
            pool = HttpPool(parse_address(plan.listen))
            try:
                answer = await pool.fetch("GET", "/admin/runs")
            except HttpError:
                continue
            runs.update(msgspec.json.decode(answer.body))
    return runs


async def accept_training(fleet: Fleet, keys: Path) -> list[str]:
    """Pull a step while entry, sidecar and engine die, the service down."""
    deployment = fleet.deployment
    trainer = Trainer("routes", deployment.entries)
    source = f"http://{deployment.weight_store}/weights/routes/1"
    await trainer.announce_weights(1, source)
    await trio.sleep(6.0)
    body = StepBody(
        "lm-pool",
        1,
        256,
        [Group(f"g{n}", f"Plan route {n}", 8) for n in range(64)],
    )

    async def strike() -> None:
        await trio.sleep(0.7)
        set_faults(deployment.key_value, {"down": True})
        fleet.kill("entry-1")
        await trio.sleep(0.3)
        fleet.kill("lm-pool-1")
        fleet.kill("upstream-lm-pool-2")

    started = time.monotonic()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(strike)
        record = await trainer.run_step("s1", body, 120.0)
    broken: list[str] = []
    if len(record.samples) != 512:
        broken.append(f"{len(record.samples)} samples of 512")
    if record.count_duplicates():
        broken.append(f"{record.count_duplicates()} doubled")
    if record.count_mislabelled():
        broken.append(f"{record.count_mislabelled()} mislabelled")
    print(
        f"step of {len(record.samples)} samples whole after "
        f"{time.monotonic() - started:.1f} s, {record.failures} calls failed"
    )
    return broken


async def accept_bundles(fleet: Fleet, keys: Path) -> list[str]:
    """Roll 50 bundles through lost replies and two outages."""
    deployment = fleet.deployment
    address = deployment.key_value
    seen: dict[str, list[int]] = {}
    broken: list[str] = []
    base = msgspec.json.decode(
        deployment.folder.joinpath("bundle.json5")
        .read_text()
        .partition("\n")[2]
    )

    def operate() -> None:
        for number in range(BUNDLES):
            base["name"] = f"lv-riga-{number}"
            file = deployment.folder / "next.json5"
            file.write_text(json.dumps(base))
            broken.extend(_roll_once(address, keys, file, number + 2))

    async def disturb() -> None:
        set_faults(address, {"lose_reply_every": 3})
        for _ in range(2):
            await trio.sleep(15.0)
            set_faults(address, {"down": True})
            await trio.sleep(10.0)
            set_faults(address, {"down": False})

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_versions, fleet, seen)
        async with trio.open_nursery() as both:
            both.start_soon(disturb)
            await trio.to_thread.run_sync(operate)
        started = time.monotonic()
        target = BUNDLES + 1
        while min(versions[-1] for versions in seen.values()) < target:
            await trio.sleep(POLL_S)
            if time.monotonic() - started > IN_FORCE_S:
                broken.append(f"after {IN_FORCE_S} s: {seen}")
                break
        took_s = time.monotonic() - started
        nursery.cancel_scope.cancel()
    for name, versions in seen.items():
        if versions != sorted(versions):
            broken.append(f"{name} went back: {versions}")
    print(f"{len(seen)} processes at {target}, the last after {took_s:.2f} s")
    return broken


def _roll_once(
    address: str, keys: Path, file: Path, version: int
) -> list[str]:
    """Roll one bundle; ask again only where the tool says unknown."""
    target = ("--key-value", address)
    digest = ""
    while not digest:
        status, proposed = run_ctl(*target, "bundle", "propose", str(file))
        digest = proposed.get("digest", "")
    for key in sorted(keys.glob("*.key")):
        sign = ("bundle", "sign", digest, "--partner", key.stem)
        while run_ctl(*target, *sign, "--key", str(key))[0]:
            pass
    status, rolled = run_ctl(*target, "bundle", "roll", digest)
    if status or rolled.get("version") != version:
        return [f"roll of version {version}: {status} {rolled}"]
    return []


async def _watch_versions(fleet: Fleet, seen: dict[str, list[int]]) -> None:
    """Note the versions that each process has in force."""
    while True:
        for plan in fleet.deployment.processes:
            if plan.kind not in ("entry", "sidecar"):
                continue
            pool = HttpPool(parse_address(plan.admin))
            try:
                answer = await pool.fetch("GET", "/state")
            except HttpError:
                continue
            state = msgspec.json.decode(answer.body)
            versions = seen.setdefault(plan.name, [])
            version = state["bundle"]["version"]
            if not versions or versions[-1] != version:
                versions.append(version)
        await trio.sleep(POLL_S)


Scenario = Callable[[Fleet, Path], Awaitable[list[str]]]
SCENARIOS: dict[str, Scenario] = {
    "requests": accept_requests,
    "training": accept_training,
    "bundles": accept_bundles,
}


def run_scenario(name: str) -> list[str]:
    """Run one scenario on a new deployment."""
    with tempfile.TemporaryDirectory(prefix="pistachiospar-") as path:
        folder = Path(path)
        partners = [str(p["name"]) for p in LV_RIGA.bundle["partners"]]
        public_keys = generate_keys(folder / "keys", partners)
        deployment = write_deployment(
            folder, LV_RIGA, find_free_ports(), public_keys
        )
        with run_fleet(deployment) as fleet:
            fleet.wait_ready("sidecar")
            roll_bundle(deployment, folder / "keys", folder / "bundle.json5")
            fleet.wait_ready("entry")
            broken = trio.run(SCENARIOS[name], fleet, folder / "keys")
            fleet.stop_all()
    return broken


def main() -> int:
    """Run the named scenarios; return the exit status."""
    parser = argparse.ArgumentParser(prog="acceptance")
    parser.add_argument("names", nargs="*", default=list(SCENARIOS))
    failed = 0
    for name in parser.parse_args().names:
        print(f"== {name}", flush=True)
        broken = run_scenario(name)
        failed += len(broken)
        for line in broken:
            print("BROKEN:", line)
    print("every promise kept" if not failed else "promises broke")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
