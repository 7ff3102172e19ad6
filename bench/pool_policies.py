"""Support plain policies in place of the pool's own decisions.

Each replaces one decision, so that a table shows what that one brings.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from contextlib import contextmanager
from contextlib import ExitStack
from itertools import groupby
from typing import Any
from typing import Final
from unittest.mock import patch

from pistachiospar.routing.instances import ListedInstance
from pistachiospar.submissions.board import ItemState
from pistachiospar.submissions.board import SubmissionState
from pistachiospar.submissions import scheduling
from pistachiospar.submissions.scheduling import SlotCandidate
from pistachiospar.versions import decisions

DISPATCH: Final = "pistachiospar.submissions.dispatch"
VERSIONS: Final = "pistachiospar.versions.coordinator"

# Taken before anything is put in their places.
_assign_models = decisions.assign_models
_choose_loads = decisions.choose_loads
_choose_slot = scheduling.choose_slot
_order_items = scheduling.order_items


def order_by_group_turn(
    submissions: Iterable[SubmissionState], now: float
) -> list[tuple[SubmissionState, ItemState]]:
    """Take one item of each group in turn, as if groups didn't matter."""
    turns: dict[tuple[str, str], int] = {}
    ranked = []
    for submission, state in _order_items(submissions, now):
        key = (submission.submission.id, state.item.group)
        turns[key] = turns.get(key, 0) + 1
        ranked.append((turns[key], submission, state))
    ranked.sort(key=lambda row: row[0])
    return [(submission, state) for _, submission, state in ranked]


def order_long_before_groups(
    submissions: Iterable[SubmissionState], now: float
) -> list[tuple[SubmissionState, ItemState]]:
    """Take a submission's long items first, whatever their group."""
    found: list[tuple[SubmissionState, ItemState]] = []
    rows = _order_items(submissions, now)
    for _, part in groupby(rows, key=lambda row: row[0].submission.id):
        mine = list(part)
        every = [s.item.expected_tokens for s in mine[0][0].items.values()]
        bound = 1.5 * sum(every) / len(every)
        long = [r for r in mine if r[1].item.expected_tokens > bound]
        long.sort(key=lambda row: -row[1].item.expected_tokens)
        found.extend(long)
        found.extend(r for r in mine if r[1].item.expected_tokens <= bound)
    return found


def choose_least_taken(
    candidates: Iterable[SlotCandidate],
    free: Mapping[str, int],
    min_version: int,
    group_instance: str,
    avoided_instance: str,
) -> SlotCandidate | None:
    """Choose the most free places, whatever the pace."""
    usable = [
        candidate
        for candidate in candidates
        if candidate.version >= min_version and free[candidate.instance] > 0
    ]
    if not usable:
        return None
    return min(usable, key=lambda s: (-free[s.instance] / s.slots, s.instance))


def choose_alone(
    candidates: Iterable[SlotCandidate],
    free: Mapping[str, int],
    min_version: int,
    group_instance: str,
    avoided_instance: str,
) -> SlotCandidate | None:
    """Choose as ever, but forget where the group's prompt was read."""
    return _choose_slot(candidates, free, min_version, "", avoided_instance)


def move_nothing(*_: Any) -> list[ItemState]:
    """Leave slow streams where they are."""
    return []


def assign_equally(
    instances: Collection[ListedInstance],
    weights: Mapping[str, float],
    before: Mapping[str, str],
    held: Mapping[tuple[str, str], int],
) -> dict[str, str]:
    """Share instances out as if all models had the same work."""
    equal = dict.fromkeys(weights, 1.0)
    return _assign_models(instances, equal, before, held)


def load_at_once(
    assigned: Mapping[str, str],
    held: Mapping[tuple[str, str], int],
    needs: Mapping[str, decisions.ModelNeed],
    loading: Mapping[str, str],
    free: Mapping[str, int],
) -> list[decisions.PlannedLoad]:
    """Load whatever is not the newest, on all instances at once."""
    return [
        decisions.PlannedLoad(name, model, needs[model].named_version)
        for name, model in sorted(assigned.items())
        if model in needs
        and name not in loading
        and held.get((name, model), 1) < needs[model].named_version
    ]


def find_no_extra_loads(*_: Any) -> list[decisions.PlannedLoad]:
    """Give no model a further instance."""
    return []


POLICIES: Final[dict[str, dict[str, Any]]] = {
    "ours": {},
    "a group's items in turn": {
        f"{DISPATCH}.order_items": order_by_group_turn
    },
    "long items first": {f"{DISPATCH}.order_items": order_long_before_groups},
    "least taken, pace unseen": {
        f"{DISPATCH}.choose_slot": choose_least_taken
    },
    "prompts forgotten": {f"{DISPATCH}.choose_slot": choose_alone},
    "no moves": {f"{DISPATCH}.choose_moves": move_nothing},
    "equal shares": {f"{VERSIONS}.assign_models": assign_equally},
    "loads at once": {f"{VERSIONS}.choose_loads": load_at_once},
    "no helpers": {
        "pistachiospar.versions.decisions._find_extra_loads": (
            find_no_extra_loads
        )
    },
}


@contextmanager
def use_pool_policy(name: str) -> Iterator[None]:
    """Put a policy in place; `ours` changes nothing."""
    with ExitStack() as stack:
        for target, replacement in POLICIES[name].items():
            stack.enter_context(patch(target, replacement))
        yield
