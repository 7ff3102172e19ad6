"""Current pace of an engine's streams, in seconds per token."""

from dataclasses import dataclass

from .const import PACE_MAX_AGE_S
from .const import PACE_SMOOTHING_FACTOR


@dataclass(slots=True)
class StreamPace:
    """Moving average of the time per token over all streams."""

    s_per_token: float = 0.0
    updated_at: float = float("-inf")

    def record_tokens(self, tokens: int, gap_s: float, now: float) -> None:
        """Add a chunk of `tokens` that came `gap_s` after the one before."""
        if tokens <= 0:
            return
        observed_s_per_token = gap_s / tokens
        if now - self.updated_at > PACE_MAX_AGE_S:
            self.s_per_token = observed_s_per_token
        else:
            change = observed_s_per_token - self.s_per_token
            self.s_per_token += PACE_SMOOTHING_FACTOR * change
        self.updated_at = now

    def read_s_per_token(self, now: float) -> float:
        """Return the seconds per token, 0 without a recent chunk."""
        if now - self.updated_at > PACE_MAX_AGE_S:
            return 0.0
        return self.s_per_token
