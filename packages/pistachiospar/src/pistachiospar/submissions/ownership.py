"""Which pool runs a submission, as the configuration moves its route.

Pattern: a version moves the route of an open submission, and its model, to
another pool. Gateways know the version at different times, and the holders of
both pools have the submission's record.
"""

from dataclasses import dataclass
from enum import Enum
import math

from ..helpers.rendezvous import compute_score
from ..routing.models import RouteTable
from .models import OwnerRecord
from .models import Submission
from .models import SubmissionHead

# A double has 53 bits; the score's others don't count.
SCORE_SHIFT = 12
SCORE_RANGE = 2**52


class OwnerStep(Enum):
    """What the holder of a pool does with a submission.

    KEEP leaves it as it is, RUN loads it, CLAIM makes this pool its owner,
    RELEASE drops what is loaded.
    """

    KEEP = "keep"
    RUN = "run"
    CLAIM = "claim"
    RELEASE = "release"


@dataclass(slots=True)
class KnownSubmission:
    """The record of a submission without its items.

    `owner_revision` is 0 while it has its first owner.
    """

    head: SubmissionHead
    head_revision: int
    owner: OwnerRecord
    owner_revision: int = 0


def choose_pool(
    table: RouteTable, submission: str, head: SubmissionHead, recorded: str
) -> str:
    """Return the pool that a configuration names as a submission's owner.

    The `recorded` one stays if the route leads there. Where no service of the
    route serves the model, a pool that can't run the items keeps the
    submission until they are given up. Empty without any pool.
    """
    weights = _list_serving_pools(table, head)
    if not weights:
        weights = {pool.name: 1.0 for pool in table.list_pools()}
    if recorded in weights:
        return recorded
    return max(
        weights,
        key=lambda name: _weigh(submission, name, weights[name]),
        default="",
    )


def _list_serving_pools(
    table: RouteTable, head: SubmissionHead
) -> dict[str, float]:
    """Return the pools that may run a submission, with their weights."""
    serving = [p.name for p in table.list_pools() if head.model in p.models]
    if not head.host:
        # Earlier builds take the first pool that serves the model.
        return dict.fromkeys(serving[:1], 1.0)
    route = table.find_route(head.host, head.path)
    if route is None:
        return {}
    return {
        share.upstream: share.weight
        for share in route.shares
        if share.upstream in serving and share.weight > 0
    }


def _weigh(submission: str, pool: str, weight: float) -> float:
    """Return the rank of a pool, by weighted rendezvous hashing."""
    score = compute_score(submission, pool) >> SCORE_SHIFT
    return weight / -math.log((score + 0.5) / SCORE_RANGE)


def name_first_owner(table: RouteTable, submission: Submission) -> OwnerRecord:
    """Return the owner of a submission that is accepted now."""
    head = SubmissionHead(
        0,
        submission.model,
        submission.arrived_s,
        submission.organisation,
        submission.host,
        submission.path,
    )
    pool = choose_pool(table, submission.id, head, "")
    return OwnerRecord(pool, table.version)


def decide_step(
    table: RouteTable,
    pool: str,
    submission: str,
    known: KnownSubmission,
    is_loaded: bool,
) -> OwnerStep:
    """Return what the holder of `pool` does under a configuration.

    A configuration older than the one that named the owner decides nothing.
    """
    owner = known.owner
    if is_loaded:
        is_own = owner.pool == pool
        return OwnerStep.KEEP if is_own else OwnerStep.RELEASE
    if choose_pool(table, submission, known.head, owner.pool) != pool:
        return OwnerStep.KEEP
    if owner.pool == pool and table.version >= owner.configuration:
        return OwnerStep.RUN
    if owner.pool != pool and table.version > owner.configuration:
        return OwnerStep.CLAIM
    return OwnerStep.KEEP


def is_moving(
    table: RouteTable, pool: str, submission: str, known: KnownSubmission
) -> bool:
    """Return whether another pool may own a submission that `pool` runs."""
    owner = known.owner
    if owner.pool != pool:
        return True
    if table.version <= owner.configuration:
        return False
    return choose_pool(table, submission, known.head, pool) != pool
