"""Choice of the instance that a request is sent to."""

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
    """Return an instance's load: weighted expected tokens per slot.

    In-flight tokens are this entry's own count; the queue that other entries
    fill is only known from the last reported status.
    Samples weigh little for a call: it is served before them, and some slots
    are reserved for calls.
    After an instance returns, each token in flight weighs more for a while,
    so an idle instance gets work at once, but little of it.
    """
    reported = view.status.queued_tokens if view.status else 0
    hint = const.REPORTED_QUEUE_WEIGHT * max(
        0, reported - view.in_flight_tokens
    )
    busy = view.in_flight_tokens + hint
    if kind is OrderKind.CALL:
        samples = busy - view.call_tokens
        busy = view.call_tokens + const.SAMPLE_LOAD_WEIGHT * samples
    since_return = now - view.returned_at
    if since_return < SLOW_START_DURATION_S:
        missing = 1.0 - since_return / SLOW_START_DURATION_S
        busy *= 1.0 + const.SLOW_START_EXTRA_LOAD * missing
    load = (busy + 1.0) / view.slots
    if view.zone != zone:
        load *= const.OTHER_ZONE_LOAD_FACTOR
    return load


def choose_instance(
    views: Iterable[InstanceView],
    request: CallerRequest,
    avoid: Collection[str],
    zone: str,
    now: float,
    rng: Random,
) -> Choice:
    """Choose by prefix affinity, else by power of two choices on load.

    Ejected instances and those in `avoid` are chosen only if no other is
    left.
    """
    usable = [view for view in views if view.is_usable()]
    if not usable:
        return NoInstance("no usable instance", 1.0)
    not_ejected = [v for v in usable if now >= v.ejected_until] or usable
    new_enough = [v for v in not_ejected if _has_version(v, request)]
    if not new_enough:
        return NoInstance("no usable instance holds new enough weights", 0.5)
    candidates = [v for v in new_enough if v.name not in avoid] or new_enough
    if request.prefix:
        preferred = _choose_by_prefix(candidates, request, now, zone)
        if preferred is not None:
            return Chosen(preferred.name, "serves the prefix")
    if len(candidates) == 1:
        return Chosen(candidates[0].name, "only candidate")
    first, second = rng.sample(candidates, 2)
    loads = (
        compute_load(first, now, zone, request.kind),
        compute_load(second, now, zone, request.kind),
    )
    best = first if loads[0] <= loads[1] else second
    reason = f"load {min(loads):.1f}, other candidate {max(loads):.1f}"
    return Chosen(best.name, reason)


def _has_version(view: InstanceView, request: CallerRequest) -> bool:
    """Return whether an instance holds the request's minimum version."""
    if not request.model or not request.min_version:
        return True
    return view.versions.get(request.model, 0) >= request.min_version


def _choose_by_prefix(
    candidates: list[InstanceView],
    request: CallerRequest,
    now: float,
    zone: str,
) -> InstanceView | None:
    """Return the instance that serves a prefix, None if it is overloaded.

    For a call, only the load by calls is compared: a second call would wait
    for the first, as few slots are reserved for calls. A sample's own tokens
    come on top of the bound, so one sample above the mean load always fits.
    """
    by_name = {view.name: view for view in candidates}
    best = by_name[rank_names(request.prefix, by_name)[0]]
    if request.kind is OrderKind.CALL:
        calls = sum(view.call_tokens for view in candidates)
        mean_calls = calls / len(candidates)
        if best.call_tokens <= const.PREFIX_LOAD_FACTOR * mean_calls:
            return best
        return None
    loads = [
        compute_load(view, now, zone, request.kind) for view in candidates
    ]
    mean = sum(loads) / len(loads)
    own = compute_load(best, now, zone, request.kind)
    if own <= const.PREFIX_LOAD_FACTOR * mean + request.tokens / best.slots:
        return best
    return None


def choose_pinned(
    views: Iterable[InstanceView],
    departed: Collection[str],
    request: CallerRequest,
    record_ttl_s: float,
    wall_s: float,
) -> Choice:
    """Choose the one instance that owns a caller's idempotency key.

    The ranking includes recently departed instances: the key's record may be
    lost with them, so the outcome of a request that they would own is unknown
    until the record would have expired. The same holds if the owner restarted
    or took over the key from another instance within that time. An owner that
    is reachable but not usable is still chosen: it answers a known key and
    refuses others as certainly not run.
    """
    by_name = {view.name: view for view in views}
    ranked = rank_names(
        request.caller.name + "\0" + request.key, sorted({*by_name, *departed})
    )
    if not ranked:
        return NoInstance("no instance is known", 1.0)
    owner = ranked[0]
    view = by_name.get(owner)
    if view is None:
        reason = f"the key's owner {owner} has departed"
        return NoInstance(reason, const.DEPARTED_OWNER_RETRY_AFTER_S, True)
    status = view.status
    if status is None or view.missed_heartbeats:
        reason = f"the key's owner {owner} is {view.explain_unusable()}"
        return NoInstance(reason, 1.0, True)
    if status.uptime_s < record_ttl_s and _may_have_lost_records(view, wall_s):
        reason = f"the key's owner {owner} restarted"
        return NoInstance(reason, record_ttl_s - status.uptime_s, True)
    previous_owner = _find_previous_owner(
        ranked, by_name, record_ttl_s, wall_s
    )
    return Chosen(owner, "owns the key", previous_owner)


def _may_have_lost_records(view: InstanceView, wall_s: float) -> bool:
    """Return whether records of an earlier incarnation may be lost."""
    if view.restarted or not view.is_sidecar_as_old_as_instance(wall_s):
        return True
    return view.is_first_incarnation is not True


def _find_previous_owner(
    ranked: list[str],
    by_name: dict[str, InstanceView],
    record_ttl_s: float,
    wall_s: float,
) -> str:
    """Return the instance that owned the key before a recently added owner.

    It is the next one in rank that departed or is older than the owner. Empty
    if there is none, or if the owner was added longer ago than the record TTL.
    """
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
