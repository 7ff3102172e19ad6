"""Constants of the weight relay."""

from typing import Final

from ..const import MEBIBYTE

FANOUT: Final = 4
MAX_RELAYED_WEIGHTS_BYTES: Final = 4 * MEBIBYTE
RETRY_INITIAL_S: Final = 0.1
RETRY_MAX_S: Final = 1.0
ATTEMPTS_PER_SOURCE: Final = 5
CACHED_VERSIONS_PER_MODEL: Final = 2
FETCH_TIMEOUT_S: Final = 60.0
