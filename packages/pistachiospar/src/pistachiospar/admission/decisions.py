"""Whether a call waits for room or is refused.

Pattern: a crowd brings more calls than can be served before their deadlines.
A caller that is refused at once can come back in time; one that is held until
its deadline can't.
"""

from collections.abc import Iterable

from . import const
from .models import QueueHistory


def update_history(
    history: QueueHistory, is_busy: bool, now: float
) -> QueueHistory:
    """Return a queue's history, with whether calls wait from now on."""
    elapsed_s = now - history.updated_at
    busy_s = history.busy_s + (elapsed_s if history.is_busy else -elapsed_s)
    busy_s = min(max(busy_s, 0.0), const.STANDING_MAX_S)
    limit_s = const.STANDING_S
    if history.is_standing:
        limit_s = const.STANDING_END_S
    return QueueHistory(now, busy_s, is_busy, busy_s > limit_s)


def estimate_rate_per_s(
    instances: Iterable[tuple[int, float]],
) -> float | None:
    """Return how many of our calls a second an upstream ends.

    `instances` has, for each that answers, our calls in flight and how long
    they take. Without any in flight it counts as one. None when no duration
    is known.
    """
    known = [(count, took_s) for count, took_s in instances if took_s > 0.0]
    if not known:
        return None
    rate = sum(in_flight / duration_s for in_flight, duration_s in known)
    return rate or 1.0 / max(duration_s for _, duration_s in known)


def estimate_wait_s(ahead: float, rate_per_s: float | None) -> float | None:
    """Return how long a call waits with so many calls ahead of it."""
    if rate_per_s is None:
        return None
    return (ahead + 1.0) / rate_per_s


def choose_max_wait_s(
    remaining_s: float, target_s: float, duration_s: float, is_standing: bool
) -> float:
    """Return for how long a call may have to wait when it arrives.

    `duration_s` is how long a call takes. A burst is served before the
    callers' deadlines. In a crowd that lasts (`is_standing`), waiting longer
    serves no more calls, so that those which are served shall be on target;
    where more urgent calls wait, the others can't be, and may be late.
    """
    wait_s = min(const.WAIT_SHARE * remaining_s, remaining_s - duration_s)
    if not is_standing:
        return wait_s
    on_target_s = max(
        const.ON_TARGET_SHARE * target_s - duration_s,
        const.MIN_WAIT_SHARE * target_s,
    )
    return min(wait_s, on_target_s)


def is_hopeless(
    expected_wait_s: float | None, duration_s: float, remaining_s: float
) -> bool:
    """Return whether a waiting call can't be served before its deadline."""
    if expected_wait_s is None:
        return False
    return expected_wait_s + duration_s > remaining_s


def promise_return(
    promised_until: float, expected_s: float, rate_per_s: float, now: float
) -> float:
    """Return up to when room is promised, with one more refused caller.

    Callers that were all told of the first room would not all find it.
    """
    room_at = max(promised_until, now + expected_s) + 1.0 / rate_per_s
    return min(room_at, now + const.MAX_PROMISE_S)


def fits_bounds(calls: int, held_bytes: int, new_bytes: int) -> bool:
    """Return whether one more call of `new_bytes` may wait here."""
    return (
        calls < const.MAX_WAITING_CALLS
        and held_bytes + new_bytes <= const.MAX_WAITING_BYTES
    )
