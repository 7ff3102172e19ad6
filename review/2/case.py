"""An entry of another writer ends each holder; its pool stands still."""

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as st  # noqa: E402


# What other software wrote as the address: a text that isn't IP:PORT, with
# bytes that could not be read.
FOREIGN_ADDRESS = "\N{REPLACEMENT CHARACTER}" * 4 + ":8080"


async def play(d: st.Deployment) -> list[str]:
    """Write the foreign entry while a step runs."""
    routes = [
        st.make_route("book-pickup", "/book/", "app"),
        st.make_route("route-rollout", "/roll/", "lm", kind="rollout"),
    ]
    manifest = st.make_manifest(3, routes, {"lm": ["m0"], "app": []})
    d.store.put("op/config", manifest)
    pool = [await d.add_sampler(f"s{n}", "lm", ["m0"]) for n in range(5)]
    for number in range(3):
        await d.add_sampler(f"a{number}", "app", slots=6)
    await d.start_gateways(3)
    await d.wait_holder("lm")
    restarter = st.Restarter(d)
    restarting = asyncio.ensure_future(restarter.run())
    await asyncio.sleep(4.0)
    lot = st.make_lot(d, "lot1", "/roll/", "m0", 5, 8, (60, 92))
    answer = await st.submit(d, lot, d.gateways[0])
    submitted_at = st.now()
    if answer is None or answer.status != 202:
        raise st.CannotRun("the submission was not accepted")
    await asyncio.sleep(1.2)
    if st.is_trouble():
        d.store.put("servers/billing-1", make_foreign_entry(pool[0]))
    # The step's time is its deadline of 12 s.
    await asyncio.sleep(submitted_at + 12.0 - st.now())
    until = st.now()
    starved = st.find_starved(d, lot, pool, until)
    for gateway in d.gateways:
        results = await st.read_all(d, lot, gateway)
        if results is not None:
            d.record.add(len(results), "results are listed at", gateway.name)
            break
    restarting.cancel()
    d.record.add("ended by themselves:", restarter.ends)
    breaches = [
        f"LOST {item}: no sampler had it for 5 s when the step's time was up"
        for item in starved
    ]
    if breaches:
        ends = ", ".join(f"{n} {k}" for n, k in restarter.ends.items())
        breaches.insert(0, f"LOST {len(starved)} items; own ends: {ends}")
    return breaches


def make_foreign_entry(sampler: st.Sampler) -> dict:
    """Return an entry like a sampler's, with an address that is none."""
    entry = {
        "service": sampler.service,
        "address": FOREIGN_ADDRESS,
        "zone": sampler.zone,
        "version": "v1",
        "slots": sampler.slots,
        "state": "ready",
        "coldLeftMs": 0,
        "sequence": 0,
        "born": sampler.born,
    }
    return entry


st.run_case(__file__, play)
