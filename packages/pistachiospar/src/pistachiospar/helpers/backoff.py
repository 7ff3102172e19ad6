"""Support jittered exponential backoff."""

from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class Backoff:
    """Bound the delays between retries, in seconds."""

    first_s: float
    most_s: float

    def delay(self, attempt: int, rng: Random) -> float:
        """Return the delay before a retry; `attempt` counts from 0."""
        ceiling = min(self.most_s, self.first_s * 2.0 ** min(attempt, 30))
        return ceiling * (0.5 + 0.5 * rng.random())
