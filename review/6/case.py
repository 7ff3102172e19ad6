"""A rollout route moves to another service; its open submission is lost."""

import asyncio
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import Deployment  # noqa: E402
from standins_2 import make_engine_service  # noqa: E402
from standins_2 import make_item  # noqa: E402
from standins_2 import make_lot  # noqa: E402
from standins_2 import make_manifest  # noqa: E402
from standins_2 import make_plain_service  # noqa: E402
from standins_2 import make_rollout_route  # noqa: E402
from standins_2 import make_safe_route  # noqa: E402
from standins_2 import read_results  # noqa: E402
from standins_2 import Record  # noqa: E402
from standins_2 import run_case  # noqa: E402
from standins_2 import submit  # noqa: E402
from standins_2 import wait_for_holder  # noqa: E402

LOT = "3d95c27ae016b48f"
ITEMS = 32
# A text takes 1.5 s; 4 slots at each of 2 samplers: 6 s for all.
EVENTS = ["draft"] * 30
EVENT_S = 0.05
SLOTS = 4
STEP_DEADLINE_S = 12.0
MOVE_AT_S = 2.0
IDLE_S = 5.0


def make_first_version() -> dict[str, object]:
    """Return a manifest: model m0 at lm-a, m1 at lm-b."""
    return make_manifest(
        1,
        [make_rollout_route("lm-a"), make_safe_route()],
        [
            make_engine_service("lm-a", ["m0"]),
            make_engine_service("lm-b", ["m1"]),
            make_plain_service(),
        ],
    )


def make_second_version() -> dict[str, object]:
    """Return a manifest: the route and its model are at lm-b."""
    return make_manifest(
        4,
        [make_rollout_route("lm-b"), make_safe_route()],
        [make_engine_service("lm-b", ["m0", "m1"]), make_plain_service()],
    )


def find_lost(fleet: Deployment, names: list[str], until: float) -> list[str]:
    """Return the items that break the rule, at the end of the step's time.

    No sampler has finished them, and they were at none for the last 5 s.
    """
    since = until - IDLE_S
    lost: list[str] = []
    for name in names:
        runs = [
            run
            for sampler in fleet.samplers
            for run in sampler.find_runs(name)
        ]
        if any(run.is_complete for run in runs):
            continue
        if all(run.ended_at and run.ended_at < since for run in runs):
            lost.append(name)
    return lost


def count_busy(fleet: Deployment, since: float, until: float) -> int:
    """Return how many runs there were at the samplers in a time."""
    return sum(
        run.began_at < until and not (run.ended_at and run.ended_at < since)
        for sampler in fleet.samplers
        for run in sampler.history
    )


async def main(record: Record, work: Path, trouble: bool) -> int:
    """Play the case; return the exit status."""
    fleet = Deployment(record, work)
    try:
        await fleet.start_store()
        fleet.store.put("op/config", make_first_version())
        for service in ("lm-a", "lm-b"):
            await fleet.add_samplers(
                service,
                2,
                lambda request: EVENTS,
                SLOTS,
                EVENT_S,
                ["m0", "m1"],
            )
        if not await fleet.start_gateways(2):
            return 2
        for pool in ("lm-a", "lm-b"):
            holder = await wait_for_holder(fleet.store, pool)
            record(f"holder of {pool}: {holder}")
        await asyncio.sleep(2.0)
        names = [f"item{n:03d}" for n in range(ITEMS)]
        items = [make_item(n, group=f"g{n[-3:-1]}") for n in names]
        began = time.monotonic()
        status = await submit(fleet.gateways[0], LOT, make_lot(items))
        record(f"submission {LOT}: {status}")
        if status != 202:
            return 2
        await asyncio.sleep(MOVE_AT_S)
        if trouble:
            fleet.store.put("op/config", make_second_version())
            record("manifest 4 acknowledged: the route's service is lm-b")
        listed = 0
        number = 0
        until = began + STEP_DEADLINE_S
        while listed < ITEMS and time.monotonic() < until:
            number += 1
            gateway = fleet.gateways[number % 2]
            code, page = await read_results(gateway, LOT, listed, 0)
            listed += len(page.get("results", []))
            record(f"read at {gateway.name}: {code}, {listed} of {ITEMS}")
            await asyncio.sleep(0.5)
        if listed == ITEMS:
            return 0
        lost = find_lost(fleet, names, until)
        begun = sum(bool(s.history) for s in fleet.samplers)
        busy = count_busy(fleet, until - IDLE_S, until)
        slots = SLOTS * len(fleet.samplers)
        record(
            f"out of time with {listed} of {ITEMS}; {len(lost)} items at no"
            f" sampler for {IDLE_S} s, {busy} runs at {slots} slots then"
        )
        await asyncio.sleep(15.0)
        code, page = await read_results(fleet.gateways[0], LOT, listed, 0)
        record(f"15 s later {len(page.get('results', []))} more are listed")
        if lost and begun and busy < slots / 2:
            record(f"LOST: {len(lost)} items of an accepted submission")
            return 1
        return 0
    finally:
        fleet.end()


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).parent))
