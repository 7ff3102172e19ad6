"""Export of metrics through OpenTelemetry in the Prometheus text format.

Kept apart from `metrics`, so that a gateway can import OpenTelemetry after
it has begun to serve callers.
"""

from collections.abc import Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import generate_latest
from prometheus_client import REGISTRY

from .const import DURATION_BOUNDS_S
from .const import METER_NAME
from .metrics import Metrics


class MetricsExporter:
    """Export a process's metrics through OpenTelemetry."""

    def __init__(self, metrics: Metrics, process: str) -> None:
        """Register the instruments; `process` becomes the service's name."""
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
        metrics.start_export(self._record_duration)

    def render(self) -> bytes:
        """Return all metrics as Prometheus text."""
        return generate_latest(REGISTRY)

    def _record_duration(self, name: str, seconds: float) -> None:
        """Add a duration to the histogram, labelled with its name."""
        self._durations.record(seconds, {"of": name})

    def _read_counts(self, _: CallbackOptions) -> Iterable[Observation]:
        """Yield one observation per count."""
        for name, value in sorted(self._metrics.counts.items()):
            yield Observation(value, {"event": name})

    def _read_gauges(self, _: CallbackOptions) -> Iterable[Observation]:
        """Yield one observation per gauge."""
        for name, read in sorted(self._metrics.gauges.items()):
            yield Observation(read(), {"name": name})
