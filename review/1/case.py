"""A suspended holder that resumes its role lists results twice."""

import asyncio
from pathlib import Path
import signal
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as st  # noqa: E402


FREEZE_S = 6.0


async def play(d: st.Deployment) -> list[str]:
    """Suspend the holder, then restart both gateways in turn."""
    route = st.make_route("route-rollout", "/roll/", "lm", kind="rollout")
    d.store.put("op/config", st.make_manifest(3, [route], {"lm": ["m0"]}))
    for number in range(5):
        await d.add_sampler(f"s{number}", "lm", ["m0"])
    await d.start_gateways(2)
    first = await d.wait_holder("lm")
    second = next(g for g in d.gateways if g is not first)
    await asyncio.sleep(4.0)
    lot = st.make_lot(d, "lot1", "/roll/", "m0", 5, 8, (20, 92))
    answer = await st.submit(d, lot, second)
    if answer is None or answer.status != 202:
        raise st.CannotRun("the submission was not accepted")
    usable = [first, second]

    async def read_on() -> None:
        """Read twice a second, as a trainer does."""
        position = 0
        while True:
            gateway = d.rng.choice(usable)
            page = await st.read_results(d, lot, gateway, position)
            position += len(page["results"]) if page else 0
            await asyncio.sleep(0.5)

    reading = asyncio.ensure_future(read_on())
    await asyncio.sleep(0.6)
    if st.is_trouble():
        first.send(signal.SIGSTOP)
        usable.remove(first)
    await asyncio.sleep(FREEZE_S - 0.5)
    # The platform restarts both in turn.
    second.send(signal.SIGTERM)
    usable.remove(second)
    await asyncio.sleep(0.5)
    if st.is_trouble():
        first.send(signal.SIGCONT)
        usable.append(first)
    await restart(second)
    usable.append(second)
    await asyncio.sleep(6.0)
    first.send(signal.SIGTERM)
    usable.remove(first)
    await restart(first)
    usable.append(first)
    await asyncio.sleep(6.0)
    reading.cancel()
    breaches = []
    for gateway in d.gateways:
        results = await st.read_all(d, lot, gateway)
        if results is None:
            raise st.CannotRun("the submission can't be read at the end")
        breaches += check(lot, gateway, results)
    return breaches


async def restart(gateway: st.Gateway) -> None:
    """Wait for the end of a process and start it again."""
    await gateway.wait_ended()
    await asyncio.sleep(1.0)
    gateway.start()
    await gateway.wait_ready()


def check(lot: st.Lot, gateway: st.Gateway, results: list) -> list[str]:
    """Return how a read from the start breaks TWICE."""
    ids = [result["id"] for result in results]
    twice = sorted({i for i in ids if ids.count(i) > 1})
    missing = sorted(set(lot.lengths) - set(ids))
    breaches = [
        f"TWICE {gateway.name}: {item} stands at positions "
        f"{[n for n, known in enumerate(ids) if known == item]}"
        for item in twice
    ]
    if breaches:
        breaches.append(
            f"seen besides: {len(missing)} of {len(lot.lengths)} items "
            f"have no position: {' '.join(missing)}"
        )
    for _, reader, after, seen in lot.pages:
        if ids[after : after + len(seen)] != seen:
            breaches.append(
                f"TWICE positions from {after} held other results before, "
                f"as {reader} listed them"
            )
    return breaches


st.run_case(__file__, play)
