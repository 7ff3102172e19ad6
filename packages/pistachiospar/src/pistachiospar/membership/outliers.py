"""Outlier ejection of instances that fail or are far too slow."""

from collections.abc import Collection
from random import Random
from statistics import median

from . import const
from ..helpers.backoff import Backoff
from ..membership.models import InstanceView

BACKOFF = Backoff(const.EJECT_INITIAL_S, const.EJECT_MAX_S)


def record_success(view: InstanceView, s_per_token: float) -> None:
    """Record a complete response: reset failures, smooth the latency."""
    view.failures = 0
    view.observed_responses += 1
    if view.observed_responses == 1:
        view.s_per_token = s_per_token
    else:
        change = s_per_token - view.s_per_token
        view.s_per_token += const.LATENCY_SMOOTHING_FACTOR * change


def record_failure(view: InstanceView) -> None:
    """Count a failed attempt."""
    view.failures += 1


def eject_if_outlier(
    view: InstanceView,
    peers: Collection[InstanceView],
    now: float,
    rng: Random,
) -> str:
    """Eject an outlier for a backoff delay; return why, or "" if it stays.

    At most EJECT_MAX_SHARE of the peers are ejected at a time.
    """
    if now < view.ejected_until:
        return ""
    reason = _find_ejection_reason(view, peers)
    if not reason:
        return ""
    ejected = sum(1 for peer in peers if now < peer.ejected_until)
    if ejected + 1 > const.EJECT_MAX_SHARE * len(peers):
        return ""
    view.ejected_until = now + BACKOFF.draw_delay_s(view.ejections, rng)
    view.returned_at = view.ejected_until
    view.ejections += 1
    view.failures = 0
    view.observed_responses = 0
    return reason


def reset_ejections(view: InstanceView) -> None:
    """Reset the ejection backoff after enough complete responses."""
    if view.observed_responses >= const.EJECT_MIN_RESPONSES:
        view.ejections = 0


def _compute_slowdown(
    view: InstanceView, peers: Collection[InstanceView]
) -> float:
    """Return how many times slower its streams are, 0 when unknown."""
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


def _find_ejection_reason(
    view: InstanceView, peers: Collection[InstanceView]
) -> str:
    """Return why an instance is an outlier, or an empty string."""
    if view.failures >= const.EJECT_AFTER_FAILURES:
        return f"{view.failures} consecutive failures"
    slowdown = _compute_slowdown(view, peers)
    if slowdown > const.EJECT_SLOW_FACTOR:
        return f"its streams are {slowdown:.1f} times slower than its peers"
    others = [
        peer.s_per_token
        for peer in peers
        if peer is not view
        and peer.observed_responses >= const.EJECT_MIN_RESPONSES
    ]
    if view.observed_responses < const.EJECT_MIN_RESPONSES or not others:
        return ""
    median_s_per_token = median(others)
    if (
        median_s_per_token
        and view.s_per_token > const.EJECT_SLOW_FACTOR * median_s_per_token
    ):
        return (
            f"{view.s_per_token / median_s_per_token:.1f} "
            "times slower than its peers"
        )
    return ""
