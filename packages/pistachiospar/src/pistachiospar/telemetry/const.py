"""Constants of telemetry."""

from typing import Final

# From a call within a zone to a step's results, in seconds.
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
# A holder starts and finishes some 100 items a second.
LINES_A_SECOND: Final = 300
# Lines kept for a reader that is slow.
KEPT_BYTES: Final = 1_048_576
# Durations kept until the exporter is loaded, some 0.2 s after the start: far
# more than a gateway sees by then.
EARLY_DURATIONS: Final = 1000
METER_NAME: Final = "pistachiospar"
CONTENT_TYPE_METRICS: Final = "text/plain; version=0.0.4; charset=utf-8"
