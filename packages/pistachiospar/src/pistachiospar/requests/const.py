"""Constants of callers' requests."""

from typing import Final

from ..const import MEBIBYTE

MAX_ATTEMPTS: Final = 4
MAX_BUFFERED_BYTES: Final = 1 * MEBIBYTE
RETRY_INITIAL_S: Final = 0.02
RETRY_MAX_S: Final = 1.0
# Retries, as a share of requests; at most RETRY_BUDGET_MAX are saved up.
RETRY_BUDGET_PER_REQUEST: Final = 0.1
RETRY_BUDGET_MAX: Final = 10.0
SETTLE_RETRY_INITIAL_S: Final = 0.05
SETTLE_RETRY_MAX_S: Final = 0.5
DEADLINE_MARGIN_S: Final = 0.05
MIN_RETRY_AFTER_S: Final = 0.1

OTHER_ZONE_LOAD_FACTOR: Final = 1.25
REPORTED_QUEUE_WEIGHT: Final = 0.25
SAMPLE_LOAD_WEIGHT: Final = 0.05
SLOW_START_EXTRA_LOAD: Final = 4.0
# An instance serves its prefixes up to this multiple of the mean load.
PREFIX_LOAD_FACTOR: Final = 1.5
PREFIX_CHARACTERS: Final = 256

CHARACTERS_PER_TOKEN: Final = 4
PLAIN_CALL_TOKENS: Final = 1
MAX_KEY_BYTES: Final = 256
DEFAULT_MAX_TOKENS: Final = 16
DEPARTED_OWNER_RETRY_AFTER_S: Final = 5.0
CONTENT_TYPE_EVENT_STREAM: Final = "text/event-stream"
BODY_DIGEST_CHARACTERS: Final = 16
