"""Usage reports of a few gateways under faults, in virtual time."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from random import Random

import msgspec
from pistachiospar.adapters.http.address import Address
from pistachiospar.duties.models import DutySettings
from pistachiospar.gateway.coordinator import GatewayCoordinator
from pistachiospar.platform.cloud import UsageMessage
from pistachiospar.usage.holder import UsageTerm
from pistachiospar_standins.fakes.cloud import DutyArrival
from pistachiospar_standins.fakes.cloud import USAGE
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import LEASE_TTL_S
import trio

WINDOW_S = 5.0
DUE_S = 10.0
SETTINGS = DutySettings(Address("127.0.0.1", 1), (USAGE,), 4.0)
ORGANISATIONS = ("org-a", "org-b", "org-c")
FAULT_SPAN_S = 40.0
SETTLE_S = 30.0
MAX_VIRTUAL_S = 300.0
# Counts of the last moments before a kill may be lost: they are sent once a
# second, and stored at most a second later.
LAST_MOMENTS_S = 2.1
LATE_CALL_WAIT_S = 6.0
STOP_TIMEOUT_S = 4.0
HOLDER_KEY = "duty/usage"


@dataclass(slots=True)
class CountedCall:
    """A call that a gateway counted; `excused` once it may be lost."""

    gateway: str
    organisation: str
    at: float
    excused: bool = False


@dataclass(slots=True)
class UsageRun:
    """A fleet and the calls that its gateways counted."""

    fleet: GatewayFleet
    rng: Random
    calls: list[CountedCall] = field(default_factory=list)
    frozen_until: dict[str, float] = field(default_factory=dict)
    incarnations: set[GatewayCoordinator] = field(default_factory=set)
    durable_until: dict[str, float] = field(default_factory=dict)

    async def observe(self) -> None:
        """Note up to when the counts of each gateway must be durable.

        They must once a holder in touch has served for some time.
        """
        touch: dict[str, tuple[object, float]] = {}
        while True:
            await trio.sleep(0.1)
            now = trio.current_time()
            term = self._find_term()
            for name, running in self.fleet.running.items():
                self.incarnations.add(running.coordinator)
                if term is None or name in self.frozen_until:
                    touch.pop(name, None)
                    continue
                process = (term, running.coordinator)
                known, since = touch.setdefault(name, (process, now))
                if known != process:
                    touch[name] = (process, now)
                elif now - since > LAST_MOMENTS_S:
                    self.durable_until[name] = now - LAST_MOMENTS_S

    def _find_term(self) -> UsageTerm | None:
        """Return the term of the holder, None while something ails it."""
        for name, running in self.fleet.running.items():
            usage = running.coordinator.duties.usage
            if usage is None or usage.term is None:
                continue
            if name not in self.frozen_until and not (
                running.kv.faults.lose_reply_every
            ):
                return usage.term
        return None

    def count_late(self, window: int, organisation: str) -> int:
        """Return the calls that were logged as too late for a window."""
        return sum(
            late.number
            for coordinator in self.incarnations
            if coordinator.duties.usage is not None
            for late in coordinator.duties.usage.list_late()
            if (late.window, late.organisation) == (window, organisation)
        )

    async def count_calls(self, name: str, per_s: float) -> None:
        """Count calls at a gateway at random times, until cancelled."""
        while True:
            await trio.sleep(self.rng.expovariate(per_s))
            running = self.fleet.running.get(name)
            if running is None or name in self.frozen_until:
                continue
            usage = running.coordinator.duties.usage
            assert usage is not None
            organisation = self.rng.choice(ORGANISATIONS)
            now_s = usage.clock.read_s()
            usage.recorder.record(organisation, now_s)
            self.calls.append(CountedCall(name, organisation, now_s))

    def kill(self, name: str) -> None:
        """Kill a gateway; what isn't durable is lost."""
        since = self.durable_until.get(name, 0.0)
        for call in self.calls:
            if call.gateway == name and call.at > since:
                call.excused = True
        self.fleet.kill_gateway(name)

    async def kill_for(self, name: str, seconds: float) -> None:
        """Kill a gateway and start it again."""
        self.kill(name)
        await trio.sleep(seconds)
        if name not in self.fleet.running:
            self.fleet.start_gateway(name)

    async def stop_for(self, name: str, seconds: float) -> None:
        """Stop a gateway in order and start it again."""
        running = self.fleet.running.get(name)
        if running is None or name in self.frozen_until:
            return
        with trio.move_on_after(STOP_TIMEOUT_S):
            await running.coordinator.hand_over()
            await running.coordinator.duties.finish()
        if self.fleet.running.get(name) is running:
            await self.kill_for(name, seconds)

    async def cut_for(self, name: str, seconds: float) -> None:
        """Cut a gateway off from all others and the store.

        Maybe from the interface too: all its calls hang then, as those of a
        frozen process do.
        """
        running = self.fleet.running.get(name)
        if running is None or name in self.frozen_until:
            return
        self.frozen_until[name] = trio.current_time() + seconds
        self.fleet.isolated.add(name)
        if self.rng.random() < 0.5:
            self.fleet.cloud.cut.add(name)
        faults = running.kv.faults
        faults.latency_s, faults.silent_poll = 3.0, True
        await trio.sleep(seconds)
        faults.latency_s, faults.silent_poll = 0.002, False
        self.fleet.isolated.discard(name)
        self.fleet.cloud.cut.discard(name)
        del self.frozen_until[name]

    async def lose_replies(self, name: str, seconds: float) -> None:
        """Lose the replies to each second write of a gateway."""
        running = self.fleet.running.get(name)
        if running is None:
            return
        running.kv.faults.lose_reply_every = 2
        await trio.sleep(seconds)
        running.kv.faults.lose_reply_every = 0

    def find_holder(self) -> str | None:
        """Return the gateway that holds the duty, or None."""
        for name, running in self.fleet.running.items():
            role = running.coordinator.holders.roles.get(HOLDER_KEY)
            if role is not None and not role.lost:
                return name
        return None

    def read_reports(self) -> dict[int, set[bytes]]:
        """Return the reports that were carried out, by window."""
        reports: dict[int, set[bytes]] = {}
        for arrival in self.fleet.cloud.arrivals:
            message = msgspec.json.decode(arrival.body, type=UsageMessage)
            reports.setdefault(message.window, set()).add(arrival.body)
        return reports


def find_violations(run: UsageRun, ended_at: float) -> list[str]:
    """Return the guarantees that were violated."""
    reports = run.read_reports()
    violations = [
        f"window {window} has {len(bodies)} values"
        for window, bodies in reports.items()
        if len(bodies) > 1
    ]
    violations += find_fence_violations(run.fleet.cloud.arrivals)
    last = int((ended_at - DUE_S) // WINDOW_S) - 1
    if reports:
        missing = set(range(min(reports), last + 1)) - set(reports)
        violations += [f"window {window} not reported" for window in missing]
    violations += find_count_violations(run, reports, last)
    return violations


def find_fence_violations(arrivals: list[DutyArrival]) -> Iterator[str]:
    """Yield fences of two holders, falling ones, and short changes back."""
    holders: dict[int, str] = {}
    highest = 0
    last_at: dict[str, float] = {}
    last_other = ""
    for arrival in arrivals:
        holder = holders.setdefault(arrival.fence, arrival.holder)
        if holder != arrival.holder:
            yield f"fence {arrival.fence} of {holder} and {arrival.holder}"
        if arrival.fence < highest:
            yield f"fence {arrival.fence} after {highest} at {arrival.at}"
        highest = max(highest, arrival.fence)
        known_at = last_at.get(arrival.holder, float("-inf"))
        if last_other not in ("", arrival.holder) and (
            arrival.at - known_at < LEASE_TTL_S
        ):
            yield f"{arrival.holder} again within a lease at {arrival.at}"
        last_at[arrival.holder] = arrival.at
        last_other = arrival.holder


def find_count_violations(
    run: UsageRun, reports: dict[int, set[bytes]], last: int
) -> Iterator[str]:
    """Yield counts that are too high, or too low without an excuse."""
    for window, bodies in reports.items():
        if window > last:
            continue
        message = msgspec.json.decode(min(bodies), type=UsageMessage)
        calls = [c for c in run.calls if int(c.at // WINDOW_S) == window]
        for organisation in ORGANISATIONS:
            own = [c for c in calls if c.organisation == organisation]
            needed = sum(not call.excused for call in own)
            needed -= run.count_late(window, organisation)
            count = message.counts.get(organisation, 0)
            if not needed <= count <= len(own):
                yield (
                    f"window {window}: {organisation} {count} reported, "
                    f"{needed} to {len(own)} counted"
                )


def run_usage(seed: int, require_fence: bool) -> list[str]:
    """Run random faults of a seed; return the violations."""
    rng = Random(seed)
    plan = GatewayPlan(
        gateways=4,
        samplers=0,
        apps=1,
        seed=seed,
        duties=SETTINGS,
        require_fence=require_fence,
        lost_count_share=rng.choice((0.0, 0.2)),
        is_first_start=True,
    )

    async def work() -> list[str]:
        fleet = GatewayFleet(plan)
        run = UsageRun(fleet, rng)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            nursery.start_soon(run.observe)
            for number in range(plan.gateways):
                nursery.start_soon(
                    run.count_calls, f"g{number}", rng.choice((0.3, 2.0, 9.0))
                )
            await inject_faults(run, nursery)
            await trio.sleep(SETTLE_S)
            ended_at = trio.current_time()
            nursery.cancel_scope.cancel()
        return find_violations(run, ended_at)

    return run_virtual(work, seed, MAX_VIRTUAL_S)


async def wait_for_late_call(run: UsageRun) -> None:
    """Wait until a call of the holder will be carried out later.

    A fault is worst then, as another gateway may make calls before.
    """
    known = run.fleet.cloud.late_calls
    with trio.move_on_after(LATE_CALL_WAIT_S):
        while run.fleet.cloud.late_calls == known:
            await trio.sleep(0.05)
        await trio.sleep(run.rng.uniform(0.0, 1.0))


async def inject_faults(run: UsageRun, nursery: trio.Nursery) -> None:
    """Inject random faults, mostly at the holder, then end them."""
    rng, faults = run.rng, run.fleet.cloud.faults
    ends_at = trio.current_time() + FAULT_SPAN_S
    faults.lost_share = rng.choice((0.0, 0.2))
    faults.late_share = rng.choice((0.0, 0.5))
    faults.limited_share = rng.choice((0.0, 0.2))
    while trio.current_time() < ends_at:
        await trio.sleep(rng.uniform(1.0, 8.0))
        if rng.random() < 0.7:
            await wait_for_late_call(run)
        holder = run.find_holder()
        names = sorted(run.fleet.running)
        name = holder if holder and rng.random() < 0.7 else rng.choice(names)
        seconds = rng.uniform(0.5, 6.0)
        match rng.randrange(5):
            case 0:
                nursery.start_soon(run.kill_for, name, seconds)
            case 1:
                nursery.start_soon(run.cut_for, name, seconds)
            case 2:
                nursery.start_soon(run.lose_replies, name, seconds)
            case 3:
                nursery.start_soon(run.stop_for, name, seconds)
            case _:
                faults.down = True
                await trio.sleep(seconds)
                faults.down = False
    await trio.sleep(8.0)
    faults.lost_share = faults.late_share = faults.limited_share = 0.0
