"""Support the decisions on samples: staleness, hedging, assignment."""

from collections.abc import Collection
from dataclasses import dataclass
from statistics import median

from . import const
from ..helpers.rendezvous import rank
from .models import Sample
from .models import SampleJob


def compute_floor(step_version: int, newest: int, max_lag: int) -> int:
    """Return the oldest weight version that may still be delivered."""
    return max(0, max(step_version, newest) - max_lag)


def is_fresh(sample: Sample, floor: int) -> bool:
    """Return whether a sample may be delivered."""
    return bool(sample.segments) and sample.oldest_version() >= floor


@dataclass(frozen=True, slots=True)
class HedgeView:
    """Hold what hedging looks at; durations are in seconds."""

    pending: int
    durations: Collection[float]
    elapsed_s: float
    attempts: int
    hedged_tokens: int
    done_tokens: int
    max_tokens: int


def decide_hedge(view: HedgeView) -> str:
    """Return why a running sample is hedged, or an empty string.

    Only late in a step, when nothing is left to start, and within a budget
    of tokens that may be generated twice.
    """
    if view.pending or view.attempts > 1:
        return ""
    if len(view.durations) < const.HEDGE_MIN_DONE:
        return ""
    allowed = const.HEDGE_TOKEN_SHARE * view.done_tokens
    allowed = max(allowed, const.HEDGE_FREE_TOKENS * view.max_tokens)
    if view.hedged_tokens + view.max_tokens > allowed:
        return ""
    typical = median(view.durations)
    if view.elapsed_s < const.HEDGE_FACTOR * typical:
        return ""
    return f"{view.elapsed_s:.2f} s, typically {typical:.2f} s"


def assign_jobs(
    jobs: list[SampleJob], entries: Collection[str], step_digest: str
) -> dict[str, list[SampleJob]]:
    """Spread groups over entries; a group stays whole."""
    assigned: dict[str, list[SampleJob]] = {name: [] for name in entries}
    owners: dict[str, str] = {}
    for job in jobs:
        owner = owners.get(job.group)
        if owner is None:
            owner = rank(step_digest + "\0" + job.group, entries)[0]
            owners[job.group] = owner
        assigned[owner].append(job)
    return assigned
