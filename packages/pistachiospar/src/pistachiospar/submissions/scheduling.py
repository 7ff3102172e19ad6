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
    submissions: Iterable[SubmissionState],
    now: float,
    item_s: Mapping[str, float],
    places: int,
) -> list[tuple[SubmissionState, ItemState]]:
    """Return the waiting items, the next one first.

    Submissions go by their due time, groups in the trainer's order (those
    carried over stand first), long items of a group before short ones. An
    item that must start now to end by its due time goes before all groups,
    the least slack first, but not when there is more work than fits: then
    whole groups are what counts. `item_s` has the mean seconds of a model's
    items, `places` is how many run at once.
    """
    pressing: list[tuple[float, SubmissionState, ItemState]] = []
    found: list[tuple[SubmissionState, ItemState]] = []
    work_s = 0.0
    for submission in submissions:
        mean_s = item_s.get(submission.submission.model, 0.0)
        waiting = list_waiting(submission, now)
        work_s += mean_s * len(waiting)
        left_s = submission.due_at - now - const.DUE_MARGIN_S
        if work_s > places * left_s:
            found.extend((submission, state) for state in waiting)
            continue
        for state in waiting:
            slack_s = left_s - find_length(submission, state, mean_s)
            if slack_s < 0.0:
                pressing.append((slack_s, submission, state))
            else:
                found.append((submission, state))
    pressing.sort(key=lambda row: row[0])
    return [(submission, state) for _, submission, state in pressing] + found


def list_waiting(submission: SubmissionState, now: float) -> list[ItemState]:
    """Return a submission's waiting items by group, long ones first."""
    found: list[ItemState] = []
    for group in submission.groups.values():
        waiting = [
            state
            for state in group
            if state.phase is Phase.WAITING and now >= state.not_before
        ]
        waiting.sort(key=lambda s: -s.item.expected_tokens)
        found.extend(waiting)
    return found


def find_length(
    submission: SubmissionState, state: ItemState, mean_s: float
) -> float:
    """Return the seconds that an item may take, by its estimate.

    Its share of the submission's mean is its share of the mean time.
    """
    share = 1.0
    if submission.mean_tokens > 0.0 and state.item.expected_tokens > 0.0:
        share = state.item.expected_tokens / submission.mean_tokens
    return const.LENGTH_SLACK * share * mean_s


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
