"""Constants of the relay."""

from typing import Final

from ..const import MEBIBYTE

FANOUT: Final = 4
MAX_MEMORY_BYTES: Final = 4 * MEBIBYTE
RETRY_FIRST_S: Final = 0.1
RETRY_MOST_S: Final = 1.0
TRIES_EACH: Final = 5
KEPT_VERSIONS: Final = 2
FETCH_LIMIT_S: Final = 60.0
