"""Support the choice of an instance for a request."""

from collections.abc import Collection
from collections.abc import Iterable
from random import Random

from . import const
from ..helpers.rendezvous import rank_names
from ..link.messages import OrderKind
from ..membership.const import SLOW_START_DURATION_S
from ..membership.const import START_TOLERANCE_S
from ..membership.models import InstanceView
from .models import CallerRequest
from .models import Choice
from .models import Chosen
from .models import NoInstance


def compute_load(
    view: InstanceView, now: float, zone: str, kind: OrderKind
) -> float:
    """Return an instance's load: expected tokens per slot, weighted.

    In-flight tokens are first-hand; the queue others filled is a report.
    Samples weigh little for a call: it goes before them, and some slots
    are kept free of them.
    After a return each token in flight weighs more for a while: an idle
    instance gets work at once, but not much of it.
    """
    reported = view.status.queued_tokens if view.status else 0
    hint = const.HINT_WEIGHT * max(0, reported - view.in_flight_tokens)
    busy = view.in_flight_tokens + hint
    if kind is OrderKind.CALL:
        samples = busy - view.call_tokens
        busy = view.call_tokens + const.SAMPLE_WEIGHT * samples
    since_return = now - view.returned_at
    if since_return < SLOW_START_DURATION_S:
        missing = 1.0 - since_return / SLOW_START_DURATION_S
        busy *= 1.0 + const.SLOW_START_PENALTY * missing
    load = (busy + 1.0) / view.slots
    if view.zone != zone:
        load *= const.ZONE_PENALTY
    return load


def choose_instance(
    views: Iterable[InstanceView],
    request: CallerRequest,
    avoid: Collection[str],
    zone: str,
    now: float,
    rng: Random,
) -> Choice:
    """Choose by prefix, else by power of two choices on load."""
    usable = [view for view in views if view.is_usable()]
    if not usable:
        return NoInstance("no usable instance", 1.0)
    admitted = [v for v in usable if now >= v.ejected_until] or usable
    fresh = [v for v in admitted if _has_version(v, request)]
    if not fresh:
        return NoInstance("no instance holds new enough weights", 0.5)
    candidates = [v for v in fresh if v.name not in avoid] or fresh
    if request.prefix:
        preferred = _prefer_by_prefix(candidates, request, now, zone)
        if preferred is not None:
            return Chosen(preferred.name, "holds the prefix")
    if len(candidates) == 1:
        return Chosen(candidates[0].name, "only candidate")
    first, second = rng.sample(candidates, 2)
    loads = (
        compute_load(first, now, zone, request.kind),
        compute_load(second, now, zone, request.kind),
    )
    best = first if loads[0] <= loads[1] else second
    reason = f"load {min(loads):.1f} before {max(loads):.1f}"
    return Chosen(best.name, reason)


def _has_version(view: InstanceView, request: CallerRequest) -> bool:
    """Return whether an instance holds weights that are new enough."""
    if not request.model or not request.min_version:
        return True
    return view.versions.get(request.model, 0) >= request.min_version


def _prefer_by_prefix(
    candidates: list[InstanceView],
    request: CallerRequest,
    now: float,
    zone: str,
) -> InstanceView | None:
    """Return the instance that serves a prefix, unless overloaded.

    Calls are compared with calls: a second one would wait for the first,
    as few slots are kept free for them. One sample more than the mean is
    always within bounds.
    """
    by_name = {view.name: view for view in candidates}
    best = by_name[rank_names(request.prefix, by_name)[0]]
    if request.kind is OrderKind.CALL:
        calls = sum(view.call_tokens for view in candidates)
        mean_calls = calls / len(candidates)
        if best.call_tokens <= const.AFFINITY_FACTOR * mean_calls:
            return best
        return None
    loads = [
        compute_load(view, now, zone, request.kind) for view in candidates
    ]
    mean = sum(loads) / len(loads)
    own = compute_load(best, now, zone, request.kind)
    if own <= const.AFFINITY_FACTOR * mean + request.tokens / best.slots:
        return best
    return None


def choose_pinned(
    views: Iterable[InstanceView],
    gone: Collection[str],
    request: CallerRequest,
    record_ttl_s: float,
    wall_s: float,
) -> Choice:
    """Choose the one instance that a caller's key belongs to.

    The ranking covers instances that went away lately: the key's record may
    have gone with them, so a request that would have been theirs is in
    doubt until its record would have expired. So is one whose instance
    restarted, or took the key over from another, within that time. One
    that is reached but not usable is asked all the same: it answers a known
    key and refuses others with certainty.
    """
    by_name = {view.name: view for view in views}
    ranked = rank_names(
        request.caller.name + "\0" + request.key, sorted({*by_name, *gone})
    )
    if not ranked:
        return NoInstance("no instance is known", 1.0)
    owner = ranked[0]
    view = by_name.get(owner)
    if view is None:
        reason = f"the key's instance {owner} is gone"
        return NoInstance(reason, const.UNKNOWN_KEY_RETRY_S, True)
    status = view.status
    if status is None or view.missed_heartbeats:
        reason = f"the key's instance {owner} is {view.explain_unusable()}"
        return NoInstance(reason, 1.0, True)
    if status.uptime_s < record_ttl_s and _has_restarted(view, wall_s):
        reason = f"the key's instance {owner} restarted"
        return NoInstance(reason, record_ttl_s - status.uptime_s, True)
    before = _find_owner_before(ranked, by_name, record_ttl_s, wall_s)
    return Chosen(owner, "the key's instance", before)


def _has_restarted(view: InstanceView, wall_s: float) -> bool:
    """Return whether a sidecar may have lost the records of a first life."""
    if view.restarted or not view.is_sidecar_as_old(wall_s):
        return True
    return view.is_first_incarnation is not True


def _find_owner_before(
    ranked: list[str],
    by_name: dict[str, InstanceView],
    record_ttl_s: float,
    wall_s: float,
) -> str:
    """Return the instance that a young owner took the key over from."""
    since_s = by_name[ranked[0]].instance.since_s
    if wall_s - since_s > record_ttl_s:
        return ""
    for name in ranked[1:]:
        view = by_name.get(name)
        if view is None:
            return name
        if since_s - view.instance.since_s > START_TOLERANCE_S:
            return name
    return ""
