"""Constants of announcing weights."""

from typing import Final

MAX_TRIES: Final = 4
RETRY_AFTER_S: Final = 1.0
