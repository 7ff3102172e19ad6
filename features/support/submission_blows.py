"""Support the blows that tales of submissions meet."""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from pistachiospar_standins.fakes.gateways import GatewayFleet
import trio


def pick(fleet: GatewayFleet, rng: Random) -> str:
    """Pick a gateway that may or may not run."""
    return f"g{rng.randrange(fleet.plan.gateways)}"


async def kill_gateway(fleet: GatewayFleet, rng: Random) -> None:
    """Kill a gateway, mostly the holder, and start it again."""
    holder = fleet.find_holder()
    name = holder if holder and rng.random() < 0.7 else pick(fleet, rng)
    fleet.kill_gateway(name)
    await trio.sleep(rng.uniform(0.1, 4.0))
    if name not in fleet.running:
        fleet.start_gateway(name)


async def kill_all(fleet: GatewayFleet, rng: Random) -> None:
    """Kill all gateways at once."""
    names = list(fleet.running)
    for name in names:
        fleet.kill_gateway(name)
    await trio.sleep(rng.uniform(0.3, 1.5))
    for name in names:
        if name not in fleet.running:
            fleet.start_gateway(name)


async def hand_over(fleet: GatewayFleet, rng: Random) -> None:
    """Stop the holder as SIGTERM does, then start it again."""
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


async def turn_away(fleet: GatewayFleet, rng: Random) -> None:
    """Let the store refuse one gateway, which its peers may reach."""
    holder = fleet.find_holder()
    name = holder if holder and rng.random() < 0.7 else pick(fleet, rng)
    running = fleet.running.get(name)
    if running is None:
        return
    apart = rng.random() < 0.5
    running.kv.faults.down = True
    if apart:
        fleet.apart.add(name)
    await trio.sleep(rng.uniform(0.5, 7.0))
    running.kv.faults.down = False
    fleet.apart.discard(name)


async def take_store_down(fleet: GatewayFleet, rng: Random) -> None:
    """Take the store away from all; leases may lapse meanwhile."""
    struck = list(fleet.running.values())
    for running in struck:
        running.kv.faults.down = True
    await trio.sleep(rng.uniform(0.5, 5.0))
    for running in struck:
        running.kv.faults.down = False


async def lose_replies(fleet: GatewayFleet, rng: Random) -> None:
    """Lose replies to writes that took effect."""
    for running in list(fleet.running.values()):
        running.kv.faults.lose_reply_every = rng.choice([2, 3])
    await trio.sleep(rng.uniform(0.5, 4.0))
    for running in list(fleet.running.values()):
        running.kv.faults.lose_reply_every = 0


async def forget_history(fleet: GatewayFleet, rng: Random) -> None:
    """Let the store drop its history."""
    fleet.store.forget_history()


async def stand_still(fleet: GatewayFleet, rng: Random) -> None:
    """Let the holder's machine miss time that only one clock counts."""
    name = fleet.find_holder()
    if name is not None:
        fleet.running[name].boot_skip_s += rng.uniform(0.5, 6.0)


async def hurt_sampler(fleet: GatewayFleet, rng: Random) -> None:
    """Let an instance fail in some way for a while."""
    faults = rng.choice(list(fleet.world.samplers.values())).faults
    match rng.randint(0, 3):
        case 0:
            faults.down = True
            await trio.sleep(rng.uniform(0.2, 4.0))
            faults.down = False
        case 1:
            faults.cut_share = 0.05
            await trio.sleep(rng.uniform(0.5, 5.0))
            faults.cut_share = 0.0
        case 2:
            faults.slow = rng.choice([3.0, 8.0])
            await trio.sleep(rng.uniform(0.5, 5.0))
            faults.slow = 1.0
        case _:
            faults.lose_orders = 0.7
            await trio.sleep(rng.uniform(0.5, 5.0))
            faults.lose_orders = 0.0


async def change_configuration(fleet: GatewayFleet, rng: Random) -> None:
    """Write a new version of the configuration."""
    fleet.write_configuration()


async def heal(fleet: GatewayFleet) -> None:
    """End all faults."""
    for sampler in fleet.world.samplers.values():
        sampler.faults.down = False
        sampler.faults.slow = 1.0
    fleet.apart.clear()
    for number in range(fleet.plan.gateways):
        name = f"g{number}"
        if name not in fleet.running:
            fleet.start_gateway(name)
        fleet.running[name].kv.faults.down = False


BLOWS: list[Callable[[GatewayFleet, Random], Awaitable[None]]] = [
    kill_gateway,
    kill_gateway,
    kill_all,
    hand_over,
    turn_away,
    turn_away,
    take_store_down,
    lose_replies,
    forget_history,
    stand_still,
    hurt_sampler,
    hurt_sampler,
    hurt_sampler,
    change_configuration,
]
