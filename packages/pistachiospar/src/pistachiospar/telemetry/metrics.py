"""Support metrics: plain counts, read by OpenTelemetry when scraped.

The hot path only adds to an integer; the OpenTelemetry instruments are
observable and read the integers on each scrape.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections import Counter

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import generate_latest
from prometheus_client import REGISTRY

from .const import DURATION_BOUNDS_S
from .const import METER_NAME

Gauge = Callable[[], float]


class Metrics:
    """Hold the counts and gauges of one process."""

    def __init__(self) -> None:
        """Begin with no count."""
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, Gauge] = {}
        self.record: Callable[[str, float], None] | None = None

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram, once an exporter is there."""
        if self.record is not None:
            self.record(name, seconds)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a count."""
        self.counts[name] += amount

    def add_gauge(self, name: str, read: Gauge) -> None:
        """Add a gauge that is read on each scrape."""
        self.gauges[name] = read


class MetricsExporter:
    """Render metrics in the Prometheus text format."""

    def __init__(self, metrics: Metrics, process: str) -> None:
        """Register the instruments."""
        self._metrics = metrics
        reader = PrometheusMetricReader()
        resource = Resource({"service.name": process})
        provider = MeterProvider([reader], resource, shutdown_on_exit=False)
        meter = provider.get_meter(METER_NAME)
        meter.create_observable_counter(
            "pistachiospar_events", [self._read_counts]
        )
        meter.create_observable_gauge(
            "pistachiospar_state", [self._read_gauges]
        )
        self._durations = meter.create_histogram(
            "pistachiospar_duration",
            unit="s",
            explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
        )
        metrics.record = self._record

    def render(self) -> bytes:
        """Return all metrics."""
        return generate_latest(REGISTRY)

    def _record(self, name: str, seconds: float) -> None:
        """Add a duration to its histogram."""
        self._durations.record(seconds, {"of": name})

    def _read_counts(self, _: CallbackOptions) -> Iterable[Observation]:
        """Yield the counts."""
        for name, value in sorted(self._metrics.counts.items()):
            yield Observation(value, {"event": name})

    def _read_gauges(self, _: CallbackOptions) -> Iterable[Observation]:
        """Yield the gauges."""
        for name, read in sorted(self._metrics.gauges.items()):
            yield Observation(read(), {"name": name})
