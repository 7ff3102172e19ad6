"""Races of operators that roll bundles under faults, by seed."""

from dataclasses import dataclass
from dataclasses import field
from random import Random

import msgspec
from pistachiospar.bundle.coordinator import BundleKeeper
from pistachiospar.bundle.rolling import BundleRoller
from pistachiospar.bundle.rolling import RollConflict
from pistachiospar.bundle.rolling import Rolled
from pistachiospar.bundle.rolling import RollOutcome
from pistachiospar.bundle.rolling import RollRefused
from pistachiospar.bundle.rolling import RollUnknown
from pistachiospar.live_state.coordinator import LiveCoordinator
from pistachiospar.telemetry.metrics import Metrics
from pistachiospar_standins.fakes.entry_fleet import list_public_keys
from pistachiospar_standins.fakes.entry_fleet import make_private_keys
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.kv import FakeKeyValue
from pistachiospar_standins.fakes.kv import KvFaultSet
from pistachiospar_standins.kv.store import Store
import trio

from .bundles import make_bundle
from .bundles import PARTNERS

MAX_VIRTUAL_S = 3600.0
OPERATOR_COUNT = 3
ROLLS_PER_OPERATOR = 3
ROLL_TIMEOUT_S = 40.0
CATCH_UP_S = 4.0


@dataclass(frozen=True, slots=True)
class RollRecord:
    """One roll and the outcome that its operator got."""

    name: str
    digest: str
    outcome: RollOutcome


@dataclass(slots=True)
class RaceResult:
    """The rolls, the history and the versions that watchers saw."""

    seed: int
    rolls: list[RollRecord] = field(default_factory=list)
    history: list[str] = field(default_factory=list)
    seen: list[list[int]] = field(default_factory=list)
    last_version: int = 0

    def find_violations(self) -> list[str]:
        """Return the violated guarantees, a line each with the seed."""
        violations: list[str] = []
        won = [roll for roll in self.rolls if isinstance(roll.outcome, Rolled)]
        for roll in self.rolls:
            took_effect = roll.digest in self.history
            match roll.outcome:
                case Rolled() if not took_effect:
                    violations.append(f"{roll.name} was rolled without effect")
                case RollConflict() | RollRefused() if took_effect:
                    violations.append(
                        f"{roll.name} was refused but took effect"
                    )
                case RollUnknown():
                    violations.append(
                        f"the outcome of {roll.name} stayed unknown"
                    )
        versions = [
            roll.outcome.version
            for roll in won
            if isinstance(roll.outcome, Rolled)
        ]
        if len(versions) != len(set(versions)):
            violations.append(f"two winners of a version: {versions}")
        for watcher in self.seen:
            if watcher != sorted(set(watcher)):
                violations.append(
                    f"the version of a process decreased: {watcher}"
                )
            if watcher and watcher[-1] != self.last_version:
                violations.append(f"a process stayed at version {watcher[-1]}")
        return [f"seed {self.seed}: {line}" for line in violations]


def run_race(seed: int) -> RaceResult:
    """Have three operators roll bundles concurrently, under faults."""
    rng = Random(seed)
    result = RaceResult(seed)
    store = Store()

    async def run_case() -> None:
        faults = KvFaultSet()
        async with trio.open_nursery() as nursery:
            for number in range(2):
                nursery.start_soon(run_watcher, store, faults, rng, result)
            nursery.start_soon(inject_faults, faults, rng)
            async with trio.open_nursery() as operators:
                for number in range(OPERATOR_COUNT):
                    kv = FakeKeyValue(store, faults)
                    roller = BundleRoller(kv, rng)
                    operators.start_soon(
                        run_operator, roller, number, rng, result
                    )
            faults.down = False
            faults.silent_watch = False
            faults.latency_s = 0.002
            await trio.sleep(10.0 + CATCH_UP_S)
            nursery.cancel_scope.cancel()
        roller = BundleRoller(FakeKeyValue(store, KvFaultSet()), rng)
        history = (await roller.list_history()).unwrap()
        result.history = [e.release.compute_digest() for e in history]
        if history:
            result.last_version = history[-1].release.version

    run_virtual(run_case, seed, MAX_VIRTUAL_S)
    return result


async def run_operator(
    roller: BundleRoller, number: int, rng: Random, result: RaceResult
) -> None:
    """Propose, sign and roll bundles, as one operator does."""
    for turn in range(ROLLS_PER_OPERATOR):
        await trio.sleep(rng.choice([0.0, 0.003, rng.uniform(0.0, 2.0)]))
        name = f"op{number}-{turn}"
        proposed = await roller.propose(make_bundle(name))
        if proposed.is_err():
            continue
        digest = proposed.unwrap().compute_digest()
        signed = True
        for partner, key in make_private_keys(PARTNERS).items():
            done = await roller.sign(digest, partner, key)
            signed = signed and done.is_ok()
        if not signed and rng.random() < 0.5:
            continue
        deadline = trio.current_time() + ROLL_TIMEOUT_S
        outcome = await roller.roll(digest, 0.0, deadline)
        result.rolls.append(RollRecord(name, digest, outcome))


async def run_watcher(
    store: Store, faults: KvFaultSet, rng: Random, result: RaceResult
) -> None:
    """Watch the bundle in force, as an entry does."""
    keeper = BundleKeeper(list_public_keys(PARTNERS))
    kv = FakeKeyValue(store, faults)
    live = LiveCoordinator(kv, keeper, Metrics(), rng)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(make_reads_stale, kv, rng)
        await record_versions(live, keeper, result)


async def make_reads_stale(kv: FakeKeyValue, rng: Random) -> None:
    """Make some reads return an older state, until cancelled."""
    while True:
        kv.save_snapshot()
        await trio.sleep(rng.uniform(0.0, 3.0))
        kv.stale_reads = rng.choice([0, 0, 1, 3])
        await trio.sleep(rng.uniform(0.0, 1.0))
        kv.stale_reads = 0


async def record_versions(
    live: LiveCoordinator, keeper: BundleKeeper, result: RaceResult
) -> None:
    """Record each version that comes into force."""
    seen: list[int] = []
    result.seen.append(seen)

    def record_version() -> None:
        if not seen or seen[-1] != keeper.version:
            seen.append(keeper.version)

    live.subscribe(record_version)
    await live.run_watch()


async def inject_faults(faults: KvFaultSet, rng: Random) -> None:
    """Inject random faults of the key-value service, until cancelled."""
    while True:
        await trio.sleep(rng.uniform(0.0, 1.0))
        match rng.randint(0, 4):
            case 0:
                faults.lose_replies += rng.randint(1, 3)
            case 1:
                faults.down = True
                await trio.sleep(rng.uniform(0.0, 5.0))
                faults.down = False
            case 2:
                faults.latency_s = rng.choice([0.002, 0.3, 1.9, 2.5])
                await trio.sleep(rng.uniform(0.0, 3.0))
                faults.latency_s = 0.002
            case 3:
                faults.silent_watch = True
                await trio.sleep(rng.uniform(0.0, 12.0))
                faults.silent_watch = False
            case _:
                faults.lose_reply_every = rng.choice([0, 2, 3])


def rotate_partner_key() -> list[str]:
    """Rotate a partner's key; return the outcomes of the rolls."""
    found: list[str] = []

    async def run_case() -> None:
        store = Store()
        kv = FakeKeyValue(store, KvFaultSet())
        roller = BundleRoller(kv, Random(1))
        keys = make_private_keys(PARTNERS)
        await roll_signed(roller, "first", keys, found)
        other = make_private_keys(["x", "y", "north"])["north"]
        bundle = make_bundle("rotated")
        partners = [
            msgspec.structs.replace(
                partner,
                public_key=list_public_keys(["x", "y", "north"])["north"],
            )
            if partner.name == "north"
            else partner
            for partner in bundle.partners
        ]
        rotated = msgspec.structs.replace(bundle, partners=partners)
        release = (await roller.propose(rotated)).unwrap()
        digest = release.compute_digest()
        for partner, key in keys.items():
            await roller.sign(digest, partner, key)
        outcome = await roller.roll(digest, 0.0, trio.current_time() + 5.0)
        found.append(f"old keys only: {type(outcome).__name__}")
        await roller.sign(digest, "north", other)
        outcome = await roller.roll(digest, 0.0, trio.current_time() + 5.0)
        found.append(f"old and new keys: {type(outcome).__name__}")
        keeper = BundleKeeper(list_public_keys(PARTNERS))
        live = LiveCoordinator(kv, keeper, Metrics(), Random(2))
        with trio.move_on_after(3.0):
            await live.run_watch()
        found.append(f"a new process: version {keeper.version}")

    run_virtual(run_case, 1, MAX_VIRTUAL_S)
    return found


async def roll_signed(
    roller: BundleRoller,
    name: str,
    keys: dict[str, bytes],
    found: list[str],
) -> None:
    """Propose, sign and roll a bundle."""
    release = (await roller.propose(make_bundle(name))).unwrap()
    for partner, key in keys.items():
        await roller.sign(release.compute_digest(), partner, key)
    deadline = trio.current_time() + 5.0
    outcome = await roller.roll(release.compute_digest(), 0.0, deadline)
    found.append(f"{name}: {type(outcome).__name__}")
