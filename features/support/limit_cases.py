"""Cases of instances that name a limit."""

from collections.abc import Callable
from functools import partial

from pistachiospar.limits.const import PERMIT_TIMEOUT_S
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import STREAM_PREFIX
import trio

from .limit_scenarios import LimitRun
from .limit_scenarios import LimitScenario
from .limit_scenarios import make_changes
from .limit_scenarios import MAX_VIRTUAL_S
from .limit_scenarios import NAMED_AT_S
from .limit_scenarios import press_gateway
from .limit_scenarios import run_scenario
from .limit_scenarios import STABLE_S

# A gateway asks a silent keeper after 0, 1, 3 and 7 s.
MAX_SILENT_ASKS = 4


def kill(name: str, fleet: GatewayFleet) -> None:
    """Kill a gateway; what it was told doesn't count any more."""
    fleet.kill_gateway(name)
    for key in [key for key in fleet.cluster.told_at if key[0] == name]:
        del fleet.cluster.told_at[key]


def start(name: str, fleet: GatewayFleet) -> None:
    """Start a gateway."""
    fleet.start_gateway(name)


def isolate(name: str, fleet: GatewayFleet) -> None:
    """Cut a gateway off from all others and from the store."""
    fleet.isolated.add(name)
    fleet.running[name].kv.faults.down = True


def vanish(name: str, fleet: GatewayFleet) -> None:
    """Let a gateway's machine vanish; its address stays listed."""
    kill(name, fleet)
    fleet.isolated.add(name)


def lose_store(fleet: GatewayFleet) -> None:
    """Take the store away from all gateways."""
    for running in fleet.running.values():
        running.kv.faults.down = True


def end_limits(fleet: GatewayFleet) -> None:
    """Let the instances name no limit any more."""
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.limit_per_s = None


APPS = ("a0", "a1")
POOL_INSTANCES = ("s0", "s1", "s2")
UNEQUAL = (12.0, 4.0, 1.0)
RESTARTS = tuple(
    (6.0 + 2.0 * number + pause, partial(change, f"g{number}"))
    for number in range(3)
    for pause, change in ((0.0, kill), (1.0, start))
)
SCENARIOS: dict[str, LimitScenario] = {
    "plain calls, equal load": LimitScenario(
        APPS, 4.0, (6.0, 6.0, 6.0), is_pressed=True
    ),
    "plain calls, unequal load": LimitScenario(
        APPS, 4.0, UNEQUAL, is_pressed=True
    ),
    "plain calls, all at one gateway": LimitScenario(
        APPS, 4.0, (16.0,), is_pressed=True
    ),
    "plain calls, many gateways, a low limit": LimitScenario(
        APPS, 0.7, (2.0,) * 9, is_pressed=True
    ),
    "plain calls, one instance without limit": LimitScenario(
        ("a0",), 4.0, UNEQUAL
    ),
    "plain calls, limits of none at all": LimitScenario(
        APPS, 0.0, UNEQUAL, is_pressed=True
    ),
    "streams": LimitScenario(
        POOL_INSTANCES, 2.0, UNEQUAL, STREAM_PREFIX, is_pressed=True
    ),
    "items": LimitScenario(POOL_INSTANCES, 2.0, items=60),
    "scoring calls": LimitScenario(APPS, 2.0, items=48),
    "scoring calls beside plain calls": LimitScenario(
        APPS, 4.0, (4.0, 4.0, 4.0), items=12, is_pressed=True
    ),
    "load orders and reports": LimitScenario(
        POOL_INSTANCES, 1.5, items=6, version_interval_s=4.0
    ),
    "each gateway dies and returns": LimitScenario(
        APPS, 4.0, UNEQUAL, is_pressed=True, changes=RESTARTS
    ),
    "a gateway dies for good": LimitScenario(
        APPS,
        4.0,
        (1.0, 9.0, 8.0),
        is_pressed=True,
        changes=((8.0, partial(kill, "g0")),),
    ),
    "a gateway is cut off": LimitScenario(
        APPS,
        4.0,
        (9.0, 9.0, 9.0),
        is_pressed=True,
        excused=("g2",),
        changes=((8.0, partial(isolate, "g2")),),
    ),
    "gateways join": LimitScenario(
        APPS,
        4.0,
        UNEQUAL,
        is_pressed=True,
        changes=tuple((6.0 + n, partial(start, f"g{n}")) for n in range(3, 8)),
    ),
    "the store is away": LimitScenario(
        APPS, 4.0, UNEQUAL, is_pressed=True, changes=((6.0, lose_store),)
    ),
}


def run_silent_keeper() -> list[str]:
    """Call behind a keeper whose machine is gone; few calls wait for it."""
    scenario = LimitScenario(
        APPS, 4.0, (2.0, 2.0), changes=((3.0, partial(vanish, "g2")),)
    )

    async def work() -> list[str]:
        plan = GatewayPlan(gateways=3, models=("m0",), slots=8, seed=5)
        fleet = GatewayFleet(plan)
        async with trio.open_nursery() as background:
            await fleet.start(background)
            run = LimitRun(scenario, trio.current_time(), fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(make_changes, run)
                for number, per_s in enumerate(scenario.loads):
                    nursery.start_soon(
                        press_gateway, run, f"g{number}", per_s, nursery
                    )
            background.cancel_scope.cancel()
        slow = [r for r in run.responses if r[1] >= PERMIT_TIMEOUT_S]
        most = MAX_SILENT_ASKS * len(scenario.loads)
        found = run.find_violations()
        if len(slow) > most:
            found.append(f"{len(slow)} calls waited for a silent keeper")
        return found

    return run_virtual(work, 1, MAX_VIRTUAL_S)


def run_ended_limit() -> list[str]:
    """Run calls beyond a limit that ends; all are served after a second."""
    ends_at = 9.0
    scenario = LimitScenario(
        APPS, 4.0, UNEQUAL, changes=((ends_at, end_limits),)
    )

    async def work() -> list[str]:
        fleet = GatewayFleet(
            GatewayPlan(gateways=3, models=("m0",), slots=8, seed=5)
        )
        async with trio.open_nursery() as background:
            await fleet.start(background)
            run = LimitRun(scenario, trio.current_time(), fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(make_changes, run)
                for number, per_s in enumerate(scenario.loads):
                    nursery.start_soon(
                        press_gateway, run, f"g{number}", per_s, nursery
                    )
            background.cancel_scope.cancel()
        refused = [
            sent_at - run.started_at
            for sent_at, _, status, _ in run.responses
            if status != 200
        ]
        found = []
        if not any(NAMED_AT_S + STABLE_S < at < ends_at for at in refused):
            found.append("nothing was refused under the limit")
        if any(at > ends_at + 1.0 for at in refused):
            found.append("calls are still refused after the limit's end")
        return found

    return run_virtual(work, 1, MAX_VIRTUAL_S)


CASES: dict[str, Callable[[], list[str]]] = {
    **{name: partial(run_scenario, s) for name, s in SCENARIOS.items()},
    "the limit ends": run_ended_limit,
    "a keeper's machine is gone": run_silent_keeper,
}
