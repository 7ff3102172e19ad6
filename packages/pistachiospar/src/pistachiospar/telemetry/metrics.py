"""Support metrics: plain counts, read by OpenTelemetry when scraped.

The hot path only adds to an integer; the OpenTelemetry instruments are
observable and read the integers on each scrape.
"""

from collections.abc import Callable
from collections import Counter
from collections import deque

from .const import EARLY_DURATIONS

Gauge = Callable[[], float]


class Metrics:
    """Hold the counts and gauges of one process."""

    def __init__(self) -> None:
        """Begin with no count."""
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, Gauge] = {}
        self._record: Callable[[str, float], None] | None = None
        self._early: deque[tuple[str, float]] = deque(maxlen=EARLY_DURATIONS)

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram, or keep it for the exporter."""
        if self._record is None:
            self._early.append((name, seconds))
        else:
            self._record(name, seconds)

    def start_export(self, record: Callable[[str, float], None]) -> None:
        """Hand durations over from now on, and the kept ones.

        Called in a thread: what is observed meanwhile is kept or recorded.
        """
        self._record = record
        while self._early:
            record(*self._early.popleft())

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a count."""
        self.counts[name] += amount

    def add_gauge(self, name: str, read: Gauge) -> None:
        """Add a gauge that is read on each scrape."""
        self.gauges[name] = read
