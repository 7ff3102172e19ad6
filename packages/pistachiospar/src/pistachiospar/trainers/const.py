"""Constants of trainers' steps."""

from typing import Final

from ..const import KIBIBYTE
from ..const import MEBIBYTE

MAX_SAMPLES: Final = 65_536
MAX_GROUPS: Final = 65_536
MAX_TOKENS: Final = 1_000_000
MAX_WAIT_MS: Final = 60_000
DEFAULT_PULL_SAMPLES: Final = 256
MAX_PULL_SAMPLES: Final = 8_192
MAX_PULL_BYTES: Final = 8 * MEBIBYTE
MAX_STEPS_PER_TRAINER: Final = 4

WEIGHTS_REFRESH_TIMEOUT_S: Final = 0.25
SAMPLE_TIMEOUT_S: Final = 600.0
IN_FLIGHT_SAMPLES_PER_SLOT: Final = 1.5
RETRY_INITIAL_S: Final = 0.05
RETRY_MAX_S: Final = 2.0
IDLE_POLL_INTERVAL_S: Final = 0.5

# A sample is a straggler if it takes longer than this multiple of the median
# duration, once STRAGGLER_MIN_FINISHED samples are finished.
STRAGGLER_MEDIAN_FACTOR: Final = 2.0
MAX_MOVES_PER_SAMPLE: Final = 2
STRAGGLER_MIN_FINISHED: Final = 8
STRAGGLER_CHECK_INTERVAL_S: Final = 0.25
# Tokens that hedges may generate twice: a share of the finished tokens, but at
# least so many samples of maximum length.
HEDGE_MAX_TOKEN_SHARE: Final = 0.04
HEDGE_MIN_BUDGET_SAMPLES: Final = 2.0

DEFINITION_PART_BYTES: Final = 512 * KIBIBYTE
PREFIX_STEPS: Final = "/pistachiospar/steps/"
PREFIX_OWNERS: Final = "/pistachiospar/owners/"

CURSOR_FORMAT_VERSION: Final = 1
CHECKSUM_BYTES: Final = 8
MAX_CURSOR_CHARACTERS: Final = 32 * KIBIBYTE
