"""Health of the upstream instances, as observed by this gateway's calls."""

from collections.abc import Collection
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
import math
from random import Random

from . import const
from ..costs.models import CallClass
from ..costs.table import CostTable
from ..helpers.backoff import Backoff
from ..ports.sampler import InstanceLoad


@dataclass(frozen=True, slots=True)
class OpenCall:
    """A call in flight, with its expected cost in seconds at pace 1.0.

    `is_queued` is set when no slot was free, as far as known, when it was
    sent; `sent_at` is in monotonic seconds.
    """

    call_class: CallClass
    cost_s: float
    sent_at: float
    is_queued: bool


@dataclass(slots=True)
class InstanceHealthState:
    """What this gateway observed of one instance.

    `failures` counts consecutive ones. `mean_duration_s` is a moving average
    over complete responses, 0 before the first. `calls` are this gateway's
    in flight, `others` the further ones in the last load report. `slowness`
    is the logarithm of how much longer calls take there than expected, as of
    `slowness_at`. Times are in monotonic seconds.
    """

    in_flight: int = 0
    failures: int = 0
    avoided_until: float = 0.0
    mean_duration_s: float = 0.0
    load: InstanceLoad | None = None
    load_reported_at: float = 0.0
    calls: dict[int, OpenCall] = field(default_factory=dict)
    others: int = 0
    slowness: float = 0.0
    slowness_at: float = 0.0

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

    def compute_news_weight(self, now: float) -> float:
        """Return how much the last load report still says, from 0 to 1."""
        if self.load is None:
            return 0.0
        age_s = max(0.0, now - self.load_reported_at)
        return math.exp(-age_s / const.LOAD_NEWS_S)

    def estimate_pace(self, now: float) -> float:
        """Return how long work takes there, as a multiple of the usual.

        Without recent news an instance counts as having its usual pace.
        """
        pace = self.estimate_reported_pace(now)
        if self.slowness:
            age_s = max(0.0, now - self.slowness_at)
            left = math.exp(-age_s / const.SLOWNESS_S)
            pace *= math.exp(self.slowness * left)
        return pace

    def estimate_reported_pace(self, now: float) -> float:
        """Return what is left of the pace in the last load report."""
        if self.load is None or self.load.pace == 1.0:
            return 1.0
        pace = min(const.MAX_PACE, max(1.0 / const.MAX_PACE, self.load.pace))
        return pace ** self.compute_news_weight(now)

    def estimate_own_work_s(self, usual_s: float, now: float) -> float:
        """Return the remaining cost of this gateway's calls in flight.

        `usual_s` is the cost of those that aren't tracked. A call that takes
        longer than expected has a share of its cost left.
        """
        pace = self.estimate_pace(now)
        work_s = usual_s * max(0, self.in_flight - len(self.calls))
        for call in self.calls.values():
            done_s = (now - call.sent_at) / pace
            least_s = const.LEAST_REMAINING_SHARE * call.cost_s
            work_s += max(least_s, call.cost_s - done_s)
        return work_s


class InstanceHealth:
    """Health of all instances that this gateway calls, by name."""

    def __init__(self, rng: Random) -> None:
        """Start without observations; `rng` jitters the backoff."""
        self._rng = rng
        self._backoff = Backoff(const.AVOID_INITIAL_S, const.AVOID_MAX_S)
        self._states: dict[str, InstanceHealthState] = {}
        self._sent_calls = 0
        self.costs = CostTable()

    def get_state(self, name: str) -> InstanceHealthState:
        """Return the state of an instance, a new one if there is none."""
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = InstanceHealthState()
        return state

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

    @contextmanager
    def track_call(
        self, name: str, slots: int, call_class: CallClass, now: float
    ) -> Iterator[OpenCall]:
        """Count a call as in flight at an instance."""
        number, call = self.start_call(name, slots, call_class, now)
        try:
            yield call
        finally:
            self.end_call(name, number)

    def start_call(
        self, name: str, slots: int, call_class: CallClass, now: float
    ) -> tuple[int, OpenCall]:
        """Count a call as in flight until `end_call`; return its number."""
        state = self.get_state(name)
        estimate = self.costs.estimate(call_class, now)
        is_queued = state.count_load(now) >= slots
        call = OpenCall(call_class, estimate.typical_s, now, is_queued)
        self._sent_calls += 1
        number = self._sent_calls
        state.calls[number] = call
        state.in_flight += 1
        return number, call

    def end_call(self, name: str, number: int) -> None:
        """Count a call as in flight no more."""
        state = self.get_state(name)
        state.in_flight -= 1
        del state.calls[number]

    def record_cost(self, name: str, call: OpenCall, now: float) -> None:
        """Record what a call cost that ran to its end at an instance.

        How long it took counts first against the pace that the instance
        reported, then against what such calls cost.
        """
        state = self.get_state(name)
        cost_s = (now - call.sent_at) / state.estimate_reported_pace(now)
        self.costs.record(call.call_class, cost_s, now, call.is_queued)
        if call.is_queued:
            return
        ratio = math.log(max(1e-6, cost_s) / call.cost_s)
        limit = const.MAX_SLOWNESS
        ratio = min(limit, max(-limit, ratio))
        age_s = max(0.0, now - state.slowness_at)
        slowness = state.slowness * math.exp(-age_s / const.SLOWNESS_S)
        slowness += const.DURATION_WEIGHT * (ratio - slowness)
        state.slowness, state.slowness_at = slowness, now

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
            calls = load.running + load.waiting
            state.others = max(0, calls - state.in_flight)

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
