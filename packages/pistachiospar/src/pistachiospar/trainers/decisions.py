"""Support the decisions on samples: staleness, hedging, assignment."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from statistics import median

from . import const
from ..helpers.rendezvous import rank_names
from .models import Sample
from .models import SampleJob


def compute_floor(step_version: int, newest: int, max_lag: int) -> int:
    """Return the oldest weight version that may still be delivered."""
    return max(0, max(step_version, newest) - max_lag)


def is_fresh(sample: Sample, floor: int) -> bool:
    """Return whether a sample may be delivered."""
    return bool(sample.segments) and sample.oldest_version() >= floor


class Remedy(Enum):
    """Tell what is done about a running sample."""

    LEAVE = "leave"
    MOVE = "move"
    HEDGE = "hedge"


@dataclass(frozen=True, slots=True)
class StragglerView:
    """Hold what is known of a running sample; durations are in seconds."""

    pending: int
    durations: Collection[float]
    elapsed_s: float
    attempts: int
    moves: int
    ejected: bool
    hedged_tokens: int
    done_tokens: int
    max_tokens: int


def decide_remedy(view: StragglerView) -> Remedy:
    """Decide about a sample that takes far longer than the others.

    It is moved with what it has, which wastes nothing; so is one whose
    sampler was ejected. One that was moved before, or does not come back,
    is hedged: late in the step, and within a budget of tokens that may be
    generated twice.
    """
    if view.attempts == 1 and view.ejected:
        return Remedy.MOVE
    if view.attempts > 1 or len(view.durations) < const.HEDGE_MIN_DONE:
        return Remedy.LEAVE
    if view.elapsed_s < const.STRAGGLER_FACTOR * median(view.durations):
        return Remedy.LEAVE
    if view.moves < const.MAX_MOVES:
        return Remedy.MOVE
    allowed = const.HEDGE_TOKEN_SHARE * view.done_tokens
    allowed = max(allowed, const.HEDGE_FREE_TOKENS * view.max_tokens)
    over = view.hedged_tokens + view.max_tokens > allowed
    return Remedy.LEAVE if view.pending or over else Remedy.HEDGE


def assign_jobs(
    jobs: list[SampleJob], entries: Collection[str], step_digest: str
) -> dict[str, list[SampleJob]]:
    """Spread groups over entries; a group stays whole."""
    assigned: dict[str, list[SampleJob]] = {name: [] for name in entries}
    owners: dict[str, str] = {}
    for job in jobs:
        owner = owners.get(job.group)
        if owner is None:
            owner = rank_names(step_digest + "\0" + job.group, entries)[0]
            owners[job.group] = owner
        assigned[owner].append(job)
    return assigned
