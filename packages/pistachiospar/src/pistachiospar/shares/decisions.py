"""Which of the waiting calls goes next.

Pattern: calls of several priorities and organisations wait for less room
than they need, for seconds or for hours. Urgent ones go first, one
organisation's crowd doesn't hold up the others, and the least urgent ones
don't starve.
"""

from collections.abc import Collection
from collections.abc import Mapping

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


def count_before(
    own: int, others: Mapping[str, int], weights: Mapping[str, float]
) -> float:
    """Return how many waiting calls of a priority go before a new one.

    `own` is how many calls of its organisation (the key "") go before it,
    `others` how many wait of each other organisation; each of these gets at
    most its share by weight until then.
    """
    turns = (own + 1) / weights.get("", 1.0)
    return own + sum(
        min(count, turns * weights.get(name, 1.0))
        for name, count in others.items()
    )
