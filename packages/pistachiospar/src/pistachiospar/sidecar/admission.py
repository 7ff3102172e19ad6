"""Support admission: refuse up front what can't be served in time."""

from dataclasses import dataclass

from .const import MAX_RETRY_AFTER_S
from .const import MIN_RETRY_AFTER_S
from .const import RATE_SMOOTHING
from .models import Rejected


@dataclass(slots=True)
class ServiceRate:
    """Estimate the upstream's rate from finished calls, in tokens/s."""

    per_slot: float = 0.0

    def expect_s(self, tokens: int) -> float:
        """Return the expected duration of a call; 0 while unknown."""
        return tokens / self.per_slot if self.per_slot > 0.0 else 0.0

    def observe(self, tokens: int, duration_s: float) -> None:
        """Take a finished call into account."""
        if duration_s <= 0.0:
            return
        rate = tokens / duration_s
        if self.per_slot == 0.0:
            self.per_slot = rate
        else:
            self.per_slot += RATE_SMOOTHING * (rate - self.per_slot)


@dataclass(frozen=True, slots=True)
class QueueView:
    """Hold what admission looks at.

    The queue is the partner's own, `share` its part of the slots among the
    partners that wait; `tokens` is the request's expected cost.
    """

    draining: bool
    queued: int
    queue_limit: int
    tokens: int
    tokens_ahead: int
    share: float
    slots: int
    free_slots: int


def decide_admission(
    view: QueueView, rate: ServiceRate, timeout_s: float
) -> Rejected | None:
    """Return why a request is refused, or None to admit it."""
    if view.draining:
        return Rejected("sidecar is draining", 0.0)
    wait_s = estimate_wait(view, rate)
    service_s = rate.expect_s(view.tokens)
    retry_after_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    if view.queued >= max(1.0, view.queue_limit * view.share):
        return Rejected("queue is full", retry_after_s)
    if wait_s > 0.0 and wait_s + service_s >= timeout_s:
        reason = f"expected wait {wait_s:.2f} s passes the deadline"
        return Rejected(reason, retry_after_s)
    return None


def estimate_wait(view: QueueView, rate: ServiceRate) -> float:
    """Return the expected wait in seconds; 0 while nothing is known."""
    if view.free_slots > 0 or rate.per_slot <= 0.0:
        return 0.0
    return view.tokens_ahead / (rate.per_slot * view.slots * view.share)
