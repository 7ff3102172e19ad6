"""Run the lv-riga deployment under load and report any violations.

Exits with 1 when a guarantee was violated. All processes run on loopback and
are stopped at the end.
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
from deployment import LV_RIGA
from deployment import make_free_port_finder
from deployment import write_deployment
from fleet import Fleet
from fleet import run_fleet
from operators import generate_keys
from operators import roll_bundle

LOOKUP_COUNT = 120
RECORD_COUNT = 60
COMPLETION_COUNT = 24
GROUPS_PER_STEP = 16
SAMPLES_PER_GROUP = 4
MAX_TOKENS = 64
TRAIN_DURATION_S = 0.01


@dataclass(slots=True)
class DemoResult:
    """Observations of the demo, and the guarantees that they violate."""

    callers: list[Caller] = field(default_factory=list)
    steps: dict[str, StepRecord] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    exit_statuses: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)


def fetch_json(url: str) -> dict[str, int]:
    """Fetch a JSON object of counts from a stand-in."""
    with urllib.request.urlopen(url, timeout=5.0) as response:
        return dict(json.load(response))


async def send_calls(deployment: Deployment, result: DemoResult) -> None:
    """Send lookups, records and completions, many at once."""
    booking_caller = Caller("booking-app", deployment.entries)
    weights_caller = Caller("weight-log", deployment.entries)
    assistant_caller = Caller("assistant", deployment.entries, 20000)
    result.callers += [booking_caller, weights_caller, assistant_caller]

    async def record_twice(key: str) -> None:
        """Send a record, then again with its key through the other entry."""
        await weights_caller.record("lampu-app", key)
        await weights_caller.record("lampu-app", key)

    async with trio.open_nursery() as nursery:
        for number in range(LOOKUP_COUNT):
            nursery.start_soon(
                booking_caller.look_up, "lampu-app", f"w{number}"
            )
            await trio.sleep(0.005)
        for number in range(RECORD_COUNT):
            nursery.start_soon(record_twice, f"pickup-{number}")
            await trio.sleep(0.005)
        for number in range(COMPLETION_COUNT):
            nursery.start_soon(
                assistant_caller.complete,
                "lm-pool",
                f"route {number}",
                32,
                number % 2 == 0,
            )
            await trio.sleep(0.01)


async def run_training(deployment: Deployment, result: DemoResult) -> None:
    """Run two steps; new weights are announced during the second."""
    trainer = Trainer("routes", deployment.entries)
    weights_url = f"http://{deployment.weight_store}/weights/routes/"
    for version, step in ((1, "step-1"), (2, "step-2")):
        body = StepBody(
            upstream="lm-pool",
            weight_version=max(1, version - 1),
            max_tokens=MAX_TOKENS,
            groups=[
                Group(f"g{n}", f"Plan route {n}", SAMPLES_PER_GROUP)
                for n in range(GROUPS_PER_STEP)
            ],
        )
        async with trio.open_nursery() as nursery:
            if version == 1:
                await trainer.announce_weights(
                    version, weights_url + str(version)
                )
            else:
                nursery.start_soon(
                    _announce_during_step, trainer, version, weights_url
                )
            result.steps[step] = await trainer.run_step(
                step, body, 60.0, TRAIN_DURATION_S
            )


async def _announce_during_step(
    trainer: Trainer, version: int, weights_url: str
) -> None:
    """Announce a weight version 0.15 s after the start of a step."""
    await trio.sleep(0.15)
    await trainer.announce_weights(version, weights_url + str(version))


async def run_load(deployment: Deployment, result: DemoResult) -> None:
    """Send calls and run the training at the same time."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_calls, deployment, result)
        nursery.start_soon(run_training, deployment, result)


def fetch_runs(deployment: Deployment) -> Counter[str]:
    """Return how often each record ran, over all services."""
    runs: Counter[str] = Counter()
    for plan in deployment.processes:
        if plan.kind == "service":
            runs.update(fetch_json(f"http://{plan.listen}/admin/runs"))
    return runs


def record_violations(result: DemoResult) -> None:
    """Add the violated guarantees to the result."""
    for caller in result.callers:
        result.violations += caller.log.violations
        for key, outcome in caller.log.by_key.items():
            runs = result.runs[key]
            if outcome == "done" and runs != 1:
                result.violations.append(f"{key}: done, but ran {runs} times")
            if outcome == "not-run" and runs:
                result.violations.append(
                    f"{key}: not-run, but ran {runs} times"
                )
            if runs > 1:
                result.violations.append(f"{key}: ran {runs} times")
    for step, record in result.steps.items():
        if len(record.samples) != GROUPS_PER_STEP * SAMPLES_PER_GROUP:
            result.violations.append(f"{step}: {len(record.samples)} samples")
        if record.count_duplicates():
            result.violations.append(f"{step}: duplicated samples")
        if record.count_mislabelled():
            result.violations.append(f"{step}: wrong labels")
        if max(record.lags) > 1:
            result.violations.append(f"{step}: a lag of {max(record.lags)}")
    for name, status in result.exit_statuses.items():
        if status:
            result.violations.append(f"{name} exited with status {status}")


def print_report(
    result: DemoResult, roll_result: object, duration_s: float
) -> None:
    """Print outcomes, latencies, samples and violations."""
    print(f"bundle rolled: {roll_result}")
    for caller in result.callers:
        log = caller.log
        print(
            f"{caller.name}: {dict(log.outcomes)}, "
            f"wrong {len(log.violations)}, "
            f"p50 {log.compute_quantile(0.5) * 1000:.1f} ms, "
            f"p99 {log.compute_quantile(0.99) * 1000:.1f} ms"
        )
    recorded = sum(1 for key in result.runs if key.startswith("pickup-"))
    duplicated = sum(1 for runs in result.runs.values() if runs > 1)
    print(
        f"records: {recorded} run, lost {RECORD_COUNT - recorded}, "
        f"duplicated {duplicated}"
    )
    for step, record in result.steps.items():
        versions = Counter(
            tuple(s.weight_version for s in sample.segments)
            for sample in record.samples
        )
        total = record.waited_s + record.busy_s
        idle = record.waited_s / total if total else 0.0
        print(
            f"{step}: {len(record.samples)} samples, versions "
            f"{dict(versions)}, duplicated {record.count_duplicates()}, "
            f"mislabelled {record.count_mislabelled()}, idle {idle:.0%} "
            f"({record.waited_s:.2f} s), staleness mean "
            f"{sum(record.lags) / len(record.lags):.2f} max "
            f"{max(record.lags)} versions"
        )
    print(f"took {duration_s:.1f} s")
    for line in result.violations:
        print(f"VIOLATION: {line}")
    print("no violations" if not result.violations else "guarantees violated")


def run_demo(fleet: Fleet, keys: Path) -> DemoResult:
    """Roll the bundle, run the load, stop all processes and report."""
    started = time.monotonic()
    deployment = fleet.deployment
    fleet.wait_ready("sidecar")
    roll_result = roll_bundle(
        deployment, keys, deployment.folder / "bundle.json5"
    )
    fleet.wait_ready("entry")
    result = DemoResult()
    trio.run(run_load, deployment, result)
    result.runs = fetch_runs(deployment)
    result.exit_statuses = fleet.stop_all()
    record_violations(result)
    print_report(result, roll_result, time.monotonic() - started)
    return result


def main() -> int:
    """Run the demo in a temporary folder; return the exit status."""
    with tempfile.TemporaryDirectory(prefix="pistachiospar-") as name:
        folder = Path(name)
        keys = folder / "keys"
        partners = [str(p["name"]) for p in LV_RIGA.bundle["partners"]]
        public_keys = generate_keys(keys, partners)
        deployment = write_deployment(
            folder, LV_RIGA, make_free_port_finder(), public_keys
        )
        with run_fleet(deployment) as fleet:
            result = run_demo(fleet, keys)
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
