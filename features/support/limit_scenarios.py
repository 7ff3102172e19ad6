"""Instances that name a limit, while faults hit the gateways before them.

Pattern: an instance in trouble names the calls a second that it takes from
all gateways together. The gateways see unequal load, and die, join or lose
each other meanwhile.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import PLAIN_PREFIX
import trio

from .histories import make_history
from .histories import make_submission_request
from .submission_scenarios import read_page_at

# The bound of the users' pages: from 3 s after an instance first named its
# limit, 1.5 times what it allows in 4 s and 5 more, of the gateways that were
# told half a second before or earlier.
STABLE_S = 3.0
WINDOW_S = 4.0
EXCESS_RATIO = 1.5
EXCESS_CALLS = 5
TOLD_MARGIN_S = 0.5

DURATION_S = 16.0
NAMED_AT_S = 1.0
MAX_VIRTUAL_S = 240.0
# A caller that can't be served learns it within its latency target.
MAX_REFUSAL_S = 0.4
# Share of what the limits allow that callers who press for more must get.
MIN_USED_SHARE = 0.7

Change = Callable[[GatewayFleet], None]


@dataclass(frozen=True, slots=True)
class LimitScenario:
    """Load, limited instances and changes at times after the load begins.

    `loads` are the calls a second at each gateway; `items` the items of a
    submission made every four seconds. `excused` gateways don't count.
    `is_pressed` is set when the callers ask for more than the limits allow.
    """

    limited: tuple[str, ...]
    limit_per_s: float
    loads: tuple[float, ...] = ()
    prefix: str = PLAIN_PREFIX
    items: int = 0
    is_pressed: bool = False
    version_interval_s: float = 0.0
    excused: tuple[str, ...] = ()
    changes: tuple[tuple[float, Change], ...] = ()


@dataclass(slots=True)
class LimitRun:
    """What callers and instances saw in one run; times are in seconds."""

    scenario: LimitScenario
    started_at: float
    fleet: GatewayFleet
    responses: list[tuple[float, float, int, str]] = field(
        default_factory=list
    )
    listed_items: int = 0
    submitted_items: int = 0

    def find_violations(self) -> list[str]:
        """Return each bound that was broken."""
        found: list[str] = []
        for name in self.scenario.limited:
            found += self._check_limit(name)
        found += self._check_callers()
        if self.listed_items < self.submitted_items:
            found.append(
                f"{self.listed_items} of {self.submitted_items} items listed"
            )
        return found

    def _check_limit(self, name: str) -> list[str]:
        """Check the limit of an instance in each window."""
        told_at = self.fleet.cluster.told_at
        begins_at = self.started_at + NAMED_AT_S + STABLE_S
        times = [
            arrival.arrived_at
            for arrival in self.fleet.cluster.arrivals
            if arrival.instance == name
            and arrival.gateway not in self.scenario.excused
            and arrival.arrived_at >= begins_at
            and arrival.arrived_at
            >= told_at.get((arrival.gateway, name), float("inf"))
            + TOLD_MARGIN_S
        ]
        allowed = EXCESS_RATIO * WINDOW_S * self.scenario.limit_per_s
        most = max(
            (
                sum(at <= other < at + WINDOW_S for other in times)
                for at in times
            ),
            default=0,
        )
        if most > allowed + EXCESS_CALLS:
            return [f"{name}: {most} in 4 s, allowed {allowed + 5}"]
        return []

    def _check_callers(self) -> list[str]:
        """Check that callers are served as allowed, or refused at once."""
        found: list[str] = []
        begins_at = self.started_at + NAMED_AT_S + STABLE_S
        later = [r for r in self.responses if r[0] >= begins_at]
        refused = [r for r in later if r[2] != 200]
        if any(status != 503 for _, _, status, _ in refused):
            found.append(f"statuses {sorted({r[2] for r in refused})}")
        if any(took_s > MAX_REFUSAL_S for _, took_s, _, _ in refused):
            found.append("a refusal was held back")
        if any(float(after or 0) <= 0 for _, _, _, after in refused):
            found.append("a refusal without Retry-After")
        if not self.scenario.is_pressed:
            return found + [f"{len(refused)} refused"] * bool(refused)
        span_s = DURATION_S - NAMED_AT_S - STABLE_S
        allowed = (
            len(self.scenario.limited) * self.scenario.limit_per_s * span_s
        )
        # Scoring calls use up the limits too.
        runs = sum(
            run.instance in self.scenario.limited
            and run.started_at >= begins_at
            for run in self.fleet.cluster.runs
        )
        if runs < MIN_USED_SHARE * allowed:
            found.append(f"{runs} runs, the limits allow {allowed}")
        return found


async def send_call(run: LimitRun, gateway: str, call_id: str) -> None:
    """Send a caller's request and record the response."""
    path = f"{run.scenario.prefix}m0/{call_id}"
    request = HttpRequest(
        "POST",
        path,
        "",
        {"host": HOST, "request-id": call_id, "deadline-ms": "2000"},
        b"body",
        target=path,
    )
    sent_at = trio.current_time()
    response = await run.fleet.send_request(gateway, request)
    if response is None:
        return
    took_s = trio.current_time() - sent_at
    retry_after = response.headers.get("retry-after", "")
    run.responses.append((sent_at, took_s, response.status, retry_after))


async def press_gateway(
    run: LimitRun, gateway: str, per_s: float, nursery: trio.Nursery
) -> None:
    """Send calls to a gateway at a steady rate."""
    for number in range(int(DURATION_S * per_s)):
        nursery.start_soon(send_call, run, gateway, f"{gateway}-{number}")
        await trio.sleep(1.0 / per_s)


async def submit_steps(run: LimitRun, nursery: trio.Nursery) -> None:
    """Submit items every four seconds and read them until all are listed."""

    async def read_step(name: str) -> None:
        history = make_history(name, run.scenario.items)
        await run.fleet.send_request("g0", make_submission_request(history))
        run.submitted_items += run.scenario.items
        with trio.move_on_after(60.0):
            while len(history.results) < run.scenario.items:
                await read_page_at(run.fleet, "g0", history)
                await trio.sleep(0.2)
        run.listed_items += len(history.results)

    for number in range(int(DURATION_S / 4)):
        nursery.start_soon(read_step, f"step{number}")
        await trio.sleep(4.0)


async def name_versions(run: LimitRun) -> None:
    """Name a new version of the weights from time to time."""
    version = 1
    while True:
        await trio.sleep(run.scenario.version_interval_s)
        version += 1
        run.fleet.write_named_version("m0", version)


async def make_changes(run: LimitRun) -> None:
    """Name the limits, then make the scenario's changes in time."""
    await trio.sleep(NAMED_AT_S)
    for name in run.scenario.limited:
        faults = run.fleet.cluster.samplers[name].faults
        faults.limit_per_s = run.scenario.limit_per_s
    for at, change in run.scenario.changes:
        await trio.sleep_until(run.started_at + at)
        change(run.fleet)


def run_scenario(scenario: LimitScenario) -> list[str]:
    """Run a scenario in virtual time; return the broken bounds."""

    async def work() -> list[str]:
        fleet = GatewayFleet(
            GatewayPlan(
                gateways=max(3, len(scenario.loads)),
                samplers=3,
                apps=2,
                models=("m0",),
                slots=8,
                seed=5,
            )
        )
        async with trio.open_nursery() as background:
            await fleet.start(background)
            run = LimitRun(scenario, trio.current_time(), fleet)
            if scenario.version_interval_s:
                background.start_soon(name_versions, run)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(make_changes, run)
                for number, per_s in enumerate(scenario.loads):
                    nursery.start_soon(
                        press_gateway, run, f"g{number}", per_s, nursery
                    )
                if scenario.items:
                    nursery.start_soon(submit_steps, run, nursery)
            background.cancel_scope.cancel()
        return run.find_violations()

    return run_virtual(work, 1, MAX_VIRTUAL_S)
