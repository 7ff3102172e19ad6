"""Items of a dropped route keep the steps of other routes from running."""

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as st  # noqa: E402


GROUPS, SIZE = 10, 8


async def play(d: st.Deployment) -> list[str]:
    """Drop one of two rollout routes while both have an open step."""
    sort = st.make_route("sort-rollout", "/sort/", "lm", kind="rollout")
    route = st.make_route(
        "route-rollout", "/roll/", "lm", kind="rollout", resultDueMs=6000
    )
    services = {"lm": ["m0", "m1"]}
    d.store.put("op/config", st.make_manifest(3, [sort, route], services))
    pool = [await d.add_sampler(f"s{n}", "lm", ["m0", "m1"]) for n in range(4)]
    await d.start_gateways(3)
    holder = await d.wait_holder("lm")
    others = [g for g in d.gateways if g is not holder]
    await asyncio.sleep(4.0)
    kept = st.make_lot(d, "kept", "/sort/", "m1", GROUPS, SIZE, (24, 60))
    dropped = st.make_lot(d, "drop", "/roll/", "m0", GROUPS, SIZE, (24, 60))
    started_at = st.now()
    for lot in (kept, dropped):
        answer = await st.submit(d, lot, others[0])
        if answer is None or answer.status != 202:
            raise st.CannotRun("a submission was not accepted")
        await asyncio.sleep(0.3)
    if st.is_trouble():
        d.store.put("op/config", st.make_manifest(7, [sort], services))
    trainers = [
        asyncio.ensure_future(train(d, lot, others)) for lot in (kept, dropped)
    ]
    # The step's time is its deadline of 12 s.
    await asyncio.sleep(started_at + 12.0 - st.now())
    starved = st.find_starved(d, kept, pool, st.now())
    began = [s[0] for p in pool for s in p.spans]
    if began:
        d.record.add("the last item began at", round(max(began), 2))
    for trainer in trainers:
        trainer.cancel()
    for lot in (kept, dropped):
        results = await st.read_all(d, lot, others[1])
        count = len(results or [])
        d.record.add(lot.name, "has", count, "of", len(lot.lengths))
    return [
        f"LOST {item}: no sampler had it for 5 s when the step's time was up"
        for item in starved
    ]


async def train(d: st.Deployment, lot: st.Lot, gateways: list) -> None:
    """Read results twice a second for 12 s; end the step when all came."""
    position = 0
    end_at = st.now() + 12.0
    while position < len(lot.lengths) and st.now() < end_at:
        gateway = d.rng.choice(gateways)
        page = await st.read_results(d, lot, gateway, position)
        position += len(page["results"]) if page else 0
        await asyncio.sleep(0.5)
    await st.end_lot(d, lot, gateways[0])


st.run_case(__file__, play)
