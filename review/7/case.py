"""A rollout route moves to another service while a submission is open."""

import asyncio
from pathlib import Path
import signal
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import choose_network  # noqa: E402
from standins_2 import Gateway  # noqa: E402
from standins_2 import make_engine_service  # noqa: E402
from standins_2 import make_item  # noqa: E402
from standins_2 import make_lot  # noqa: E402
from standins_2 import make_manifest  # noqa: E402
from standins_2 import make_plain_service  # noqa: E402
from standins_2 import make_rollout_route  # noqa: E402
from standins_2 import make_safe_route  # noqa: E402
from standins_2 import read_results  # noqa: E402
from standins_2 import Record  # noqa: E402
from standins_2 import Request  # noqa: E402
from standins_2 import run_case  # noqa: E402
from standins_2 import Sampler  # noqa: E402
from standins_2 import Store  # noqa: E402
from standins_2 import submit  # noqa: E402
from standins_2 import wait_for_holder  # noqa: E402
from standins_2 import wait_until_ready  # noqa: E402

LOT = "7c41e09b52d6a3f8"
LATER_LOT = "91b06d3fe5a2c874"
ITEMS = 32
# A text has 20 to 60 events, one each 50 ms; 4 slots at each sampler.
EVENT_S = 0.05
SLOTS = 4


def make_version(version: int, service: str) -> dict[str, object]:
    """Return a manifest whose rollout route goes to a service."""
    return make_manifest(
        version,
        [make_rollout_route(service), make_safe_route()],
        [make_engine_service(service, ["m0"]), make_plain_service()],
    )


def make_events(request: Request) -> list[str]:
    """Return the events of an item's text: short and long ones."""
    number = int(request.headers["request-id"][-3:])
    return ["draft"] * (20 + 10 * (number % 5))


async def read_all(
    gateways: list[Gateway], lot: str, seen: dict[int, str], record: Record
) -> list[str]:
    """Read a submission from the start; return what breaks the rule."""
    broken: list[str] = []
    for gateway in gateways:
        ids: list[str] = []
        while True:
            status, page = await read_results(gateway, lot, len(ids), 0)
            if status != 200 or not page["results"]:
                break
            ids += [result["id"] for result in page["results"]]
        double = sorted({name for name in ids if ids.count(name) > 1})
        record(
            f"{gateway.name} lists {len(ids)} results of {lot},"
            f" {len(set(ids))} items, status {status}; twice: {double}"
        )
        for position, name in enumerate(ids):
            if seen.setdefault(position, name) != name:
                broken.append(f"position {position} of {lot} has changed")
        if double:
            broken.append(f"{len(double)} items stand at two positions")
    return broken


async def restart_in_turn(gateways: list[Gateway], record: Record) -> None:
    """Stop and start the gateways one after the other, by SIGTERM."""
    for gateway in gateways:
        record(f"SIGTERM to {gateway.name}")
        gateway.signal(signal.SIGTERM)
        for _ in range(160):
            if not gateway.is_running():
                break
            await asyncio.sleep(0.05)
        gateway.end()
        gateway.start(first=False)
        if not await wait_until_ready([gateway]):
            raise RuntimeError(f"{gateway.name} isn't ready")
        record(f"{gateway.name} is ready again")


async def play(
    record: Record,
    trouble: bool,
    store: Store,
    gateways: list[Gateway],
    samplers: list[Sampler],
) -> int:
    """Play the case; return the exit status."""
    record(f"holder of lm-a: {await wait_for_holder(store, 'lm-a')}")
    items = [
        make_item(f"item{n:03d}", group=f"g{n // 4}") for n in range(ITEMS)
    ]
    status = await submit(gateways[0], LOT, make_lot(items))
    record(f"submission {LOT}: {status}")
    if status != 202:
        return 2
    await asyncio.sleep(1.2)
    if trouble:
        revision = store.put("op/config", make_version(5, "lm-b"))
        record(f"manifest 5 in the store, revision {revision}: lm-b")
    seen: dict[int, str] = {}
    for number in range(20):
        gateway = gateways[number % len(gateways)]
        code, page = await read_results(gateway, LOT, len(seen), 0)
        for result in page.get("results", []):
            seen[len(seen)] = result["id"]
        record(f"read at {gateway.name}: {code}, {len(seen)} of {ITEMS}")
        await asyncio.sleep(0.5)
    later = [make_item(f"late{n:03d}") for n in range(4)]
    status = await submit(gateways[0], LATER_LOT, make_lot(later, step=1))
    record(f"submission {LATER_LOT}: {status}")
    await asyncio.sleep(5.0)
    code, page = await read_results(gateways[0], LATER_LOT)
    record(f"after 5 s {LATER_LOT} has {len(page.get('results', []))} of 4")
    await restart_in_turn(gateways, record)
    await asyncio.sleep(5.0)
    for sampler in samplers:
        record(f"{sampler.name} ran {len(sampler.runs)} items")
    broken = await read_all(gateways, LOT, seen, record)
    for line in broken:
        record(f"TWICE: {line}")
    return 1 if broken else 0


async def main(record: Record, work: Path, trouble: bool) -> int:
    """Start the processes, play the case and end them."""
    store = Store()
    address = await store.server.start()
    leases = asyncio.ensure_future(store.run())
    store.put("op/config", make_version(1, "lm-a"))
    samplers: list[Sampler] = []
    for service in ("lm-a", "lm-b"):
        for number in range(2):
            sampler = Sampler(
                store,
                f"{service}-{number}",
                service,
                ["m0"],
                make_events,
                SLOTS,
                EVENT_S,
                record,
            )
            await sampler.server.start()
            sampler.register()
            samplers.append(sampler)
    network = choose_network()
    gateways = [
        Gateway(f"front-{n}", f"{network}.{n + 2}", address, work)
        for n in range(2)
    ]
    try:
        for gateway in gateways:
            gateway.start()
        if not await wait_until_ready(gateways):
            return 2
        return await play(record, trouble, store, gateways, samplers)
    finally:
        for gateway in gateways:
            gateway.end()
        leases.cancel()


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).parent))
