"""How long a stream waits for its instance before it counts as hanging.

Pattern: an instance accepts streams, fails none of its probes and never sends
a byte to some of them, while others are served there and elsewhere. An
upstream that is slow as a whole must not be taken for one that hangs: each of
its streams would run twice.
"""

from dataclasses import dataclass
from dataclasses import replace
import math

import trio

from . import const
from ..costs.decisions import LogAverage
from ..costs.decisions import record_value


@dataclass(frozen=True, slots=True)
class SilenceKey:
    """Waits that are alike: of a route at an upstream."""

    upstream: str
    route: str
    is_first: bool


class SilenceTable:
    """How long instances were silent before an event, in seconds."""

    def __init__(self) -> None:
        """Start without observations."""
        self._averages: dict[SilenceKey, LogAverage] = {}

    def record(self, key: SilenceKey, waited_s: float, now: float) -> None:
        """Record a wait, also one that was given up."""
        known = self._averages.get(key)
        self._averages[key] = record_value(known, waited_s, now)

    def find(self, key: SilenceKey) -> LogAverage | None:
        """Return the average of a kind of waits."""
        return self._averages.get(key)


class Silence:
    """The wait of one attempt for its instance; `scope` ends it."""

    def __init__(
        self,
        table: SilenceTable,
        key: SilenceKey,
        give_up_at: float,
        is_queued: bool,
    ) -> None:
        """Initialize; `give_up_at` is when the caller's time ends."""
        self._table = table
        self._key = key
        self._give_up_at = give_up_at
        self._is_queued = is_queued
        self._since = 0.0
        self.scope = trio.CancelScope()

    def begin(self, now: float, extra_s: float = 0.0) -> None:
        """Wait for the next event from now on.

        `extra_s` may pass before the call is sent.
        """
        limit_s = choose_limit_s(
            self._table.find(self._key),
            self._give_up_at - now,
            self._is_queued,
            self._key.is_first,
        )
        self._since = now
        self.scope.deadline = now + limit_s
        if self._key.is_first:
            self.scope.deadline = min(
                self.scope.deadline + extra_s, self._give_up_at
            )

    def end(self, now: float) -> None:
        """Record that an event came."""
        self._table.record(self._key, now - self._since, now)
        self._key = replace(self._key, is_first=False)
        self.scope.deadline = math.inf

    def describe(self) -> str:
        """Record that no event came in time; return what to log."""
        now = trio.current_time()
        self._table.record(self._key, now - self._since, now)
        return f"no event for {now - self._since:.1f} s"


def choose_limit_s(
    average: LogAverage | None,
    remaining_s: float,
    is_queued: bool,
    is_first: bool,
) -> float:
    """Return how long to wait for the next event.

    `remaining_s` is the caller's time. It bounds the wait for a stream's
    first event; a stream that has begun ends by its silence only. One that
    found no free slot (`is_queued`) may wait for its turn all of its time.
    """
    limit_s = const.MIN_SILENCE_S
    if average is not None:
        margin = max(
            const.SILENCE_SPREADS * average.spread,
            math.log(const.MIN_SILENCE_FACTOR),
        )
        limit_s = max(limit_s, math.exp(average.mean + margin))
    elif is_first:
        limit_s = max(limit_s, remaining_s / 2)
    if not is_first:
        return limit_s
    return max(0.0, remaining_s if is_queued else min(limit_s, remaining_s))
