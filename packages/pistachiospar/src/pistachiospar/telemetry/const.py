"""Constants of telemetry."""

from typing import Final

# Histogram buckets, from a call within a zone up to the results of a step.
DURATION_BOUNDS_S: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    7.5,
    15.0,
)
# The holder of a pool starts and finishes about 100 items a second.
MAX_LINES_PER_SECOND: Final = 300
# Log lines buffered for a slow reader.
MAX_BUFFERED_BYTES: Final = 1_048_576
# Durations kept until the exporter is loaded, about 0.2 s after the start:
# far more than a gateway observes by then.
MAX_EARLY_DURATIONS: Final = 1000
METER_NAME: Final = "pistachiospar"
CONTENT_TYPE_METRICS: Final = "text/plain; version=0.0.4; charset=utf-8"
