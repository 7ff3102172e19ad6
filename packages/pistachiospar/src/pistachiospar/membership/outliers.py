"""Support outlier ejection: instances that fail or are far too slow."""

from collections.abc import Collection
from random import Random
from statistics import median

from . import const
from ..helpers.backoff import Backoff
from ..membership.models import InstanceView

BACKOFF = Backoff(const.EJECT_FIRST_S, const.EJECT_MOST_S)


def observe_success(view: InstanceView, s_per_token: float) -> None:
    """Take a whole answer into account."""
    view.failures = 0
    view.observed += 1
    if view.observed == 1:
        view.s_per_token = s_per_token
    else:
        change = s_per_token - view.s_per_token
        view.s_per_token += const.LATENCY_SMOOTHING * change


def observe_failure(view: InstanceView) -> None:
    """Take a failed attempt into account."""
    view.failures += 1


def decide_ejection(
    view: InstanceView,
    peers: Collection[InstanceView],
    now: float,
    rng: Random,
) -> str:
    """Eject an instance if it must be; return why, or an empty string."""
    if now < view.ejected_until:
        return ""
    reason = _find_reason(view, peers)
    if not reason:
        return ""
    ejected = sum(1 for peer in peers if now < peer.ejected_until)
    if ejected + 1 > const.EJECT_MAX_SHARE * len(peers):
        return ""
    view.ejected_until = now + BACKOFF.draw_delay_s(view.ejections, rng)
    view.returned_at = view.ejected_until
    view.ejections += 1
    view.failures = 0
    view.observed = 0
    return reason


def forgive(view: InstanceView) -> None:
    """Forget earlier ejections of an instance that does well."""
    if view.observed >= const.EJECT_MIN_OBSERVED:
        view.ejections = 0


def _compare_pace(
    view: InstanceView, peers: Collection[InstanceView]
) -> float:
    """Return how many times slower an instance's streams run, 0 if unknown."""
    if view.status is None or not view.status.ms_per_token:
        return 0.0
    others = [
        peer.status.ms_per_token
        for peer in peers
        if peer is not view
        and peer.status is not None
        and peer.status.ms_per_token
    ]
    if not others:
        return 0.0
    return view.status.ms_per_token / median(others)


def _find_reason(view: InstanceView, peers: Collection[InstanceView]) -> str:
    """Return why an instance should be ejected, or an empty string."""
    if view.failures >= const.EJECT_FAILURES:
        return f"{view.failures} failures running"
    slower = _compare_pace(view, peers)
    if slower > const.EJECT_SLOW_FACTOR:
        return f"its streams are {slower:.1f} times slower than its peers"
    others = [
        peer.s_per_token
        for peer in peers
        if peer is not view and peer.observed >= const.EJECT_MIN_OBSERVED
    ]
    if view.observed < const.EJECT_MIN_OBSERVED or not others:
        return ""
    typical = median(others)
    if typical and view.s_per_token > const.EJECT_SLOW_FACTOR * typical:
        return f"{view.s_per_token / typical:.1f} times slower than its peers"
    return ""
