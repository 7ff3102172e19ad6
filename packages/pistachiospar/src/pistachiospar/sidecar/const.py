"""Constants of the sidecar."""

from typing import Final

from ..const import KIBIBYTE
from ..const import MEBIBYTE

# Records expire after this multiple of the upstream's maximum timeout.
RECORD_TTL_FACTOR: Final = 2.0
DEFAULT_RECORD_TTL_S: Final = 120.0
MAX_STORED_RESPONSE_BYTES: Final = 64 * KIBIBYTE
MAX_STORED_TOTAL_BYTES: Final = 8 * MEBIBYTE

# A partner's oldest order goes first, whatever its priority, after this wait.
STARVATION_TIMEOUT_S: Final = 5.0
# One slot of this many, and at least one, is reserved for calls; a single slot
# is shared with samples.
SLOTS_PER_RESERVED_SLOT: Final = 8
# Weight of the newest observation in a moving average.
RATE_SMOOTHING_FACTOR: Final = 0.2
MIN_RETRY_AFTER_S: Final = 0.1
MAX_RETRY_AFTER_S: Final = 30.0

PROBE_INTERVAL_S: Final = 1.0
SWAP_RETRY_INITIAL_S: Final = 0.25
SWAP_RETRY_MAX_S: Final = 5.0
PACE_SMOOTHING_FACTOR: Final = 0.3
PACE_MAX_AGE_S: Final = 5.0
RESUME_RETRY_DELAY_S: Final = 0.1
MAX_SAMPLE_RESTARTS: Final = 3
