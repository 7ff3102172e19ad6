"""Decide which item runs next, and where."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from . import const
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
    free: Mapping[str, int],
    min_version: int,
    group_instance: str,
    avoided: str,
) -> Seat | None:
    """Choose where an item runs; None when it has to wait.

    The group's instance has read its prompt already. Else the instance
    whose events would come fastest. `free` has what is left of the places.
    """
    usable = [
        seat
        for seat in seats
        if seat.version >= min_version and free[seat.instance] > 0
    ]
    if not usable:
        return None
    best: Seat | None = None
    best_cost: tuple[float, ...] = ()
    slow_s = const.MOVE_RATIO * min(seat.pace_s for seat in usable)
    for seat in usable:
        busy = 1.0 - free[seat.instance] / seat.slots
        cost = (
            float(seat.instance == avoided),
            float(seat.pace_s > slow_s),
            float(not seat.assigned),
            seat.pace_s * (1.0 + 0.3 * busy)
            - 0.25 * seat.pace_s * (seat.instance == group_instance),
            busy,
        )
        if best is None or cost < best_cost:
            best, best_cost = seat, cost
    return best


def choose_moves(
    running: Iterable[ItemState],
    seats: Iterable[Seat],
    free: Mapping[str, int],
    min_version: int,
    now: float,
) -> list[ItemState]:
    """Return the running items that a free place would finish much sooner.

    Meant for when nothing waits; no more items than there are such places.
    """
    known = {seat.instance: seat for seat in seats}
    usable = [seat for seat in known.values() if seat.version >= min_version]
    places = dict(free)
    moves: list[ItemState] = []
    for state in running:
        here = known.get(state.instance)
        if here is None or now - state.began_at < const.MOVE_AFTER_S:
            continue
        for seat in usable:
            faster = here.pace_s > const.MOVE_RATIO * seat.pace_s
            if faster and places[seat.instance] > 0:
                places[seat.instance] -= 1
                moves.append(state)
                break
    return moves
