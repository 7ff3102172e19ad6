"""Decisions on which pool runs a submission, without any network."""

from dataclasses import dataclass

import msgspec
from pistachiospar.routing.models import CallKind
from pistachiospar.routing.models import Route
from pistachiospar.routing.models import RouteTable
from pistachiospar.routing.models import UpstreamConfig
from pistachiospar.routing.models import UpstreamShare
from pistachiospar.submissions.models import OwnerRecord
from pistachiospar.submissions.models import SubmissionHead
from pistachiospar.submissions.ownership import choose_pool
from pistachiospar.submissions.ownership import decide_step
from pistachiospar.submissions.ownership import is_moving
from pistachiospar.submissions.ownership import KnownSubmission

HEAD = SubmissionHead(1, "m", 0.0, "", "h", "/r/1", OwnerRecord("a", 3))
SUBMISSIONS = 2000


@dataclass(frozen=True, slots=True)
class OwnerCase:
    """What the holder of a pool knows of a submission."""

    pool: str
    version: int
    route_to: str
    serving: str
    owner: str
    owner_version: int
    is_loaded: bool


def make_table(
    version: int, route_to: dict[str, float], serving: str
) -> RouteTable:
    """Return a configuration; `serving` has the pools with the model.

    Pool z serves another model. Without `route_to` there is no route.
    """
    shares = tuple(UpstreamShare(u, w) for u, w in route_to.items())
    route = Route(
        "r", "h", "/r/", CallKind.ROLLOUT, shares, 9.0, 9.0, 1, 3, True
    )
    upstreams = {u: UpstreamConfig(u, 9, ("m",)) for u in serving}
    upstreams["z"] = UpstreamConfig("z", 9, ("other",))
    return RouteTable(version, (route,) if shares else (), upstreams)


def decide(case: OwnerCase) -> str:
    """Return the step; for a loaded one also whether it may be moving."""
    route_to = dict.fromkeys(case.route_to, 1.0)
    table = make_table(case.version, route_to, case.serving)
    owner = OwnerRecord(case.owner, case.owner_version)
    known = KnownSubmission(HEAD, 10, owner)
    step = decide_step(table, case.pool, "sub", known, case.is_loaded).value
    if not case.is_loaded:
        return step
    moving = is_moving(table, case.pool, "sub", known)
    return f"{step}, {'moving' if moving else 'own'}"


def count_pools(weights: dict[str, float], recorded: str) -> dict[str, int]:
    """Return how many of many submissions each pool of a route gets."""
    table = make_table(4, weights, "".join(weights))
    counts = dict.fromkeys(weights, 0)
    for number in range(SUBMISSIONS):
        counts[choose_pool(table, f"sub{number}", HEAD, recorded)] += 1
    return counts


def choose_for_earlier_build(serving: str) -> str:
    """Return the pool of a head without host, path and owner."""
    head = msgspec.structs.replace(
        HEAD, host="", path="", owner=OwnerRecord("", 0)
    )
    return choose_pool(make_table(4, {"b": 1.0}, serving), "sub", head, "")
