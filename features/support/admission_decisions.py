"""Decisions on full upstreams, as short texts for tables."""

from collections import Counter

from pistachiospar.admission import budgets
from pistachiospar.admission.const import RETRY_RESERVE
from pistachiospar.admission import decisions
from pistachiospar.admission.models import InstanceRoom
from pistachiospar.admission.models import RetryBudget
from pistachiospar.admission import rooms
from pistachiospar.ports.sampler import InstanceLoad
from pistachiospar.shares.waiting_queue import WaitingQueue

NOW = 100.0
LATER = 101.0
SLOTS = 4
DURATION_S = 0.1


def decide_room(in_flight: int, says: str, elapsed_s: float) -> str:
    """Return whether an instance is open after what it said."""
    room = InstanceRoom()
    words = says.split()
    load = None
    if "," in words[-1]:
        running, waiting = words[-1].split(",")
        load = InstanceLoad(int(running), int(waiting), SLOTS)
    if words[0] == "reports":
        room = rooms.record_acceptance(room, load, SLOTS, NOW)
    elif words[0] == "rejects":
        room = rooms.record_rejection(
            room, load, in_flight, SLOTS, DURATION_S, 0.0, NOW
        )
    is_open = rooms.is_open(room, in_flight, SLOTS, NOW + elapsed_s)
    return "open" if is_open else "closed"


def decide_wait(
    queue: tuple[int, float, float], remaining_s: float, is_standing: bool
) -> str:
    """Return whether a call waits.

    `queue` has the calls ahead, those that end a second, 0 if that is not
    known, and how long one takes.
    """
    ahead, rate_per_s, took_s = queue
    expected_s = decisions.estimate_wait_s(ahead, rate_per_s or None)
    max_wait_s = decisions.choose_max_wait_s(
        remaining_s, 0.4, took_s, is_standing
    )
    refused = expected_s is not None and expected_s > max_wait_s
    return "is refused" if refused else "waits"


def count_granted(
    calls: int, retries: int, elapsed_s: float
) -> tuple[int, int]:
    """Return how many second attempts are granted, first and later.

    The first are of calls that can be refused, of which `elapsed_s` after
    the first half; the later ones of calls that may have run.
    """
    budget = RetryBudget(RETRY_RESERVE, NOW)
    for _ in range(calls):
        budget = budgets.earn(budget, NOW)
    granted = [0, 0]
    for kind, number in [(0, n) for n in range(retries)] + [(1, 0)] * 99:
        is_late = kind or number >= retries // 2
        now = NOW + elapsed_s * is_late
        spent = budgets.spend(budget, kind == 0, now)
        if spent is not None:
            budget = spent
            granted[kind] += 1
    return granted[0], granted[1]


def add_calls(queue: WaitingQueue[str], text: str) -> None:
    """Add calls, for example `1a9` for nine of priority 1 and one name."""
    for word in text.split():
        for _ in range(int(word[2:])):
            queue.add(word[:2], int(word[0]), word[1], NOW)


def take_calls(queue: WaitingQueue[str], room: int) -> str:
    """Take calls as there is room; return how many of each kind."""
    found: Counter[str] = Counter()
    for _ in range(room):
        call = queue.list_next()[0]
        queue.take(call)
        found[call.value] += 1
    return " ".join(f"{name}{count}" for name, count in sorted(found.items()))


def read_weights(text: str) -> dict[str, float]:
    """Return weights by organisation, from `b=2`."""
    pairs = [word.split("=") for word in text.split()]
    return {name: float(weight) for name, weight in pairs}
