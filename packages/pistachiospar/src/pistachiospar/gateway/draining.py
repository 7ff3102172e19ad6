"""What a gateway that stops still passes on."""

from dataclasses import dataclass

from . import const
from ..routing.models import Route


@dataclass(slots=True)
class Drain:
    """The stop of a gateway; times are monotonic, in seconds.

    All calls have an answer by `answers_until`. `is_closed` is set once the
    load balancer sends nothing more: what is read later comes from callers
    that are slow or keep their connection.
    """

    answers_until: float = float("inf")
    is_closed: bool = False

    def explain_refusal(self, route: Route, now: float) -> str:
        """Return why a request that was read is refused, empty if it isn't.

        One that may not be repeated is better run elsewhere than cut here.
        """
        if self.is_closed and not route.is_repeatable:
            return "this gateway stops"
        left_s = self.answers_until - now
        if left_s < route.target_latency_s:
            return f"this gateway stops in {max(0.0, left_s):.1f} s"
        return ""


def choose_drain_margin_s(grace_s: float) -> float:
    """Return how long before the end of the grace all calls are answered."""
    return min(const.DRAIN_MARGIN_S, grace_s * const.DRAIN_MARGIN_SHARE)
