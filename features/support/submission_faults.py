"""Faults that random submission scenarios inject."""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import OTHER_POOL
from pistachiospar_standins.fakes.gateway_fleet import POOL
import trio


def pick_gateway(fleet: GatewayFleet, rng: Random) -> str:
    """Return a random gateway, whether it runs or not."""
    return f"g{rng.randrange(fleet.plan.gateways)}"


async def kill_gateway(fleet: GatewayFleet, rng: Random) -> None:
    """Kill a gateway, most often the holder, and restart it."""
    holder = fleet.find_holder()
    name = (
        holder if holder and rng.random() < 0.7 else pick_gateway(fleet, rng)
    )
    fleet.kill_gateway(name)
    await trio.sleep(rng.uniform(0.1, 4.0))
    if name not in fleet.running:
        fleet.start_gateway(name)


async def kill_all_gateways(fleet: GatewayFleet, rng: Random) -> None:
    """Kill all gateways at once and restart them together."""
    names = list(fleet.running)
    for name in names:
        fleet.kill_gateway(name)
    await trio.sleep(rng.uniform(0.3, 1.5))
    for name in names:
        if name not in fleet.running:
            fleet.start_gateway(name)


async def stop_holder(fleet: GatewayFleet, rng: Random) -> None:
    """Drain the holder as on SIGTERM, then restart it."""
    name = fleet.find_holder()
    if name is None:
        return
    running = fleet.running[name]
    await running.coordinator.hand_over()
    await trio.sleep(rng.uniform(0.0, 1.0))
    if fleet.running.get(name) is running:
        fleet.kill_gateway(name)
        await trio.sleep(0.3)
        fleet.start_gateway(name)


async def cut_off_from_store(fleet: GatewayFleet, rng: Random) -> None:
    """Cut a gateway off from the store, half the time from peers too."""
    holder = fleet.find_holder()
    name = (
        holder if holder and rng.random() < 0.7 else pick_gateway(fleet, rng)
    )
    running = fleet.running.get(name)
    if running is None:
        return
    from_peers = rng.random() < 0.5
    running.kv.faults.down = True
    if from_peers:
        fleet.isolated.add(name)
    await trio.sleep(rng.uniform(0.5, 7.0))
    running.kv.faults.down = False
    fleet.isolated.discard(name)


async def take_store_down(fleet: GatewayFleet, rng: Random) -> None:
    """Make the store unavailable to all, so that leases may expire."""
    affected = list(fleet.running.values())
    for running in affected:
        running.kv.faults.down = True
    await trio.sleep(rng.uniform(0.5, 5.0))
    for running in affected:
        running.kv.faults.down = False


async def lose_replies(fleet: GatewayFleet, rng: Random) -> None:
    """Drop the replies of some writes that took effect."""
    for running in list(fleet.running.values()):
        running.kv.faults.lose_reply_every = rng.choice([2, 3])
    await trio.sleep(rng.uniform(0.5, 4.0))
    for running in list(fleet.running.values()):
        running.kv.faults.lose_reply_every = 0


async def delay_replies(fleet: GatewayFleet, rng: Random) -> None:
    """Make requests to the store and its replies take random times."""
    affected = list(fleet.running.values())
    for running in affected:
        running.kv.faults.draw_delay_s = lambda: rng.expovariate(10.0)
    await trio.sleep(rng.uniform(2.0, 6.0))
    for running in affected:
        running.kv.faults.draw_delay_s = None


async def compact_store(fleet: GatewayFleet, rng: Random) -> None:
    """Make the store drop its history of changes."""
    fleet.store.compact()


async def suspend_holder(fleet: GatewayFleet, rng: Random) -> None:
    """Advance the holder's boot clock alone, as a suspension does."""
    name = fleet.find_holder()
    if name is not None:
        fleet.running[name].suspended_s += rng.uniform(0.5, 6.0)


async def degrade_sampler(fleet: GatewayFleet, rng: Random) -> None:
    """Make an instance fail, cut streams, slow down or apply orders late."""
    faults = rng.choice(list(fleet.cluster.samplers.values())).faults
    match rng.randint(0, 3):
        case 0:
            faults.down = True
            await trio.sleep(rng.uniform(0.2, 4.0))
            faults.down = False
        case 1:
            faults.truncated_share = 0.05
            await trio.sleep(rng.uniform(0.5, 5.0))
            faults.truncated_share = 0.0
        case 2:
            faults.slow_factor = rng.choice([3.0, 8.0])
            await trio.sleep(rng.uniform(0.5, 5.0))
            faults.slow_factor = 1.0
        case _:
            faults.lost_order_share = 0.7
            await trio.sleep(rng.uniform(0.5, 5.0))
            faults.lost_order_share = 0.0


async def change_configuration(fleet: GatewayFleet, rng: Random) -> None:
    """Write a new version of the configuration."""
    fleet.write_configuration()


async def move_route(fleet: GatewayFleet, rng: Random) -> None:
    """Move the rollout route, and half the time its models too."""
    upstream = rng.choice([POOL, OTHER_POOL])
    pools = [upstream] if rng.random() < 0.5 else [POOL, OTHER_POOL]
    fleet.plan.rollout_upstream = upstream
    fleet.plan.pool_models = dict.fromkeys(pools, fleet.plan.models)
    fleet.write_configuration()


async def clear_faults(fleet: GatewayFleet) -> None:
    """Clear the faults of samplers and stores; restart killed gateways."""
    for sampler in fleet.cluster.samplers.values():
        sampler.faults.down = False
        sampler.faults.slow_factor = 1.0
    fleet.isolated.clear()
    for number in range(fleet.plan.gateways):
        name = f"g{number}"
        if name not in fleet.running:
            fleet.start_gateway(name)
        fleet.running[name].kv.faults.down = False
        fleet.running[name].kv.faults.draw_delay_s = None


Fault = Callable[[GatewayFleet, Random], Awaitable[None]]

FAULTS: list[Fault] = [
    kill_gateway,
    kill_gateway,
    kill_all_gateways,
    stop_holder,
    cut_off_from_store,
    cut_off_from_store,
    take_store_down,
    lose_replies,
    compact_store,
    suspend_holder,
    degrade_sampler,
    degrade_sampler,
    degrade_sampler,
    change_configuration,
]

# A holder stops while commits are under way and replies come late.
STOP_FAULTS: list[Fault] = [
    stop_holder,
    stop_holder,
    delay_replies,
    delay_replies,
    lose_replies,
    kill_gateway,
]

# A route moves between two pools while anything else fails.
MOVE_FAULTS: list[Fault] = [*FAULTS, *[move_route] * 8, delay_replies]
