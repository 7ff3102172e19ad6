"""Health of the upstream instances, as observed by this gateway's calls."""

from collections.abc import Collection
from dataclasses import dataclass
from random import Random

from . import const
from ..helpers.backoff import Backoff
from ..ports.sampler import InstanceLoad


@dataclass(slots=True)
class InstanceHealthState:
    """What this gateway observed of one instance.

    `failures` counts consecutive ones. `mean_duration_s` is a moving average
    over complete responses, 0 before the first. `avoided_until` and
    `load_reported_at` are in monotonic seconds.
    """

    in_flight: int = 0
    failures: int = 0
    avoided_until: float = 0.0
    mean_duration_s: float = 0.0
    load: InstanceLoad | None = None
    load_reported_at: float = 0.0

    def count_load(self, now: float) -> int:
        """Return how many calls run or wait there.

        Without a recent load report only this gateway's own calls count.
        """
        if (
            self.load is None
            or now - self.load_reported_at > const.LOAD_MAX_AGE_S
        ):
            return self.in_flight
        return max(self.in_flight, self.load.running + self.load.waiting)


class InstanceHealth:
    """Health of all instances that this gateway calls, by name."""

    def __init__(self, rng: Random) -> None:
        """Start without observations; `rng` jitters the backoff."""
        self._rng = rng
        self._backoff = Backoff(const.AVOID_INITIAL_S, const.AVOID_MAX_S)
        self._states: dict[str, InstanceHealthState] = {}

    def get_state(self, name: str) -> InstanceHealthState:
        """Return the state of an instance, a new one if there is none."""
        return self._states.setdefault(name, InstanceHealthState())

    def retain_only(self, names: Collection[str]) -> None:
        """Drop other instances, except those with calls in flight."""
        for name in [n for n in self._states if n not in names]:
            if not self._states[name].in_flight:
                del self._states[name]

    def record_response(
        self,
        name: str,
        duration_s: float,
        load: InstanceLoad | None,
        now: float,
    ) -> None:
        """Record a complete response and how long it took, in seconds."""
        self.record_success(name)
        state = self.get_state(name)
        weight = const.DURATION_WEIGHT if state.mean_duration_s else 1.0
        state.mean_duration_s += weight * (duration_s - state.mean_duration_s)
        self.record_load(name, load, now)

    def record_success(self, name: str) -> None:
        """Clear an instance's failures and stop avoiding it."""
        state = self.get_state(name)
        state.failures = 0
        state.avoided_until = 0.0

    def record_load(
        self, name: str, load: InstanceLoad | None, now: float
    ) -> None:
        """Store the load that an instance reported; None changes nothing."""
        if load is not None:
            state = self.get_state(name)
            state.load, state.load_reported_at = load, now

    def record_failure(
        self, name: str, now: float, severe: bool = True
    ) -> None:
        """Avoid an instance for a backoff that grows with each failure.

        A failure that is not severe, such as a truncated response, has this
        effect only after several failures in a row.
        """
        state = self.get_state(name)
        state.failures += 1
        if severe or state.failures >= const.MILD_FAILURES_TO_AVOID:
            delay_s = self._backoff.draw_delay_s(state.failures - 1, self._rng)
            state.avoided_until = now + delay_s
