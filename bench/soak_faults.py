"""Faults that a soak injects into gateway processes from outside."""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random
import signal
import subprocess
from typing import Protocol

from pistachiospar_standins.fakes.gateway_fleet import OTHER_POOL
from pistachiospar_standins.fakes.gateway_fleet import POOL
from pistachiospar_standins.fakes.gateway_plan import GatewayPlan
import trio

from .soak_callers import KeptConnections
from .soak_proxy import ProxyFaults


class SoakedFleet(Protocol):
    """What faults need of a fleet of processes."""

    processes: dict[str, subprocess.Popen[bytes]]
    faults: dict[str, ProxyFaults]
    kept: KeptConnections
    plan: GatewayPlan

    def start_process(self, name: str) -> None:
        """Start a gateway's process, unless it runs."""

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""


Fault = Callable[[SoakedFleet, str, Random], Awaitable[None]]


async def kill_and_restart(fleet: SoakedFleet, name: str, rng: Random) -> None:
    """Kill a gateway and restart it within 2 s."""
    process = fleet.processes[name]
    killed_at = trio.current_time()
    process.kill()
    await trio.to_thread.run_sync(process.wait)
    await trio.sleep(rng.uniform(0.1, 2.0))
    fleet.start_process(name)
    fleet.kept.record_harm(name, killed_at, trio.current_time())


async def terminate_and_restart(
    fleet: SoakedFleet, name: str, rng: Random
) -> None:
    """Stop a gateway with SIGTERM, then restart it."""
    process = fleet.processes[name]
    process.send_signal(signal.SIGTERM)
    await trio.to_thread.run_sync(process.wait)
    fleet.start_process(name)


async def suspend(fleet: SoakedFleet, name: str, rng: Random) -> None:
    """Suspend a gateway's process for 0.5 to 6 s."""
    process = fleet.processes[name]
    suspended_at = trio.current_time()
    process.send_signal(signal.SIGSTOP)
    await trio.sleep(rng.uniform(0.5, 6.0))
    process.send_signal(signal.SIGCONT)
    fleet.kept.record_harm(name, suspended_at, trio.current_time())


async def disturb_store_link(
    fleet: SoakedFleet, name: str, rng: Random
) -> None:
    """Make a gateway's proxy refuse, stall, delay or reset connections."""
    faults = fleet.faults[name]
    match rng.randint(0, 3):
        case 0:
            faults.refusing = True
            faults.reset_connections()
        case 1:
            faults.stalled = True
        case 2:
            faults.delay_s = rng.uniform(0.05, 0.5)
        case _:
            faults.reset_connections()
    await trio.sleep(rng.uniform(0.5, 5.0))
    faults.refusing = faults.stalled = False
    faults.delay_s = 0.0


async def hang_up(fleet: SoakedFleet, name: str, rng: Random) -> None:
    """Send SIGHUP a few times."""
    for _ in range(rng.randint(1, 4)):
        fleet.processes[name].send_signal(signal.SIGHUP)
        await trio.sleep(rng.uniform(0.0, 0.5))


async def terminate_twice(fleet: SoakedFleet, name: str, rng: Random) -> None:
    """Send SIGTERM again while the gateway drains, then restart it."""
    process = fleet.processes[name]
    process.send_signal(signal.SIGTERM)
    await trio.sleep(rng.uniform(0.0, 2.0))
    process.send_signal(signal.SIGTERM)
    await trio.to_thread.run_sync(process.wait)
    fleet.start_process(name)


async def change_routes(fleet: SoakedFleet, name: str, rng: Random) -> None:
    """Write several versions of the configuration."""
    for _ in range(rng.randint(1, 5)):
        fleet.write_configuration()
        await trio.sleep(rng.uniform(0.0, 0.5))


async def move_rollouts(
    fleet: SoakedFleet, rng: Random, is_over: Callable[[], bool]
) -> None:
    """Move the rollout route between pools, half the time with its models.

    `rng` is its own, so that a seed's other faults stay the same.
    """
    while not is_over():
        await trio.sleep(rng.uniform(1.0, 6.0))
        upstream = rng.choice([POOL, OTHER_POOL])
        pools = [upstream] if rng.random() < 0.5 else [POOL, OTHER_POOL]
        fleet.plan.rollout_upstream = upstream
        fleet.plan.pool_models = dict.fromkeys(pools, fleet.plan.models)
        fleet.write_configuration()


FAULTS: list[Fault] = [
    kill_and_restart,
    kill_and_restart,
    terminate_and_restart,
    suspend,
    disturb_store_link,
    disturb_store_link,
]


SERIES_FAULTS: list[Fault] = [
    *FAULTS,
    terminate_and_restart,
    terminate_and_restart,
    terminate_twice,
    hang_up,
    hang_up,
    change_routes,
]
