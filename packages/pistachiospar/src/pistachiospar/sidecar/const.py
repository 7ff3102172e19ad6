"""Constants of the sidecar."""

from typing import Final

from ..const import KIBIBYTE
from ..const import MEBIBYTE

RECORD_TTL_FACTOR: Final = 2.0
DEFAULT_RECORD_TTL_S: Final = 120.0
MAX_KEPT_ANSWER_BYTES: Final = 64 * KIBIBYTE
MAX_KEPT_TOTAL_BYTES: Final = 8 * MEBIBYTE

STARVATION_S: Final = 5.0
INTERACTIVE_RESERVE: Final = 8
RATE_SMOOTHING: Final = 0.2
MIN_RETRY_AFTER_S: Final = 0.1
MAX_RETRY_AFTER_S: Final = 30.0

PROBE_INTERVAL_S: Final = 1.0
SWAP_RETRY_FIRST_S: Final = 0.25
SWAP_RETRY_MOST_S: Final = 5.0
PACE_SMOOTHING: Final = 0.3
PACE_FRESH_S: Final = 5.0
RESUME_RETRY_S: Final = 0.1
MAX_SAMPLE_RESTARTS: Final = 3
