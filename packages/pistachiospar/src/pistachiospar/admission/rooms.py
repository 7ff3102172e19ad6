"""Whether an instance can take a call now.

Pattern: a crowd of callers sends more than the instances run. Those reject
what doesn't fit in their queues, and each rejected call that is sent again
at once takes their time from the calls that they run.
"""

from dataclasses import replace
import math

from . import const
from ..ports.sampler import InstanceLoad
from .models import InstanceRoom


def count_capacity(room: InstanceRoom, slots: int) -> int:
    """Return how many calls may run and wait at an instance."""
    queue = math.ceil(max(1, slots) * const.QUEUE_PER_SLOT)
    if room.queue is not None:
        queue = min(queue, room.queue)
    return max(1, slots) + queue


def is_open(
    room: InstanceRoom, in_flight: int, slots: int, now: float
) -> bool:
    """Return whether an instance has room for a call, by what it said.

    `in_flight` counts this gateway's calls there.
    """
    if now < room.held_until:
        return False
    capacity = count_capacity(room, slots)
    recovered = max(0.0, now - room.held_until) / const.WINDOW_RECOVERY_S
    if in_flight + 1 > min(room.window + recovered, capacity):
        return False
    if room.load is None or now - room.load_at > const.FIGURES_MAX_AGE_S:
        return True
    expected = room.load.running + room.load.waiting + room.sent_since
    return expected < capacity


def is_stalled(
    room: InstanceRoom, usual_duration_s: float, now: float
) -> bool:
    """Return whether an instance with calls of ours answers none of them.

    `usual_duration_s` is how long calls take at the upstream, 0 when that is
    not known.
    """
    if room.unanswered_since is None or not usual_duration_s:
        return False
    patience_s = max(const.STALL_MIN_S, const.STALL_RATIO * usual_duration_s)
    return now - room.unanswered_since > patience_s


def record_sent(
    room: InstanceRoom, in_flight: int, now: float
) -> InstanceRoom:
    """Record a call that is sent; `in_flight` counts those before it."""
    since = room.unanswered_since
    return replace(
        room,
        sent_since=room.sent_since + 1,
        unanswered_since=now if since is None or not in_flight else since,
    )


def record_end(
    room: InstanceRoom, in_flight: int, responded: bool, now: float
) -> InstanceRoom:
    """Record the end of a call; `in_flight` counts those that are left."""
    if not in_flight:
        return replace(room, unanswered_since=None)
    return replace(room, unanswered_since=now) if responded else room


def record_rejection(
    room: InstanceRoom,
    load: InstanceLoad | None,
    in_flight: int,
    slots: int,
    duration_s: float,
    jitter: float,
    now: float,
) -> InstanceRoom:
    """Hold an instance that rejected a call.

    `in_flight` counts this gateway's other calls there: as many fit.
    `duration_s` is how long a call takes there; `jitter`, from 0 to 1,
    spreads the gateways that were rejected together.
    """
    hold_s = duration_s / max(1, slots) * 2.0 ** min(room.rejections, 10)
    hold_s = min(max(hold_s, const.HOLD_MIN_S), const.HOLD_MAX_S)
    hold_s *= 1.0 + const.HOLD_JITTER * jitter
    queue = room.queue
    if load is not None and load.running >= slots:
        queue = load.waiting
    return replace(
        room,
        held_until=max(room.held_until, now + hold_s),
        rejections=room.rejections + 1,
        window=max(1.0, min(room.window, float(in_flight))),
        queue=queue,
        load=load,
        load_at=now,
        sent_since=0,
    )


def record_acceptance(
    room: InstanceRoom, load: InstanceLoad | None, slots: int, now: float
) -> InstanceRoom:
    """Widen an instance's window after it ran a call.

    It ends once the instance shows a free slot, or as much fits as we send
    at most.
    """
    window = room.window + const.WINDOW_GROWTH / room.window
    is_free = load is not None and load.running + load.waiting < slots
    if is_free or window >= count_capacity(room, slots):
        window = math.inf
    found = replace(room, rejections=0, window=window)
    if load is None:
        return found
    return replace(
        found,
        load=load,
        load_at=now,
        sent_since=0,
        queue=None if is_free else room.queue,
    )
