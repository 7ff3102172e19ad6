"""Jittered exponential backoff."""

from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff between an initial and a maximum delay."""

    initial_s: float
    max_s: float

    def draw_delay_s(self, attempt: int, rng: Random) -> float:
        """Draw the delay before a retry; `attempt` counts from 0.

        The delay lies between half and all of the exponential ceiling.
        """
        ceiling = min(self.max_s, self.initial_s * 2.0 ** min(attempt, 30))
        return ceiling * (0.5 + 0.5 * rng.random())
