"""Baseline policies of a pool, patched in place of the product's decisions.

Each replaces a single decision, so that a table shows its contribution.
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
from pistachiospar.submissions.registry import ItemState
from pistachiospar.submissions.registry import SubmissionState
from pistachiospar.submissions import scheduling
from pistachiospar.submissions.scheduling import SlotCandidate
from pistachiospar.weight_versions import decisions

DISPATCH_MODULE: Final = "pistachiospar.submissions.dispatch"
VERSIONS_MODULE: Final = "pistachiospar.weight_versions.coordinator"

# Bound at import, before any policy is patched in.
_assign_models = decisions.assign_models
_choose_loads = decisions.choose_loads
_choose_slot = scheduling.choose_slot
_order_items = scheduling.order_items


def order_groups_round_robin(
    submissions: Iterable[SubmissionState], now: float
) -> list[tuple[SubmissionState, ItemState]]:
    """Order one item of each group in turn, not group by group."""
    turns: dict[tuple[str, str], int] = {}
    ranked = []
    for submission, state in _order_items(submissions, now):
        key = (submission.submission.id, state.item.group)
        turns[key] = turns.get(key, 0) + 1
        ranked.append((turns[key], submission, state))
    ranked.sort(key=lambda row: row[0])
    return [(submission, state) for _, submission, state in ranked]


def order_long_items_first(
    submissions: Iterable[SubmissionState], now: float
) -> list[tuple[SubmissionState, ItemState]]:
    """Order a submission's longest items first, whatever their group.

    An item is long above 1.5 times the mean of its submission.
    """
    ordered: list[tuple[SubmissionState, ItemState]] = []
    rows = _order_items(submissions, now)
    for _, group_rows in groupby(rows, key=lambda row: row[0].submission.id):
        rows_of_submission = list(group_rows)
        expected = [
            s.item.expected_tokens
            for s in rows_of_submission[0][0].items.values()
        ]
        min_long_tokens = 1.5 * sum(expected) / len(expected)
        long_rows = [
            r
            for r in rows_of_submission
            if r[1].item.expected_tokens > min_long_tokens
        ]
        long_rows.sort(key=lambda row: -row[1].item.expected_tokens)
        ordered.extend(long_rows)
        ordered.extend(
            r
            for r in rows_of_submission
            if r[1].item.expected_tokens <= min_long_tokens
        )
    return ordered


def choose_most_free_slots(
    candidates: Iterable[SlotCandidate],
    free: Mapping[str, int],
    min_version: int,
    group_instance: str,
    avoided_instance: str,
) -> SlotCandidate | None:
    """Choose the instance with the largest share of free slots.

    How fast the instance generates events is ignored.
    """
    usable = [
        candidate
        for candidate in candidates
        if candidate.version >= min_version and free[candidate.instance] > 0
    ]
    if not usable:
        return None
    return min(usable, key=lambda s: (-free[s.instance] / s.slots, s.instance))


def choose_without_prompt_cache(
    candidates: Iterable[SlotCandidate],
    free: Mapping[str, int],
    min_version: int,
    group_instance: str,
    avoided_instance: str,
) -> SlotCandidate | None:
    """Choose as the product does, but without the group's cached prompt."""
    return _choose_slot(candidates, free, min_version, "", avoided_instance)


def choose_no_moves(*_: Any) -> list[ItemState]:
    """Move no running item off a slow instance."""
    return []


def assign_equal_shares(
    instances: Collection[ListedInstance],
    weights: Mapping[str, float],
    previous: Mapping[str, str],
    held: Mapping[tuple[str, str], int],
) -> dict[str, str]:
    """Assign instances as if all models had the same backlog."""
    equal_weights = dict.fromkeys(weights, 1.0)
    return _assign_models(instances, equal_weights, previous, held)


def choose_all_loads(
    assigned: Mapping[str, str],
    held: Mapping[tuple[str, str], int],
    needs: Mapping[str, decisions.ModelNeed],
    loading: Mapping[str, str],
    free: Mapping[str, int],
) -> list[decisions.PlannedLoad]:
    """Load the named version on all outdated instances at once."""
    return [
        decisions.PlannedLoad(name, model, needs[model].named_version)
        for name, model in sorted(assigned.items())
        if model in needs
        and name not in loading
        and held.get((name, model), 1) < needs[model].named_version
    ]


def find_no_extra_loads(*_: Any) -> list[decisions.PlannedLoad]:
    """Load no model on instances assigned to another one."""
    return []


POLICIES: Final[dict[str, dict[str, Any]]] = {
    "ours": {},
    "a group's items in turn": {
        f"{DISPATCH_MODULE}.order_items": order_groups_round_robin
    },
    "long items first": {
        f"{DISPATCH_MODULE}.order_items": order_long_items_first
    },
    "least taken, pace unseen": {
        f"{DISPATCH_MODULE}.choose_slot": choose_most_free_slots
    },
    "prompts forgotten": {
        f"{DISPATCH_MODULE}.choose_slot": choose_without_prompt_cache
    },
    "no moves": {f"{DISPATCH_MODULE}.choose_moves": choose_no_moves},
    "equal shares": {f"{VERSIONS_MODULE}.assign_models": assign_equal_shares},
    "loads at once": {f"{VERSIONS_MODULE}.choose_loads": choose_all_loads},
    "no helpers": {
        "pistachiospar.weight_versions.decisions._find_extra_loads": (
            find_no_extra_loads
        )
    },
}


@contextmanager
def use_pool_policy(name: str) -> Iterator[None]:
    """Patch a policy in; `ours` is the product's own and patches nothing."""
    with ExitStack() as stack:
        for target, replacement in POLICIES[name].items():
            stack.enter_context(patch(target, replacement))
        yield
