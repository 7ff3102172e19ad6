"""Crowds of plain calls at a few instances with bounded queues.

Pattern: callers send 25 times the usual calls for ten seconds, and one of
three instances is silent for six of them.
"""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
import trio

from .gateway_cases import send_plain

CROWD_S = 10.0
CROWD_PER_S = 180.0
USUAL_PER_S = 7.0
SILENT_FROM_S = 2.0
SILENT_S = 6.0
DEADLINE_S = 2.0
TARGET_S = 0.4
MAX_ARRIVALS_PER_CALL = 1.2
# A call is refused soon within this share of its route's target latency.
SOON_SHARE = 0.25
MAX_VIRTUAL_S = 120.0


@dataclass(frozen=True, slots=True)
class CrowdScenario:
    """A crowd; `min_served_share` is of the calls that instances can run.

    `slow_factor` multiplies the 30 ms that a call takes; three instances run
    four calls at once each. Some calls at the silent instance are held until
    their deadlines, where there is no time left to run them again. With
    `min_returned_share`, refused callers come back once, and that share of
    them is served.
    """

    per_s: float = CROWD_PER_S
    slow_factor: float = 4.0
    queue: int = 4
    is_silent: bool = True
    min_served_share: float = 0.75
    max_refused_share: float = 1.0
    max_held_share: float = 0.0
    min_on_target_share: float = 0.6
    max_arrivals_per_call: float = MAX_ARRIVALS_PER_CALL
    min_returned_share: float | None = None


@dataclass(frozen=True, slots=True)
class CallRecord:
    """How a call ended: status, seconds, and the Retry-After header."""

    call_id: str
    status: int
    took_s: float
    retry_after_s: float | None


@dataclass(slots=True)
class CrowdRun:
    """A run of a scenario and what became of its calls."""

    scenario: CrowdScenario
    fleet: GatewayFleet
    ended: list[CallRecord] = field(default_factory=list)
    returned: list[CallRecord] = field(default_factory=list)

    def describe(self) -> str:
        """Return the figures of the run."""
        statuses = Counter(call.status for call in self.ended)
        served = [c for c in self.ended if c.status == 200]
        late = sum(call.took_s > TARGET_S for call in served)
        soon = self._count_soon()
        return (
            f"calls {len(self.ended)}, arrivals {self._count_arrivals()}, "
            f"statuses {dict(statuses)}, late {late}, refused soon {soon}, "
            f"returned {Counter(call.status for call in self.returned)}, "
            f"slowest {max(c.took_s for c in self.ended):.2f} s"
        )

    def _count_soon(self) -> int:
        """Return how many calls were refused soon."""
        soon_s = SOON_SHARE * TARGET_S
        return sum(c.status == 503 and c.took_s <= soon_s for c in self.ended)

    def _count_arrivals(self) -> int:
        """Return how often calls arrived at instances."""
        return sum(bool(a.call_id) for a in self.fleet.cluster.arrivals)

    def list_violations(self) -> list[str]:
        """Return what the run broke."""
        scenario = self.scenario
        found: list[str] = []
        arrivals = self._count_arrivals() / len(self.ended)
        if arrivals > scenario.max_arrivals_per_call:
            found.append(f"{arrivals:.2f} arrivals a call")
        held = [c for c in self.ended if c.status not in (200, 503)]
        if len(held) > scenario.max_held_share * len(self.ended):
            found.append(f"{len(held)} calls held: {held[:3]}")
        refused = [c for c in self.ended if c.status == 503]
        ran = {run.call_id for run in self.fleet.cluster.runs}
        if any(call.call_id in ran for call in refused):
            found.append("a call that ran was reported as not run")
        if any(not call.retry_after_s for call in refused):
            found.append("a refusal without Retry-After")
        if len(refused) > scenario.max_refused_share * len(self.ended):
            found.append(f"{len(refused)} calls refused")
        if self._count_soon() < 0.9 * len(refused):
            found.append(f"{self._count_soon()} refused soon")
        served = [c for c in self.ended if c.status == 200]
        on_target = sum(call.took_s <= TARGET_S for call in served)
        if on_target < scenario.min_on_target_share * len(served):
            found.append(f"{on_target} of {len(served)} served on target")
        if len(served) < scenario.min_served_share * self._count_capacity():
            found.append(f"{len(served)} served")
        if scenario.min_returned_share is not None:
            served_later = sum(call.status == 200 for call in self.returned)
            if served_later < scenario.min_returned_share * len(self.returned):
                found.append(f"{served_later} of {len(refused)} came to room")
        return [f"{text}; {self.describe()}" for text in found]

    def _count_capacity(self) -> float:
        """Return how many of the calls the instances can run."""
        per_s = 4 / (0.03 * self.scenario.slow_factor)
        instance_s = 3 * CROWD_S - SILENT_S * self.scenario.is_silent
        return min(per_s * instance_s, len(self.ended))

    async def call(self, number: int) -> None:
        """Send one call to one of the gateways, again if it is refused."""
        await self._send(number, f"c{number}", self.ended)
        wait_s = self.ended[-1].retry_after_s
        if wait_s and self.scenario.min_returned_share is not None:
            await trio.sleep(wait_s)
            await self._send(number, f"r{number}", self.returned)

    async def _send(
        self, number: int, call_id: str, ended: list[CallRecord]
    ) -> None:
        """Send a call and record how it ended."""
        started_at = trio.current_time()
        gateway = f"g{number % self.fleet.plan.gateways}"
        response = await send_plain(
            self.fleet, gateway, call_id, int(DEADLINE_S * 1000)
        )
        took_s = trio.current_time() - started_at
        if response is None:
            ended.append(CallRecord(call_id, 0, took_s, None))
            return
        wait = response.headers.get("retry-after")
        ended.append(
            CallRecord(
                call_id,
                response.status,
                took_s,
                float(wait) if wait else None,
            )
        )


async def run_crowd(scenario: CrowdScenario) -> CrowdRun:
    """Send a crowd's calls and wait until all have ended."""
    fleet = GatewayFleet(
        GatewayPlan(seed=7, samplers=1, apps=3, queue=scenario.queue)
    )
    run = CrowdRun(scenario, fleet)
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        fleet.cluster.arrivals.clear()
        silent = fleet.cluster.samplers["a1"].faults
        for name in ("a0", "a1", "a2"):
            faults = fleet.cluster.samplers[name].faults
            faults.slow_factor = scenario.slow_factor
        async with trio.open_nursery() as calls:
            for number in range(int(scenario.per_s * CROWD_S)):
                at_s = number / scenario.per_s
                silent.silent = scenario.is_silent and (
                    SILENT_FROM_S <= at_s < SILENT_FROM_S + SILENT_S
                )
                calls.start_soon(run.call, number)
                await trio.sleep(1.0 / scenario.per_s)
            silent.silent = False
        nursery.cancel_scope.cancel()
    return run


SCENARIOS: dict[str, CrowdScenario] = {
    "more calls than the instances run": CrowdScenario(),
    "far more calls than the instances run": CrowdScenario(
        slow_factor=10.0, max_held_share=0.005, min_on_target_share=0.3
    ),
    "instances without a queue or figures": CrowdScenario(
        queue=0, max_held_share=0.005
    ),
    "refused callers come back once": CrowdScenario(
        is_silent=False, min_served_share=0.0, min_returned_share=0.5
    ),
    "as many calls as the other instances run": CrowdScenario(
        slow_factor=1.3, max_refused_share=0.01, min_on_target_share=0.98
    ),
    "the usual calls": CrowdScenario(
        per_s=USUAL_PER_S,
        is_silent=False,
        min_served_share=1.0,
        max_refused_share=0.0,
        min_on_target_share=1.0,
        max_arrivals_per_call=1.0,
    ),
}


def list_violations(name: str) -> list[str]:
    """Run a scenario in virtual time; return what it broke."""
    scenario = SCENARIOS[name]
    run = run_virtual(lambda: run_crowd(scenario), 5, MAX_VIRTUAL_S)
    return run.list_violations()
