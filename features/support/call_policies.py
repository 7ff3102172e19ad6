"""Decisions on plain calls: instance, waiting, time to come back."""

from collections.abc import Callable
from contextlib import ExitStack
from random import Random

from pistachiospar.adapters.http.address import Address
from pistachiospar.costs.models import CallClass
from pistachiospar.forwarding.admission import estimate_availability
from pistachiospar.forwarding.admission import may_wait
from pistachiospar.forwarding.choice import choose_instance
from pistachiospar.forwarding.choice import estimate_loads
from pistachiospar.forwarding.health import InstanceHealth
from pistachiospar.forwarding.selection import choose_upstream
from pistachiospar.gateway.retry_after import choose_retry_after_s
from pistachiospar.ports.sampler import InstanceLoad
from pistachiospar.routing.instances import ListedInstance
from pistachiospar.routing.models import CallKind
from pistachiospar.routing.models import Route
from pistachiospar.routing.models import UpstreamShare

NOW = 100.0
CALL = CallClass("u", "r")


def choose_for_call(
    in_flight: dict[str, int],
    tried: set[str],
    connected: str = "",
    durations_s: tuple[float, ...] = (),
    loads: dict[str, InstanceLoad] | None = None,
    reported_ago_s: float = 0.0,
    choice_seed: int = 1,
    zones: str = "z",
) -> str:
    """Return the instance of a plain call, by the calls in flight.

    `durations_s` has the duration of ten calls at each instance, `loads` what
    the instances reported, `zones` the zone of each, in turn.
    """
    health = InstanceHealth(Random(1))
    instances = []
    for number in range(10):
        for name, duration_s in zip(in_flight, durations_s):
            if duration_s:
                at = NOW - 0.01 * (10 - number)
                with health.track_call(name, 4, CALL, at - duration_s) as call:
                    health.record_cost(name, call, at)
    for name, found in (loads or {}).items():
        health.record_load(name, found, NOW - reported_ago_s)
    for name, load in in_flight.items():
        health.get_state(name).in_flight = load
    for number, name in enumerate(in_flight):
        address = Address("127.0.0.1", 1)
        zone = zones[number % len(zones)]
        instances.append(ListedInstance(name, "u", address, zone, 4, False))
    chosen = choose_instance(
        instances,
        health,
        tried,
        "z",
        lambda i: i.name in connected,
        NOW,
        health.costs.estimate(CALL, NOW).typical_s,
        Random(choice_seed),
    )
    return chosen.name if chosen else "none"


def choose_beside_own_calls() -> set[str]:
    """Return the choices between two instances that own calls fill.

    Four long calls run at a, four short ones at b.
    """
    health, address = InstanceHealth(Random(1)), Address("127.0.0.1", 1)
    with ExitStack() as calls:
        for name, cost_s in (("a", 2.0), ("b", 0.1)):
            call = CallClass("u", name)
            health.costs.record(call, cost_s, NOW)
            for _ in range(4):
                calls.enter_context(health.track_call(name, 4, call, NOW))
        instances = [
            ListedInstance(name, "u", address, "z", 4, False) for name in "ab"
        ]
        chosen = [
            choose_instance(
                instances, health, (), "z", lambda i: True, NOW, 0.1, Random(n)
            )
            for n in range(9)
        ]
    return {instance.name for instance in chosen if instance}


def estimate_load(in_flight: int, load: InstanceLoad) -> list[float]:
    """Return the load of an instance that reported while own calls run."""
    health = InstanceHealth(Random(1))
    state = health.get_state("a")
    state.in_flight = in_flight
    health.record_load("a", load, NOW)
    instance = ListedInstance("a", "u", Address("", 1), "z", 4, False)
    return estimate_loads([instance], [state], NOW)


def count_first_choices() -> int:
    """Return how many of four instances forty gateways call first.

    They have no news, or the same: the instances are nearly equal.
    """
    idle = dict.fromkeys("abcd", 0)
    news = {
        name: InstanceLoad(0, 0, 4, 1.0 + 0.02 * number)
        for number, name in enumerate(idle)
    }
    chosen = [
        choose_for_call(idle, set(), loads=loads, choice_seed=number)
        for number in range(40)
        for loads in (None, news)
    ]
    return sum(
        min(chosen[::2].count(name), chosen[1::2].count(name)) >= 5
        for name in idle
    )


def count_connections(calls: int) -> int:
    """Return how many connections a gateway with one call at a time opens."""
    connected = ""
    for number in range(calls):
        chosen = choose_for_call(
            dict.fromkeys("abcd", 0), set(), connected, choice_seed=number
        )
        connected = connected + chosen
    return len(set(connected))


def estimate_wait(
    avoided_s: tuple[float, ...],
    remaining_s: float,
    limit_s: float = 0.0,
    permit_s: float = 0.0,
) -> str:
    """Return whether a call waits for instances that are avoided so long.

    They are at their limit for `limit_s`, for which it waits `permit_s`.
    """
    health = InstanceHealth(Random(1))
    instances = []
    for number, wait_s in enumerate(avoided_s):
        health.get_state(f"i{number}").avoided_until = NOW + wait_s
        address = Address("127.0.0.1", 1)
        instances.append(
            ListedInstance(f"i{number}", "u", address, "z", 4, False)
        )
    available = estimate_availability(
        instances, health, lambda instance: limit_s, NOW
    )
    waits = may_wait(available, remaining_s, permit_s)
    return "waits" if waits else "refused"


def count_distinct_waits() -> int:
    """Return at how many times twenty refused callers come back."""
    rng = Random(1)
    return len({choose_retry_after_s(None, 4.0, rng) for _ in range(20)})


def choose_wait_range(expected_s: float | None, outage_s: float) -> str:
    """Return the range of times at which refused callers come back."""
    rng = Random(1)
    found = [
        choose_retry_after_s(expected_s, outage_s, rng) for _ in range(99)
    ]
    return f"{min(found):.1f} to {max(found):.1f} s"


SLOW_LOAD = InstanceLoad(1, 0, 4, 2.5)


def choose_unweighted() -> set[str]:
    """Return the upstreams that a split of weights 0 sends calls to."""
    shares = tuple(UpstreamShare(name, 0.0) for name in ("u0", "u1"))
    route = Route("r", "h", "/", CallKind.SAFE, shares, 1.0, 0.1, 1, 1)
    rng = Random(1)
    return {choose_upstream(route, rng) for _ in range(50)}


CASES: dict[str, tuple[Callable[[], object], object]] = {
    "a plain call goes to the instance with the least load": (
        lambda: choose_for_call({"a": 3, "b": 1}, set()),
        "b",
    ),
    "a seldom caller keeps to one connection": (
        lambda: count_connections(20),
        1,
    ),
    "a connected instance is preferred to one that was never called": (
        lambda: choose_for_call({"a": 0, "b": 0}, set(), "b", (0.0, 0.05)),
        "b",
    ),
    "a slow instance is left in spite of its connection": (
        lambda: choose_for_call({"a": 0, "b": 0}, set(), "a", (0.5, 0.05)),
        "b",
    ),
    "a busy instance is left in spite of its connection": (
        lambda: choose_for_call({"a": 4, "b": 0}, set(), "a", (0.05, 0.05)),
        "b",
    ),
    "an instance with a free slot is kept for its connection": (
        lambda: choose_for_call({"a": 1, "b": 0}, set(), "a", (0.05, 0.05)),
        "a",
    ),
    "an instance that others fill is left in spite of its connection": (
        lambda: choose_for_call(
            {"a": 0, "b": 0},
            set(),
            "a",
            loads={"a": InstanceLoad(4, 3, 4), "b": InstanceLoad(0, 0, 4)},
        ),
        "b",
    ),
    "of two full instances the one with less work left is chosen": (
        lambda: choose_for_call(
            {"a": 0, "b": 0},
            set(),
            "a",
            loads={"a": InstanceLoad(4, 9, 4), "b": InstanceLoad(4, 0, 4)},
        ),
        "b",
    ),
    "an instance that reports to be slow is left": (
        lambda: choose_for_call(
            {"a": 0, "b": 0}, set(), "a", loads={"a": SLOW_LOAD}
        ),
        "b",
    ),
    "an old report of being slow counts little": (
        lambda: choose_for_call(
            {"a": 0, "b": 0},
            set(),
            "a",
            loads={"a": SLOW_LOAD},
            reported_ago_s=3.0,
        ),
        "a",
    ),
    "an instance without news counts as loaded as the others": (
        lambda: choose_for_call(
            {"a": 0, "b": 0},
            set(),
            "a",
            loads={"a": InstanceLoad(2, 0, 4)},
        ),
        "a",
    ),
    "of two instances full of own calls the one with less work left": (
        choose_beside_own_calls,
        {"b"},
    ),
    "own calls in a report don't count twice": (
        lambda: estimate_load(3, InstanceLoad(3, 2, 4)),
        [5.0],
    ),
    "what was sent since a report counts": (
        lambda: choose_for_call(
            {"a": 2, "b": 0},
            set(),
            "a",
            loads={"a": InstanceLoad(2, 0, 4), "b": InstanceLoad(2, 0, 4)},
        ),
        "b",
    ),
    "the own zone is preferred": (
        lambda: {
            choose_for_call({"a": 0, "b": 0}, set(), choice_seed=n, zones="yz")
            for n in range(9)
        },
        {"b"},
    ),
    "seldom callers spread over the instances": (count_first_choices, 4),
    "without any instance a call is refused at once": (
        lambda: estimate_wait((), 2.0),
        "refused",
    ),
    "a call waits for an instance that is avoided for a while": (
        lambda: estimate_wait((0.5, 3.0), 2.0),
        "waits",
    ),
    "a call is refused at once if all are avoided for too long": (
        lambda: estimate_wait((1.8, 3.0), 2.0),
        "refused",
    ),
    "a call waits for an instance at its limit for a short while": (
        lambda: estimate_wait((0.0,), 2.0, limit_s=0.1, permit_s=0.12),
        "waits",
    ),
    "a call is refused at once if all are at their limit for longer": (
        lambda: estimate_wait((0.0,), 2.0, limit_s=0.2, permit_s=0.12),
        "refused",
    ),
    "refused callers come back when an instance is expected": (
        lambda: choose_wait_range(0.5, 9.0),
        "0.5 to 0.8 s",
    ),
    "refused callers come back later in a long outage": (
        lambda: choose_wait_range(None, 4.0),
        "1.6 to 2.4 s",
    ),
    "refused callers come back soon without an outage": (
        lambda: choose_wait_range(None, 0.0),
        "0.2 to 0.3 s",
    ),
    "refused callers come back at different times": (
        lambda: count_distinct_waits() > 10,
        True,
    ),
    "a split without weights uses all of its upstreams": (
        choose_unweighted,
        {"u0", "u1"},
    ),
    "a retry goes to another instance": (
        lambda: choose_for_call({"a": 3, "b": 1}, {"b"}),
        "a",
    ),
}
