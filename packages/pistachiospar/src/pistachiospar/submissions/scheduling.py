"""Decide which item runs next, and where."""

from collections.abc import Iterable
from dataclasses import dataclass

from .board import ItemState
from .board import Phase
from .board import SubmissionState


@dataclass(frozen=True, slots=True)
class Seat:
    """Describe an instance that may take an item of a model.

    `version` is the newest weights of the model known there, `pace_s` the
    mean time between events, `assigned` tells that it is kept up to date.
    """

    instance: str
    version: int
    free: int
    slots: int
    pace_s: float
    avoided: bool
    assigned: bool


def order_items(
    submissions: Iterable[SubmissionState], now: float
) -> list[tuple[SubmissionState, ItemState]]:
    """Return the waiting items, the next one first.

    Submissions go by their due time, groups in the trainer's order (those
    carried over stand first), long items of a group before short ones.
    """
    found: list[tuple[SubmissionState, ItemState]] = []
    for submission in submissions:
        for group in submission.groups.values():
            waiting = [
                state
                for state in group
                if state.phase is Phase.WAITING and now >= state.not_before
            ]
            waiting.sort(key=lambda s: -s.item.expected_tokens)
            found.extend((submission, state) for state in waiting)
    return found


def choose_seat(
    seats: Iterable[Seat],
    min_version: int,
    group_instance: str,
    avoided: str,
) -> Seat | None:
    """Choose where an item runs; None when it has to wait.

    The group's instance has read its prompt already. Else the instance
    whose events would come fastest.
    """
    best: Seat | None = None
    best_cost: tuple[float, ...] = ()
    for seat in seats:
        if seat.version < min_version or seat.free <= 0:
            continue
        busy = 1.0 - seat.free / seat.slots
        cost = (
            float(seat.avoided or seat.instance == avoided),
            float(not seat.assigned),
            seat.pace_s * (1.0 + 0.3 * busy)
            - 0.25 * seat.pace_s * (seat.instance == group_instance),
            busy,
        )
        if best is None or cost < best_cost:
            best, best_cost = seat, cost
    return best
