"""Which of the waiting calls goes next.

Pattern: calls of several priorities and organisations wait for less room
than they need, for seconds or for hours. Urgent ones go first, one
organisation's crowd doesn't hold up the others, and the least urgent ones
don't starve.
"""

from bisect import bisect_right
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import accumulate

from . import const


def order_priorities(
    waiting: Collection[int], floor_credit: float
) -> list[int]:
    """Return the waiting priorities in the order in which they are tried.

    The least urgent one is first when it has earned a turn by its floor.
    """
    found = sorted(waiting)
    if len(found) > 1 and floor_credit >= 1.0:
        return [found[-1], *found[:-1]]
    return found


def update_floor_credit(
    credit: float, taken: int, waiting: Collection[int]
) -> float:
    """Return the credit of the least urgent priority after a call was taken.

    `waiting` has the priorities that waited, with the one that was taken. A
    priority that waits alone needs no floor, and none is saved up.
    """
    if len(waiting) < 2:
        return 0.0
    if taken == max(waiting):
        return max(0.0, credit - 1.0) + const.FLOOR_SHARE
    return min(1.0 + const.FLOOR_SHARE, credit + const.FLOOR_SHARE)


def choose_organisation(
    finish_tags: Mapping[str, float], virtual_time: float
) -> str:
    """Return the organisation whose turn it is, among those that wait.

    `finish_tags` has, by organisation, when its last call ended in virtual
    time. One that was idle starts at `virtual_time`: what it left to the
    others isn't given back.
    """
    return min(
        finish_tags,
        key=lambda name: (max(finish_tags[name], virtual_time), name),
    )


def count_ahead(
    more_urgent: int, own_priority: float, is_least_urgent: bool
) -> float:
    """Return how many calls go before one, those of its priority given.

    The least urgent priority gets its floor whatever is more urgent.
    """
    ahead = more_urgent + own_priority
    if not more_urgent or not is_least_urgent:
        return ahead
    return min(ahead, (own_priority + 1.0) / const.FLOOR_SHARE - 1.0)


@dataclass(frozen=True, slots=True)
class ShareTable:
    """The organisations that wait, by the turns that serve all their calls.

    A turn serves as many calls of each organisation as its weight. `calls`
    sums up the calls of the first organisations, `weights` the weights of
    all after them.
    """

    turns: list[float]
    calls: list[float]
    weights: list[float]

    def count_served(self, turns: float) -> float:
        """Return how many waiting calls so many turns serve."""
        done = bisect_right(self.turns, turns)
        return self.calls[done] + turns * self.weights[done]


def make_share_table(
    waiting: Iterable[tuple[float, float]],
) -> ShareTable:
    """Return the table for the waiting calls and weight of organisations."""
    ordered = sorted((count / weight, weight) for count, weight in waiting)
    calls = accumulate((t * w for t, w in ordered), initial=0.0)
    total = sum(weight for _, weight in ordered)
    passed = accumulate((w for _, w in ordered), initial=0.0)
    return ShareTable(
        [turns for turns, _ in ordered],
        list(calls),
        [total - weight for weight in passed],
    )
