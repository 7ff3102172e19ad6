"""Decisions on samples: staleness, moving, hedging and assignment."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from statistics import median

from . import const
from ..helpers.rendezvous import rank_names
from .models import Sample
from .models import SampleJob


def compute_min_version(step_version: int, newest: int, max_lag: int) -> int:
    """Return the oldest weight version that may be delivered."""
    return max(0, max(step_version, newest) - max_lag)


def is_fresh(sample: Sample, min_version: int) -> bool:
    """Return whether no token of a sample is older than `min_version`."""
    return (
        bool(sample.segments) and sample.find_oldest_version() >= min_version
    )


class StragglerAction(Enum):
    """What to do about a running sample.

    MOVE reclaims it, to continue at another sampler; HEDGE starts a second
    attempt beside the first.
    """

    LEAVE = "leave"
    MOVE = "move"
    HEDGE = "hedge"


@dataclass(frozen=True, slots=True)
class StragglerView:
    """State of a running sample; `durations` are of finished ones, in s.

    `attempts` counts those that run, `pending` the samples not yet started.
    """

    pending: int
    durations: Collection[float]
    elapsed_s: float
    attempts: int
    moves: int
    ejected: bool
    hedged_tokens: int
    finished_tokens: int
    max_tokens: int


def decide_straggler_action(view: StragglerView) -> StragglerAction:
    """Decide about a sample that takes far longer than the others.

    It is moved together with its partial text, which wastes no tokens; so is
    one whose sampler was ejected. A sample that was moved too often, or that
    the sampler does not return, is hedged: only once no samples are pending,
    and within a budget of tokens that may be generated twice.
    """
    if view.attempts == 1 and view.ejected:
        return StragglerAction.MOVE
    if view.attempts > 1 or len(view.durations) < const.STRAGGLER_MIN_FINISHED:
        return StragglerAction.LEAVE
    if view.elapsed_s < const.STRAGGLER_MEDIAN_FACTOR * median(view.durations):
        return StragglerAction.LEAVE
    if view.moves < const.MAX_MOVES_PER_SAMPLE:
        return StragglerAction.MOVE
    max_hedged_tokens = const.HEDGE_MAX_TOKEN_SHARE * view.finished_tokens
    max_hedged_tokens = max(
        max_hedged_tokens, const.HEDGE_MIN_BUDGET_SAMPLES * view.max_tokens
    )
    over_budget = view.hedged_tokens + view.max_tokens > max_hedged_tokens
    return (
        StragglerAction.LEAVE
        if view.pending or over_budget
        else StragglerAction.HEDGE
    )


def assign_jobs(
    jobs: list[SampleJob], entries: Collection[str], step_digest: str
) -> dict[str, list[SampleJob]]:
    """Assign samples to entries; a group is never split."""
    assigned: dict[str, list[SampleJob]] = {name: [] for name in entries}
    owners: dict[str, str] = {}
    for job in jobs:
        owner = owners.get(job.group)
        if owner is None:
            owner = rank_names(step_digest + "\0" + job.group, entries)[0]
            owners[job.group] = owner
        assigned[owner].append(job)
    return assigned
