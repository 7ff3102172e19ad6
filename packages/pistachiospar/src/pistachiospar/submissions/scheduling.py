"""Choice of the next item, its slot, and running items to move."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from . import const
from .registry import ItemPhase
from .registry import ItemState
from .registry import SubmissionState


@dataclass(frozen=True, slots=True)
class SlotCandidate:
    """An instance that may run an item of a model.

    `version` is the newest version of the model known there, `free` the
    number of free slots, `event_interval_s` the mean time between events.
    `assigned` is set when the instance is kept up to date for the model;
    `software` is the version of its software.
    """

    instance: str
    version: int
    free: int
    slots: int
    event_interval_s: float
    assigned: bool
    software: str = ""


def order_items(
    submissions: Iterable[SubmissionState], now: float
) -> list[tuple[SubmissionState, ItemState]]:
    """Return the waiting items in the order in which they start.

    Pattern: a step ends with its longest item, which takes most of the time
    that the step has, while there are fewer slots than items. Submissions
    keep the given order, earliest due first. Within a submission long items
    start before short ones, whatever their group; equally long ones keep the
    trainer's order of groups, in which carried-over groups come first.
    """
    found: list[tuple[SubmissionState, ItemState]] = []
    for submission in submissions:
        waiting = [
            state
            for group in submission.groups.values()
            for state in group
            if state.phase is ItemPhase.WAITING and now >= state.not_before
        ]
        waiting.sort(key=lambda s: -s.item.expected_tokens)
        found.extend((submission, state) for state in waiting)
    return found


def choose_slot(
    candidates: Iterable[SlotCandidate],
    free: Mapping[str, int],
    min_version: int,
    group_instance: str,
    avoided_instance: str,
) -> SlotCandidate | None:
    """Choose where an item runs; None when it has to wait.

    The instance that the item last left comes last, then the slow ones, then
    those not assigned to the model. Among equals, the shortest event
    interval wins; the load raises it, and it is reduced for the group's own
    instance, which has read the prompt already. `free` counts the slots that
    are left at each instance.
    """
    usable = [
        candidate
        for candidate in candidates
        if candidate.version >= min_version and free[candidate.instance] > 0
    ]
    if not usable:
        return None
    best: SlotCandidate | None = None
    best_cost: tuple[float, ...] = ()
    slow_interval_s = const.SLOW_INSTANCE_RATIO * min(
        candidate.event_interval_s for candidate in usable
    )
    for candidate in usable:
        used_share = 1.0 - free[candidate.instance] / candidate.slots
        cost = (
            float(candidate.instance == avoided_instance),
            float(candidate.event_interval_s > slow_interval_s),
            float(not candidate.assigned),
            candidate.event_interval_s * (1.0 + 0.3 * used_share)
            - 0.25
            * candidate.event_interval_s
            * (candidate.instance == group_instance),
            used_share,
        )
        if best is None or cost < best_cost:
            best, best_cost = candidate, cost
    return best


def may_continue(state: ItemState, candidate: SlotCandidate) -> bool:
    """Return whether an item's text may go on at an instance."""
    return not state.needs_version or candidate.software == state.software


def should_restart(
    state: ItemState,
    candidates: Iterable[SlotCandidate],
    free: Mapping[str, int],
    min_version: int,
    now: float,
) -> bool:
    """Return whether an item without a slot at its version starts anew.

    Pattern: a release replaces the instances whose version began the text.
    When none is left, or the version isn't known, the item takes another
    version's free slot at once; while some serve, after waiting as long as
    its events take there.
    """
    found = list(candidates)
    intervals_s = [
        candidate.event_interval_s
        for candidate in found
        if candidate.software != state.software
        and candidate.version >= min_version
        and free[candidate.instance] > 0
    ]
    if not intervals_s:
        return False
    if all(candidate.software != state.software for candidate in found):
        return True
    if state.version_awaited_since is None:
        return False
    waited_s = now - state.version_awaited_since
    return waited_s >= len(state.events) * min(intervals_s)


def choose_moves(
    running: Iterable[ItemState],
    candidates: Iterable[SlotCandidate],
    free: Mapping[str, int],
    min_version: int,
    now: float,
    may_lay: Callable[[ItemState, str], bool] = lambda state, instance: True,
) -> list[ItemState]:
    """Return running items that a free slot would finish much sooner.

    Call it only when no item waits. Each move uses up one free slot.
    `may_lay` returns whether an item fits into an instance's memory.
    """
    by_instance = {candidate.instance: candidate for candidate in candidates}
    usable = [
        candidate
        for candidate in by_instance.values()
        if candidate.version >= min_version
    ]
    free_slots = dict(free)
    moves: list[ItemState] = []
    for state in running:
        current = by_instance.get(state.instance)
        if (
            current is None
            or now - state.started_at < const.MIN_RUN_BEFORE_MOVE_S
        ):
            continue
        for candidate in usable:
            faster = (
                current.event_interval_s
                > const.SLOW_INSTANCE_RATIO * candidate.event_interval_s
            )
            if not may_continue(state, candidate) or not may_lay(
                state, candidate.instance
            ):
                continue
            if faster and free_slots[candidate.instance] > 0:
                free_slots[candidate.instance] -= 1
                moves.append(state)
                break
    return moves
