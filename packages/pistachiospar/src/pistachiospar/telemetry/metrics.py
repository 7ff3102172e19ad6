"""Metrics of a process: plain counts, read by OpenTelemetry when scraped.

The hot path only adds to an integer; the OpenTelemetry instruments are
observable and read the integers on each scrape.
"""

from collections.abc import Callable
from collections import Counter
from collections import deque

from .const import MAX_EARLY_DURATIONS

ReadGauge = Callable[[], float]


class Metrics:
    """Counts, gauges and durations of one process.

    Durations are kept in memory until an exporter is attached.
    """

    def __init__(self) -> None:
        """Start with no metrics and no exporter."""
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, ReadGauge] = {}
        self._record_duration: Callable[[str, float], None] | None = None
        self._early_durations: deque[tuple[str, float]] = deque(
            maxlen=MAX_EARLY_DURATIONS
        )

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in seconds, or keep it for the exporter."""
        if self._record_duration is None:
            self._early_durations.append((name, seconds))
        else:
            self._record_duration(name, seconds)

    def start_export(
        self, record_duration: Callable[[str, float], None]
    ) -> None:
        """Pass all durations to the exporter, first those kept so far.

        This runs in a thread; a duration that is observed meanwhile is
        either kept and passed on by the loop or recorded directly.
        """
        self._record_duration = record_duration
        while self._early_durations:
            record_duration(*self._early_durations.popleft())

    def count(self, name: str, increment: int = 1) -> None:
        """Increase the count of an event."""
        self.counts[name] += increment

    def add_gauge(self, name: str, read: ReadGauge) -> None:
        """Register a gauge; `read` is called on each scrape."""
        self.gauges[name] = read
