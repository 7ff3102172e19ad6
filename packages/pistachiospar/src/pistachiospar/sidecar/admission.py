"""Admission control: refusal of orders that can't be served in time."""

from dataclasses import dataclass

from .const import MAX_RETRY_AFTER_S
from .const import MIN_RETRY_AFTER_S
from .const import RATE_SMOOTHING_FACTOR
from .models import Rejected


@dataclass(slots=True)
class ServiceRate:
    """Moving average of the upstream's rate, in tokens/s for each slot."""

    tokens_per_s_per_slot: float = 0.0

    def estimate_duration_s(self, tokens: int) -> float:
        """Return the expected seconds of a call, 0 while it is unknown."""
        return (
            tokens / self.tokens_per_s_per_slot
            if self.tokens_per_s_per_slot > 0.0
            else 0.0
        )

    def record_call(self, tokens: int, duration_s: float) -> None:
        """Add a finished call to the average."""
        if duration_s <= 0.0:
            return
        rate = tokens / duration_s
        if self.tokens_per_s_per_slot == 0.0:
            self.tokens_per_s_per_slot = rate
        else:
            self.tokens_per_s_per_slot += RATE_SMOOTHING_FACTOR * (
                rate - self.tokens_per_s_per_slot
            )


@dataclass(frozen=True, slots=True)
class QueueSnapshot:
    """State of a partner's queue when one of its orders arrives.

    `queued` and `tokens_ahead` count the partner's own orders; `share` is
    its fraction of the slots among the partners that have orders queued.
    `tokens` is the expected cost of the order.
    """

    is_draining: bool
    queued: int
    queue_limit: int
    tokens: int
    tokens_ahead: int
    share: float
    slots: int
    free_slots: int


def decide_admission(
    snapshot: QueueSnapshot, rate: ServiceRate, timeout_s: float
) -> Rejected | None:
    """Return the refusal of an order, or None to admit it."""
    if snapshot.is_draining:
        return Rejected("sidecar is draining", 0.0)
    wait_s = estimate_wait(snapshot, rate)
    service_s = rate.estimate_duration_s(snapshot.tokens)
    retry_after_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    if snapshot.queued >= max(1.0, snapshot.queue_limit * snapshot.share):
        return Rejected("queue is full", retry_after_s)
    if wait_s > 0.0 and wait_s + service_s >= timeout_s:
        reason = (
            f"expected wait of {wait_s:.2f} s is too long for the deadline"
        )
        return Rejected(reason, retry_after_s)
    return None


def estimate_wait(snapshot: QueueSnapshot, rate: ServiceRate) -> float:
    """Return the expected wait for a slot, in seconds.

    It is 0 if a slot is free or the rate is unknown.
    """
    if snapshot.free_slots > 0 or rate.tokens_per_s_per_slot <= 0.0:
        return 0.0
    return snapshot.tokens_ahead / (
        rate.tokens_per_s_per_slot * snapshot.slots * snapshot.share
    )
