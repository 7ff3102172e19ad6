"""Run the lv-riga deployment end to end and report what was kept.

Exits with 1 when a promise broke. All processes run on loopback and are
ended at the end.
"""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import json
from pathlib import Path
import sys
import tempfile
import time
import urllib.request

from pistachiospar.trainers.models import Group
from pistachiospar.trainers.models import StepBody
from pistachiospar_standins.caller.client import Caller
from pistachiospar_standins.trainer.client import StepRecord
from pistachiospar_standins.trainer.client import Trainer
import trio

from deployment import Deployment
from deployment import find_free_ports
from deployment import LV_RIGA
from deployment import write_deployment
from fleet import Fleet
from fleet import run_fleet
from operators import generate_keys
from operators import roll_bundle

LOOKUPS = 120
RECORDS = 60
COMPLETIONS = 24
GROUPS = 16
SAMPLES = 4
TOKENS = 64
TRAIN_S = 0.01


@dataclass(slots=True)
class Tally:
    """Hold what the demo saw."""

    callers: list[Caller] = field(default_factory=list)
    steps: dict[str, StepRecord] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    statuses: dict[str, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)


def read_json(url: str) -> dict[str, int]:
    """Fetch JSON from a stand-in."""
    with urllib.request.urlopen(url, timeout=5.0) as answer:
        return dict(json.load(answer))


async def call_all(deployment: Deployment, tally: Tally) -> None:
    """Send interactive calls of all kinds, many at once."""
    booking = Caller("booking-app", deployment.entries)
    weights = Caller("weight-log", deployment.entries)
    assistant = Caller("assistant", deployment.entries, 20000)
    tally.callers += [booking, weights, assistant]

    async def record_twice(key: str) -> None:
        """Record, and ask again with the same key at the other entry."""
        await weights.record("lampu-app", key)
        await weights.record("lampu-app", key)

    async with trio.open_nursery() as nursery:
        for number in range(LOOKUPS):
            nursery.start_soon(booking.look_up, "lampu-app", f"w{number}")
            await trio.sleep(0.005)
        for number in range(RECORDS):
            nursery.start_soon(record_twice, f"pickup-{number}")
            await trio.sleep(0.005)
        for number in range(COMPLETIONS):
            nursery.start_soon(
                assistant.complete,
                "lm-pool",
                f"route {number}",
                32,
                number % 2 == 0,
            )
            await trio.sleep(0.01)


async def train(deployment: Deployment, tally: Tally) -> None:
    """Run two steps, with a change of weights within the second."""
    trainer = Trainer("routes", deployment.entries)
    source = f"http://{deployment.weight_store}/weights/routes/"
    for version, step in ((1, "step-1"), (2, "step-2")):
        body = StepBody(
            upstream="lm-pool",
            weight_version=max(1, version - 1),
            max_tokens=TOKENS,
            groups=[
                Group(f"g{n}", f"Plan route {n}", SAMPLES)
                for n in range(GROUPS)
            ],
        )
        async with trio.open_nursery() as nursery:
            if version == 1:
                await trainer.announce_weights(version, source + str(version))
            else:
                nursery.start_soon(_announce_late, trainer, version, source)
            tally.steps[step] = await trainer.run_step(
                step, body, 60.0, TRAIN_S
            )


async def _announce_late(trainer: Trainer, version: int, source: str) -> None:
    """Announce weights while a step is under way."""
    await trio.sleep(0.15)
    await trainer.announce_weights(version, source + str(version))


async def work(deployment: Deployment, tally: Tally) -> None:
    """Call and train at the same time."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(call_all, deployment, tally)
        nursery.start_soon(train, deployment, tally)


def gather_runs(deployment: Deployment) -> Counter[str]:
    """Return how often each record was run, over all services."""
    runs: Counter[str] = Counter()
    for plan in deployment.processes:
        if plan.kind == "service":
            runs.update(read_json(f"http://{plan.listen}/admin/runs"))
    return runs


def judge(tally: Tally) -> None:
    """Collect the promises that broke."""
    for caller in tally.callers:
        tally.broken += caller.log.wrong
        for key, outcome in caller.log.by_key.items():
            runs = tally.runs[key]
            if outcome == "done" and runs != 1:
                tally.broken.append(f"{key}: done, and run {runs} times")
            if outcome == "not-run" and runs:
                tally.broken.append(f"{key}: not-run, and run {runs} times")
            if runs > 1:
                tally.broken.append(f"{key}: run {runs} times")
    for step, record in tally.steps.items():
        if len(record.samples) != GROUPS * SAMPLES:
            tally.broken.append(f"{step}: {len(record.samples)} samples")
        if record.count_duplicates():
            tally.broken.append(f"{step}: doubled samples")
        if record.count_mislabelled():
            tally.broken.append(f"{step}: wrong labels")
        if max(record.lags) > 1:
            tally.broken.append(f"{step}: a lag of {max(record.lags)}")
    for name, status in tally.statuses.items():
        if status:
            tally.broken.append(f"{name} ended with {status}")


def report(tally: Tally, rolled: object, seconds: float) -> None:
    """Print the report."""
    print(f"bundle rolled: {rolled}")
    for caller in tally.callers:
        log = caller.log
        print(
            f"{caller.name}: {dict(log.outcomes)}, wrong {len(log.wrong)}, "
            f"p50 {log.compute_quantile(0.5) * 1000:.1f} ms, "
            f"p99 {log.compute_quantile(0.99) * 1000:.1f} ms"
        )
    once = sum(1 for key in tally.runs if key.startswith("pickup-"))
    doubled = sum(1 for runs in tally.runs.values() if runs > 1)
    print(f"records: {once} run, lost {RECORDS - once}, doubled {doubled}")
    for step, record in tally.steps.items():
        versions = Counter(
            tuple(s.weight_version for s in sample.segments)
            for sample in record.samples
        )
        total = record.waited_s + record.busy_s
        idle = record.waited_s / total if total else 0.0
        print(
            f"{step}: {len(record.samples)} samples, versions "
            f"{dict(versions)}, doubled {record.count_duplicates()}, "
            f"mislabelled {record.count_mislabelled()}, idle {idle:.0%} "
            f"({record.waited_s:.2f} s), staleness mean "
            f"{sum(record.lags) / len(record.lags):.2f} max "
            f"{max(record.lags)} versions"
        )
    print(f"took {seconds:.1f} s")
    for line in tally.broken:
        print(f"BROKEN: {line}")
    print("every promise kept" if not tally.broken else "promises broke")


def run_all(fleet: Fleet, keys: Path) -> Tally:
    """Roll the bundle and do the work."""
    started = time.monotonic()
    deployment = fleet.deployment
    fleet.wait_ready("sidecar")
    rolled = roll_bundle(deployment, keys, deployment.folder / "bundle.json5")
    fleet.wait_ready("entry")
    tally = Tally()
    trio.run(work, deployment, tally)
    tally.runs = gather_runs(deployment)
    tally.statuses = fleet.stop_all()
    judge(tally)
    report(tally, rolled, time.monotonic() - started)
    return tally


def main() -> int:
    """Run the demo; return the exit status."""
    with tempfile.TemporaryDirectory(prefix="pistachiospar-") as name:
        folder = Path(name)
        keys = folder / "keys"
        partners = [str(p["name"]) for p in LV_RIGA.bundle["partners"]]
        public_keys = generate_keys(keys, partners)
        deployment = write_deployment(
            folder, LV_RIGA, find_free_ports(), public_keys
        )
        with run_fleet(deployment) as fleet:
            tally = run_all(fleet, keys)
    return 1 if tally.broken else 0


if __name__ == "__main__":
    sys.exit(main())
