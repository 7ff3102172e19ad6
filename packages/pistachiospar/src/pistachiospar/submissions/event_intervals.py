"""Time between the events of the streams at each instance."""

from collections.abc import Collection

from . import const


class EventIntervals:
    """Moving average of the time between events, by instance, in seconds."""

    def __init__(self) -> None:
        self._intervals: dict[str, tuple[float, float]] = {}

    def record_interval(
        self, instance: str, interval_s: float, now: float
    ) -> None:
        """Record the time between two events of a stream."""
        mean_s, _ = self._intervals.get(instance, (interval_s, now))
        weight = const.EVENT_INTERVAL_EWMA_WEIGHT
        self._intervals[instance] = (
            mean_s + weight * (interval_s - mean_s),
            now,
        )

    def retain_only(self, instances: Collection[str]) -> None:
        """Drop the averages of all other instances."""
        for name in [
            name for name in self._intervals if name not in instances
        ]:
            del self._intervals[name]

    def find_interval(self, instance: str, now: float) -> float:
        """Return an instance's average; the lowest of all when unknown."""
        known = self._intervals.get(instance)
        if (
            known is not None
            and now - known[1] < const.EVENT_INTERVAL_MAX_AGE_S
        ):
            return known[0]
        return min(
            (interval_s for interval_s, _ in self._intervals.values()),
            default=const.DEFAULT_EVENT_INTERVAL_S,
        )
