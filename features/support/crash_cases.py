"""Requests that crash the instances that run them, and come again.

Pattern: a request crashes each instance that begins to run it, some 50 ms
later; the instance is back after some seconds. The same request comes again
at any gateway, beside innocent ones that are in flight at the same instances.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import APP
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import PLAIN_PREFIX
from pistachiospar_standins.fakes.gateway_fleet import POOL
from pistachiospar_standins.fakes.gateway_fleet import STREAM_PREFIX
import trio

from .histories import make_history
from .histories import make_submission_request
from .submission_checks import ResultView
from .submission_scenarios import read_page_at

# The bound of the users' pages: from 3 s after the third crash on, at most
# three more sends.
MAX_CRASHES = 3
STABLE_S = 3.0
MAX_MORE_SENDS = 3

RESTART_S = 3.0
CHANGE_APPLIED_S = 2.0
MAX_VIRTUAL_S = 900.0
GUILTY = b"crashes whatever runs it"
MAX_REFUSAL_S = 0.1
# A call leaves instances to the others, although it may go to three.
MAX_CRASHES_PER_CALL = 2
MIN_SERVED_SHARE = 0.9
APPS = ("a0", "a1", "a2")


@dataclass(frozen=True, slots=True)
class CrashResponse:
    """What a caller got; times are in seconds."""

    call_id: str
    body: bytes
    status: int
    took_s: float
    retry_after: str
    problem: bytes


@dataclass(slots=True)
class CrashRun:
    """A fleet whose crashed instances are started again."""

    fleet: GatewayFleet
    responses: list[CrashResponse] = field(default_factory=list)
    calls: int = 0

    async def send(
        self, gateway: str, body: bytes, prefix: str = PLAIN_PREFIX
    ) -> CrashResponse | None:
        """Send a request under a new id; None without a response."""
        self.calls += 1
        call_id = f"c{self.calls}"
        path = f"{prefix}m0/same"
        request = HttpRequest(
            "POST",
            path,
            "",
            {"host": HOST, "request-id": call_id, "deadline-ms": "2000"},
            body,
            target=path,
        )
        sent_at = trio.current_time()
        response = await self.fleet.send_request(gateway, request)
        if response is None:
            return None
        found = CrashResponse(
            call_id,
            body,
            response.status,
            trio.current_time() - sent_at,
            response.headers.get("retry-after", ""),
            response.body,
        )
        self.responses.append(found)
        return found

    async def restart_instances(self) -> None:
        """Start crashed instances again, under their names."""
        restarts: dict[str, float] = {}
        while True:
            await trio.sleep(0.05)
            now = trio.current_time()
            for name, sampler in self.fleet.cluster.samplers.items():
                if not sampler.faults.down:
                    continue
                if now < restarts.setdefault(name, now + RESTART_S):
                    continue
                del restarts[name]
                sampler.faults.down = False
                self.fleet.cluster.samplers[name].started_ms += 1
                upstream = APP if name in APPS else POOL
                self.fleet.write_instance(name, upstream)

    def count_more_sends(self, body: bytes = GUILTY) -> int:
        """Return the sends from 3 s after the third crash on."""
        crashes = self.count_crashes(body)
        if crashes < MAX_CRASHES:
            return 0
        third_at = self.list_crash_times(body)[MAX_CRASHES - 1]
        ids = {r.call_id for r in self.responses if r.body == body}
        return sum(
            run.started_at > third_at + STABLE_S and run.call_id in ids
            for run in self.fleet.cluster.runs
        )

    def list_crash_times(self, body: bytes = GUILTY) -> list[float]:
        """Return when instances crashed under a request."""
        crashes = self.fleet.cluster.crashes
        return [c.crashed_at for c in crashes if c.body == body]

    def count_crashes(self, body: bytes = GUILTY) -> int:
        """Return how many instances crashed under a request."""
        return len(self.list_crash_times(body))

    def list_suspended(self) -> set[bytes]:
        """Return the bodies of the requests that were refused as crashing."""
        return {r.body for r in self.responses if b"crashes" in r.problem}

    def has_run(self, response: CrashResponse) -> bool:
        """Return whether a request reached an instance that ran it."""
        runs = self.fleet.cluster.runs
        return any(run.call_id == response.call_id for run in runs)


Case = Callable[[CrashRun], Awaitable[list[str]]]


def check_sends(run: CrashRun) -> list[str]:
    """Return a violation when the request was sent too often."""
    more = run.count_more_sends()
    if run.count_crashes() < MAX_CRASHES:
        return ["the request did not crash three instances"]
    if more > MAX_MORE_SENDS:
        return [f"sent {more} times more, {run.count_crashes()} crashes"]
    return []


async def repeat_guilty(
    run: CrashRun, times: int, interval_s: float, prefix: str = PLAIN_PREFIX
) -> None:
    """Send the request again and again, at one gateway after the other."""
    for number in range(times):
        await run.send(f"g{number % 3}", GUILTY, prefix)
        await trio.sleep(interval_s)


async def check_repeats(run: CrashRun) -> list[str]:
    """The request comes every four seconds, for four minutes."""
    await repeat_guilty(run, 60, 4.0)
    return check_sends(run)


async def check_streams(run: CrashRun) -> list[str]:
    """The same with streamed responses."""
    await repeat_guilty(run, 60, 4.0, STREAM_PREFIX)
    return check_sends(run)


async def check_hedges(run: CrashRun) -> list[str]:
    """It crashes them late, when a hedged attempt runs already."""
    run.fleet.cluster.crash_delay_s = 0.3
    await run.send("g0", GUILTY)
    # Attempts that run on when the caller has its response.
    await trio.sleep(1.0)
    crashes = run.count_crashes()
    if crashes > MAX_CRASHES_PER_CALL:
        return [f"{crashes} instances crashed under one call"]
    await repeat_guilty(run, 20, 4.0)
    return check_sends(run)


async def check_survivors(run: CrashRun) -> list[str]:
    """Its caller sends it once more, at another gateway.

    One of three instances has to be left, so that others are served on.
    """
    others: list[CrashResponse | None] = []

    async def call_other(number: int) -> None:
        await trio.sleep(0.05 * number)
        body = b"innocent %d" % number
        others.append(await run.send(f"g{number % 3}", body))

    async with trio.open_nursery() as nursery:
        for number in range(60):
            nursery.start_soon(call_other, number)
        await trio.sleep(0.52)
        await run.send("g0", GUILTY)
        await run.send("g1", GUILTY)
    served = sum(r is not None and r.status == 200 for r in others)
    if served < MIN_SERVED_SHARE * len(others):
        return [f"{served} of {len(others)} others were served"]
    return []


async def check_crowd(run: CrashRun) -> list[str]:
    """The request comes at all gateways at the same time."""
    for _ in range(20):
        async with trio.open_nursery() as nursery:
            for number in range(3):
                nursery.start_soon(run.send, f"g{number}", GUILTY)
        await trio.sleep(5.0)
    return check_sends(run)


async def check_restarts(run: CrashRun) -> list[str]:
    """The gateways restart meanwhile, one after the other."""
    for number in range(40):
        await run.send(f"g{number % 3}", GUILTY)
        await trio.sleep(2.0)
        run.fleet.kill_gateway(f"g{number % 3}")
        await trio.sleep(0.5)
        run.fleet.start_gateway(f"g{number % 3}")
        await trio.sleep(1.5)
    return check_sends(run)


async def check_outage(run: CrashRun) -> list[str]:
    """The store is away during the first crashes, then back."""
    for running in run.fleet.running.values():
        running.kv.faults.down = True
    await repeat_guilty(run, 4, 3.0)
    for running in run.fleet.running.values():
        running.kv.faults.down = False
    await trio.sleep(STABLE_S)
    more = run.count_crashes()
    await repeat_guilty(run, 40, 4.0)
    more = run.count_crashes() - max(more, MAX_CRASHES)
    return [f"{more} more crashes"] if more > MAX_MORE_SENDS else []


async def check_answer(run: CrashRun) -> list[str]:
    """Its caller is told at once, truly, and when to come back."""
    await repeat_guilty(run, 12, 4.0)
    found = check_sends(run)
    refused = [r for r in run.responses if r.status == 503]
    if len(refused) < 5:
        found.append(f"refused only {len(refused)} times")
    if any(run.has_run(r) for r in refused):
        found.append("a request that ran was refused as not run")
    last = run.responses[-1]
    if last.status != 503 or last.took_s > MAX_REFUSAL_S:
        found.append(f"status {last.status} after {last.took_s} s")
    if float(last.retry_after or 0) < 1.0:
        found.append(f"Retry-After {last.retry_after!r}")
    return found


async def check_innocents(run: CrashRun) -> list[str]:
    """Others that are in flight at the instances are never suspended."""
    bodies = [b"innocent %d" % number for number in range(12)]

    async def repeat_innocent(number: int) -> None:
        for step in range(300):
            gateway = f"g{(number + step) % 3}"
            await run.send(gateway, bodies[number])
            await trio.sleep(0.4)

    async with trio.open_nursery() as nursery:
        for number in range(len(bodies)):
            nursery.start_soon(repeat_innocent, number)
        nursery.start_soon(repeat_guilty, run, 30, 4.0)
    found = check_sends(run)
    suspended = run.list_suspended() - {GUILTY}
    if suspended:
        found.append(f"suspended though innocent: {sorted(suspended)}")
    return found


async def check_other_crashes(run: CrashRun) -> list[str]:
    """Instances that die for other reasons suspend nobody."""

    async def crash_instances() -> None:
        for step in range(30):
            name = APPS[step % len(APPS)]
            run.fleet.cluster.samplers[name].faults.down = True
            await trio.sleep(1.3)

    async def repeat_innocent(number: int) -> None:
        for _ in range(400):
            await run.send(f"g{number % 3}", b"innocent %d" % number)
            await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(crash_instances)
        for number in range(9):
            nursery.start_soon(repeat_innocent, number)
    suspended = run.list_suspended()
    return [f"suspended: {sorted(suspended)}"] if suspended else []


async def check_mended(run: CrashRun) -> list[str]:
    """A request that crashes nothing any more is served again."""
    await repeat_guilty(run, 8, 4.0)
    found = check_sends(run)
    run.fleet.cluster.crashing_bodies.clear()
    with trio.move_on_after(120.0):
        while True:
            response = await run.send("g0", GUILTY)
            if response is not None and response.status == 200:
                break
            await trio.sleep(4.0)
        # Changes are in force everywhere within this time.
        await trio.sleep(CHANGE_APPLIED_S)
        statuses = [(await run.send(f"g{n}", GUILTY)) for n in (0, 1, 2)]
        if all(r is not None and r.status == 200 for r in statuses):
            return found
    return [*found, "it is never served again"]


async def check_items(run: CrashRun) -> list[str]:
    """An item under which five instances crashed is still owed."""
    history = make_history("owed", 6)
    body = history.submission.items[0].body
    run.fleet.cluster.crashing_bodies = {body}
    await run.fleet.send_request("g0", make_submission_request(history))
    with trio.move_on_after(200.0):
        while len(history.results) < 6:
            await read_page_at(run.fleet, "g0", history)
            await trio.sleep(0.2)
            if run.count_crashes(body) >= 5:
                run.fleet.cluster.crashing_bodies.clear()
    results = [
        msgspec.json.decode(result, type=ResultView)
        for result in history.results.values()
    ]
    completed = [r for r in results if r.state == "completed"]
    if run.count_crashes(body) < 5 or len(completed) < 6:
        return [f"{len(completed)} of 6 completed"]
    return []


CASES: dict[str, Case] = {
    "it comes every four seconds": check_repeats,
    "it asks for a stream": check_streams,
    "it crashes them late": check_hedges,
    "others are served meanwhile": check_survivors,
    "it comes at all gateways at once": check_crowd,
    "the gateways restart meanwhile": check_restarts,
    "the store is away at first": check_outage,
    "what its caller gets": check_answer,
    "innocent requests are in flight": check_innocents,
    "instances die for other reasons": check_other_crashes,
    "it crashes nothing any more": check_mended,
    "it is an item": check_items,
}


def run_case(name: str) -> list[str]:
    """Run a case in virtual time; return the broken bounds."""

    async def work() -> list[str]:
        fleet = GatewayFleet(
            GatewayPlan(gateways=3, apps=3, models=("m0",), slots=6, seed=7)
        )
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            run = CrashRun(fleet)
            fleet.cluster.crashing_bodies = {GUILTY}
            nursery.start_soon(run.restart_instances)
            found = await CASES[name](run)
            nursery.cancel_scope.cancel()
        return found

    return run_virtual(work, 1, MAX_VIRTUAL_S)
