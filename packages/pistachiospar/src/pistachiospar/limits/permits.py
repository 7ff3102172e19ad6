"""Permits to call an instance that named a limit.

Pattern: callers, scoring calls and items press for more than an instance
takes. Urgent calls queue for a permit for as long as they can use it, bulk
work takes what is left over; the rest learns at once when to ask again.
"""

from dataclasses import dataclass
import math

from . import const


def count_usable_slots(
    slots: int, limit_per_s: float | None, duration_s: float
) -> int:
    """Return how many slots of an instance calls can keep busy.

    `duration_s` is how long a call takes there. Without a limit that is all,
    with one at least a single slot.
    """
    if limit_per_s is None:
        return slots
    return max(1, min(slots, math.ceil(limit_per_s * duration_s)))


@dataclass(frozen=True, slots=True)
class PermitDecision:
    """A permit for a call after `wait_s`, or when to ask again."""

    granted: bool
    wait_s: float


@dataclass(slots=True)
class PermitBucket:
    """The permits of one instance.

    `permits` is negative while calls wait for theirs; `updated_at` and
    `most_urgent_at` are in monotonic seconds.
    """

    updated_at: float
    permits: float = 1.0
    most_urgent: int | None = None
    most_urgent_at: float = 0.0

    def acquire(
        self, per_s: float, urgency: int, max_wait_s: float, now: float
    ) -> PermitDecision:
        """Take a permit for one call at a rate of `per_s` calls a second.

        A call that is less urgent than a recent one doesn't queue, and
        leaves one permit to calls that are.
        """
        rate = max(per_s, const.MIN_CALLS_PER_S)
        burst = max(1.0, rate * const.BURST_S)
        elapsed_s = max(0.0, now - self.updated_at)
        self.permits = min(burst, self.permits + elapsed_s * rate)
        self.updated_at = now
        needed = 1.0 - const.ROUNDING_TOLERANCE
        if self._is_bulk(urgency, now):
            needed += min(1.0, burst - 1.0)
            max_wait_s = 0.0
        wait_s = max(0.0, (needed - self.permits) / rate)
        if wait_s > max_wait_s + const.ROUNDING_TOLERANCE:
            return PermitDecision(False, wait_s - max_wait_s)
        self.permits -= 1.0
        return PermitDecision(True, wait_s)

    def _is_bulk(self, urgency: int, now: float) -> bool:
        """Return whether a more urgent call asked recently; record this."""
        is_recent = now - self.most_urgent_at < const.URGENT_MEMORY_S
        if (
            is_recent
            and self.most_urgent is not None
            and urgency > self.most_urgent
        ):
            return True
        self.most_urgent, self.most_urgent_at = urgency, now
        return False
