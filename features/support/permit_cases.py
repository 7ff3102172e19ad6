"""Decisions on permits of instances that named a limit.

Pattern: urgent calls, bulk work and load orders press for more than an
instance takes.
"""

from collections.abc import Callable

from pistachiospar.adapters.http.address import Address
from pistachiospar.limits.keeper import PermitKeeper
from pistachiospar.limits.messages import PermitCall
from pistachiospar.limits.permits import count_usable_slots
from pistachiospar.limits.permits import PermitBucket

URGENT = 0
BULK = 2
ADDRESS = Address("127.0.0.1", 1)


def press_bucket(
    per_s: float,
    urgencies: tuple[int, ...],
    seconds: float,
    interval_s: float = 0.01,
    max_wait_s: float = 0.1,
) -> dict[int, int]:
    """Ask at a steady rate; return the permits of each urgency."""
    bucket = PermitBucket(0.0)
    granted = dict.fromkeys(urgencies, 0)
    now = 0.0
    while now < seconds:
        for urgency in urgencies:
            decision = bucket.acquire(per_s, urgency, max_wait_s, now)
            granted[urgency] += decision.granted
        now += interval_s
    return granted


def count_permits(per_s: float, seconds: float) -> bool:
    """Return whether permits are all used and never too many."""
    granted = press_bucket(per_s, (URGENT,), seconds)[URGENT]
    expected = per_s * seconds
    return expected - 1 <= granted <= expected + max(1.0, per_s) + 1


def compare_urgencies() -> tuple[bool, bool]:
    """Return whether urgent calls get nearly all, bulk work little."""
    granted = press_bucket(5.0, (BULK, URGENT), 20.0)
    return granted[URGENT] > 90, granted[BULK] < 10


def use_up_alone() -> bool:
    """Return whether bulk work gets all permits that nobody else wants."""
    return press_bucket(5.0, (BULK,), 20.0)[BULK] >= 99


def leave_permit() -> tuple[bool, float]:
    """Return what an urgent call gets beside bulk work that presses."""
    bucket = PermitBucket(0.0)
    bucket.acquire(8.0, URGENT, 0.0, 0.0)
    for number in range(1, 100):
        bucket.acquire(8.0, BULK, 0.0, number * 0.01)
    decision = bucket.acquire(8.0, URGENT, 0.0, 1.0)
    return decision.granted, decision.wait_s


def queue_urgent() -> list[float]:
    """Return the waits of urgent calls that come together."""
    bucket = PermitBucket(0.0)
    taken = [bucket.acquire(4.0, URGENT, 0.6, 0.0) for _ in range(4)]
    return [round(d.wait_s, 2) if d.granted else -1.0 for d in taken]


def ask_again() -> bool:
    """Return whether a refused call gets a permit when it asks again."""
    bucket = PermitBucket(0.0)
    while (refused := bucket.acquire(3.0, URGENT, 0.2, 0.0)).granted:
        pass
    return bucket.acquire(3.0, URGENT, 0.2, refused.wait_s).granted


class KeeperClock:
    """A keeper with a clock that the case sets."""

    def __init__(self) -> None:
        self.now = 0.0
        self.keeper = PermitKeeper(lambda: self.now)

    def ask(
        self, limit: float | None, age_s: float = 0.0, started_ms: int = 1
    ) -> tuple[bool, float | None]:
        """Ask for a permit; return whether it was granted, and the limit."""
        reply = self.keeper.acquire(
            PermitCall(
                "i-1",
                started_ms,
                ADDRESS.host,
                ADDRESS.port,
                limit,
                age_s,
                URGENT,
                0.0,
                1.0,
            )
        )
        return reply.granted, reply.limit_per_s


def end_limit() -> list[tuple[bool, float | None]]:
    """Ask after another gateway saw the limit end, with older knowledge."""
    clock = KeeperClock()
    found = [clock.ask(1.0), clock.ask(1.0)]
    clock.now = 0.3
    found += [clock.ask(None), clock.ask(1.0, age_s=0.3)]
    return found


def change_lifetime() -> list[tuple[bool, float | None]]:
    """Ask for two lifetimes of an instance of one name."""
    clock = KeeperClock()
    return [clock.ask(1.0), clock.ask(1.0), clock.ask(1.0, started_ms=2)]


CASES: dict[str, tuple[Callable[[], object], object]] = {
    "permits add up to the limit, 0.7 a second": (
        lambda: count_permits(0.7, 60.0),
        True,
    ),
    "permits add up to the limit, 40 a second": (
        lambda: count_permits(40.0, 30.0),
        True,
    ),
    "urgent calls come before bulk work": (compare_urgencies, (True, True)),
    "bulk work alone uses the whole limit": (use_up_alone, True),
    "bulk work leaves a permit to an urgent call": (
        leave_permit,
        (True, 0.0),
    ),
    "urgent calls queue for as long as they may": (
        queue_urgent,
        [0.0, 0.25, 0.5, -1.0],
    ),
    "a refused call that asks again in time is served": (ask_again, True),
    "the end of a limit counts more than older knowledge": (
        end_limit,
        [(True, 1.0), (False, 1.0), (True, None), (True, None)],
    ),
    "a limit leaves work for some slots only": (
        lambda: [
            count_usable_slots(6, limit, 0.1) for limit in (None, 1.3, 25, 900)
        ],
        [6, 1, 3, 6],
    ),
    "an instance that takes nothing has a slot to try it": (
        lambda: count_usable_slots(6, 0.0, 0.1),
        1,
    ),
    "another lifetime has permits of its own": (
        change_lifetime,
        [(True, 1.0), (False, 1.0), (True, 1.0)],
    ),
}
