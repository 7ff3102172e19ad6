"""Constants of weight announcements."""

from typing import Final

MAX_WRITE_ATTEMPTS: Final = 4
RETRY_AFTER_S: Final = 1.0
