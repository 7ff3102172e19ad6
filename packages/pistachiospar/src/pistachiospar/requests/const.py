"""Constants of the request path."""

from typing import Final

from ..const import MEBIBYTE

MAX_ATTEMPTS: Final = 4
MAX_BUFFERED_BYTES: Final = 1 * MEBIBYTE
RETRY_FIRST_S: Final = 0.02
RETRY_MOST_S: Final = 1.0
RETRY_RATIO: Final = 0.1
RETRY_RESERVE: Final = 10.0
SETTLE_FIRST_S: Final = 0.05
SETTLE_MOST_S: Final = 0.5
DEADLINE_MARGIN_S: Final = 0.05
MIN_RETRY_AFTER_S: Final = 0.1

ZONE_PENALTY: Final = 1.25
HINT_WEIGHT: Final = 0.25
SAMPLE_WEIGHT: Final = 0.05
SLOW_START_PENALTY: Final = 4.0
AFFINITY_FACTOR: Final = 1.5
PREFIX_BYTES: Final = 256


BYTES_PER_TOKEN: Final = 4
PLAIN_CALL_TOKENS: Final = 1
MAX_KEY_BYTES: Final = 256
DEFAULT_MAX_TOKENS: Final = 16
UNKNOWN_KEY_RETRY_S: Final = 5.0
EVENT_STREAM: Final = "text/event-stream"
DIGEST_CHARACTERS: Final = 16
