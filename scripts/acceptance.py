"""Run the acceptance scenarios on processes of the lv-riga deployment.

    python scripts/acceptance.py requests|training|bundles

Processes are killed with SIGKILL under load. Exits with 1 when a guarantee
was violated.
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
from pistachiospar.adapters.http.address import parse_address
from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.errors import HttpError
from pistachiospar.trainers.models import Group
from pistachiospar.trainers.models import StepBody
from pistachiospar_standins.caller.client import Caller
from pistachiospar_standins.trainer.client import Trainer
import trio

from deployment import LV_RIGA
from deployment import make_free_port_finder
from deployment import write_deployment
from fleet import Fleet
from fleet import run_fleet
from operators import generate_keys
from operators import roll_bundle
from operators import run_ctl

RECORD_COUNT = 400
BUNDLE_COUNT = 50
POLL_INTERVAL_S = 0.05
MAX_IN_FORCE_S = 4.0


def set_faults(address: str, faults: dict[str, object]) -> None:
    """Set the faults of a stand-in over HTTP."""
    request = urllib.request.Request(
        f"http://{address}/admin/faults",
        json.dumps(faults).encode(),
        method="POST",
    )
    urllib.request.urlopen(request, timeout=5.0).close()


async def check_requests(fleet: Fleet, keys: Path) -> list[str]:
    """Send records with keys while processes of three kinds are killed.

    They are a sidecar, an entry and an upstream.

    Return the guarantees that were violated, here as in the other scenarios.
    """
    deployment = fleet.deployment
    caller = Caller("weight-log", deployment.entries, 4000)

    async def inject_faults() -> None:
        await trio.sleep(1.0)
        fleet.kill("lampu-app-1")
        await trio.sleep(1.0)
        fleet.kill("entry-2")
        await trio.sleep(1.0)
        fleet.start("lampu-app-1")
        fleet.kill("upstream-lampu-app-2")
        await trio.sleep(1.0)
        fleet.start("entry-2")

    observed_runs = await _read_runs(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(inject_faults)
        for number in range(RECORD_COUNT):
            nursery.start_soon(caller.record, "lampu-app", f"k{number}")
            await trio.sleep(0.0125)
            if number % 10 == 0:
                observed_runs = observed_runs | await _read_runs(fleet)
    runs = observed_runs | await _read_runs(fleet)
    violations = list(caller.log.violations)
    for key, outcome in caller.log.by_key.items():
        run_count = runs[key]
        if run_count > 1:
            violations.append(f"{key} ran {run_count} times")
        if outcome == "not-run" and run_count:
            violations.append(f"{key} not-run, but ran")
    print("records:", dict(caller.log.outcomes))
    return violations


async def _read_runs(fleet: Fleet) -> Counter[str]:
    """Return how often each key ran, over the services that respond."""
    runs: Counter[str] = Counter()
    for plan in fleet.deployment.processes:
        if plan.kind == "service" and plan.name in fleet.running:
            pool = HttpPool(parse_address(plan.listen))
            try:
                response = await pool.fetch("GET", "/admin/runs")
            except HttpError:
                continue
            runs.update(msgspec.json.decode(response.body))
    return runs


async def check_training(fleet: Fleet, keys: Path) -> list[str]:
    """Pull a step while processes are killed and the store is down.

    They are an entry, a sidecar and an engine; the store is the key-value
    service.

    Every sample has to arrive once, with the versions that generated it.
    """
    deployment = fleet.deployment
    trainer = Trainer("routes", deployment.entries)
    weights_url = f"http://{deployment.weight_store}/weights/routes/1"
    await trainer.announce_weights(1, weights_url)
    await trio.sleep(6.0)
    body = StepBody(
        "lm-pool",
        1,
        256,
        [Group(f"g{n}", f"Plan route {n}", 8) for n in range(64)],
    )

    async def inject_faults() -> None:
        await trio.sleep(0.7)
        set_faults(deployment.key_value, {"down": True})
        fleet.kill("entry-1")
        await trio.sleep(0.3)
        fleet.kill("lm-pool-1")
        fleet.kill("upstream-lm-pool-2")

    started_at = time.monotonic()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(inject_faults)
        step_record = await trainer.run_step("s1", body, 120.0)
    violations: list[str] = []
    if len(step_record.samples) != 512:
        violations.append(f"{len(step_record.samples)} samples of 512")
    if step_record.count_duplicates():
        violations.append(f"{step_record.count_duplicates()} duplicated")
    if step_record.count_mislabelled():
        violations.append(f"{step_record.count_mislabelled()} mislabelled")
    print(
        f"step of {len(step_record.samples)} samples complete after "
        f"{time.monotonic() - started_at:.1f} s, "
        f"{step_record.failures} calls failed"
    )
    return violations


async def check_bundles(fleet: Fleet, keys: Path) -> list[str]:
    """Roll 50 bundles while the key-value service fails.

    It loses replies and is down twice.

    Each process has to see rising versions and reach the last one in time.
    """
    deployment = fleet.deployment
    address = deployment.key_value
    versions_by_process: dict[str, list[int]] = {}
    violations: list[str] = []
    bundle = msgspec.json.decode(
        deployment.folder.joinpath("bundle.json5")
        .read_text()
        .partition("\n")[2]
    )

    def roll_bundles() -> None:
        for number in range(BUNDLE_COUNT):
            bundle["name"] = f"lv-riga-{number}"
            bundle_file = deployment.folder / "next.json5"
            bundle_file.write_text(json.dumps(bundle))
            violations.extend(
                _roll_with_retries(address, keys, bundle_file, number + 2)
            )

    async def disturb_store() -> None:
        set_faults(address, {"lose_reply_every": 3})
        for _ in range(2):
            await trio.sleep(15.0)
            set_faults(address, {"down": True})
            await trio.sleep(10.0)
            set_faults(address, {"down": False})

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_record_versions, fleet, versions_by_process)
        async with trio.open_nursery() as operations:
            operations.start_soon(disturb_store)
            await trio.to_thread.run_sync(roll_bundles)
        started_at = time.monotonic()
        target = BUNDLE_COUNT + 1
        while (
            min(versions[-1] for versions in versions_by_process.values())
            < target
        ):
            await trio.sleep(POLL_INTERVAL_S)
            if time.monotonic() - started_at > MAX_IN_FORCE_S:
                violations.append(
                    f"not in force everywhere after {MAX_IN_FORCE_S} s: "
                    f"{versions_by_process}"
                )
                break
        took_s = time.monotonic() - started_at
        nursery.cancel_scope.cancel()
    for name, versions in versions_by_process.items():
        if versions != sorted(versions):
            violations.append(
                f"{name} returned to an older version: {versions}"
            )
    print(
        f"{len(versions_by_process)} processes at version {target}, "
        f"the last after {took_s:.2f} s"
    )
    return violations


def _roll_with_retries(
    address: str, keys: Path, bundle_file: Path, version: int
) -> list[str]:
    """Propose and sign a bundle until both succeed, then roll it once.

    Return a violation unless it became the expected version.
    """
    target = ("--key-value", address)
    digest = ""
    while not digest:
        status, proposed = run_ctl(
            *target, "bundle", "propose", str(bundle_file)
        )
        digest = proposed.get("digest", "")
    for key in sorted(keys.glob("*.key")):
        sign = ("bundle", "sign", digest, "--partner", key.stem)
        while run_ctl(*target, *sign, "--key", str(key))[0]:
            pass
    status, rolled = run_ctl(*target, "bundle", "roll", digest)
    if status or rolled.get("version") != version:
        return [f"roll of version {version}: {status} {rolled}"]
    return []


async def _record_versions(
    fleet: Fleet, versions_by_process: dict[str, list[int]]
) -> None:
    """Record each change of the bundle version that a process has in force.

    One task; it polls all entries and sidecars and skips unreachable ones.
    """
    while True:
        for plan in fleet.deployment.processes:
            if plan.kind not in ("entry", "sidecar"):
                continue
            pool = HttpPool(parse_address(plan.admin))
            try:
                response = await pool.fetch("GET", "/state")
            except HttpError:
                continue
            state = msgspec.json.decode(response.body)
            versions = versions_by_process.setdefault(plan.name, [])
            version = state["bundle"]["version"]
            if not versions or versions[-1] != version:
                versions.append(version)
        await trio.sleep(POLL_INTERVAL_S)


Scenario = Callable[[Fleet, Path], Awaitable[list[str]]]
SCENARIOS: dict[str, Scenario] = {
    "requests": check_requests,
    "training": check_training,
    "bundles": check_bundles,
}


def run_scenario(name: str) -> list[str]:
    """Run one scenario on a new deployment; return the violations."""
    with tempfile.TemporaryDirectory(prefix="pistachiospar-") as path:
        folder = Path(path)
        partners = [str(p["name"]) for p in LV_RIGA.bundle["partners"]]
        public_keys = generate_keys(folder / "keys", partners)
        deployment = write_deployment(
            folder, LV_RIGA, make_free_port_finder(), public_keys
        )
        with run_fleet(deployment) as fleet:
            fleet.wait_ready("sidecar")
            roll_bundle(deployment, folder / "keys", folder / "bundle.json5")
            fleet.wait_ready("entry")
            violations = trio.run(SCENARIOS[name], fleet, folder / "keys")
            fleet.stop_all()
    return violations


def main() -> int:
    """Run the named scenarios, or all; return 1 if any had a violation."""
    parser = argparse.ArgumentParser(prog="acceptance")
    parser.add_argument("names", nargs="*", default=list(SCENARIOS))
    violation_count = 0
    for name in parser.parse_args().names:
        print(f"== {name}", flush=True)
        violations = run_scenario(name)
        violation_count += len(violations)
        for line in violations:
            print("VIOLATION:", line)
    print("no violations" if not violation_count else "guarantees violated")
    return 1 if violation_count else 0


if __name__ == "__main__":
    sys.exit(main())
