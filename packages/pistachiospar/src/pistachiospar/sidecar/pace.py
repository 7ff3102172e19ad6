"""Support the pace of an engine's streams, as it is right now."""

from dataclasses import dataclass

from .const import PACE_FRESH_S
from .const import PACE_SMOOTHING


@dataclass(slots=True)
class Pace:
    """Follow the time between the pieces of all streams."""

    s_per_token: float = 0.0
    heard_at: float = float("-inf")

    def observe(self, tokens: int, gap_s: float, now: float) -> None:
        """Take a piece into account, and the time since the one before."""
        if tokens <= 0:
            return
        observed = gap_s / tokens
        if now - self.heard_at > PACE_FRESH_S:
            self.s_per_token = observed
        else:
            change = observed - self.s_per_token
            self.s_per_token += PACE_SMOOTHING * change
        self.heard_at = now

    def read(self, now: float) -> float:
        """Return the seconds per token; 0 when nothing was heard lately."""
        if now - self.heard_at > PACE_FRESH_S:
            return 0.0
        return self.s_per_token
