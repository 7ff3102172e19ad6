"""Constants of steps."""

from typing import Final

from ..const import KIBIBYTE
from ..const import MEBIBYTE

MAX_SAMPLES: Final = 65_536
MAX_GROUPS: Final = 65_536
MAX_TOKENS: Final = 1_000_000
MAX_WAIT_MS: Final = 60_000
DEFAULT_PULL: Final = 256
MAX_PULL: Final = 8_192
MAX_PULL_BYTES: Final = 8 * MEBIBYTE
MAX_STEPS_KEPT: Final = 4

REFRESH_S: Final = 0.25
SAMPLE_TIMEOUT_S: Final = 600.0
WINDOW_FACTOR: Final = 1.5
RETRY_FIRST_S: Final = 0.05
RETRY_MOST_S: Final = 2.0
IDLE_POLL_S: Final = 0.5

STRAGGLER_FACTOR: Final = 2.0
MAX_MOVES: Final = 2
HEDGE_MIN_DONE: Final = 8
HEDGE_POLL_S: Final = 0.25
HEDGE_TOKEN_SHARE: Final = 0.04
HEDGE_FREE_TOKENS: Final = 2.0

DEFINITION_PART_BYTES: Final = 512 * KIBIBYTE
PREFIX_STEPS: Final = "/pistachiospar/steps/"
PREFIX_OWNERS: Final = "/pistachiospar/owners/"

CURSOR_VERSION: Final = 1
CHECKSUM_BYTES: Final = 8
MAX_CURSOR_CHARACTERS: Final = 32 * KIBIBYTE
