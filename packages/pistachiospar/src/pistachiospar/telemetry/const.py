"""Constants of telemetry."""

from typing import Final

METER_NAME: Final = "pistachiospar"
CONTENT_TYPE_METRICS: Final = "text/plain; version=0.0.4; charset=utf-8"
