"""Constants of settings."""

from typing import Final

DEFAULT_SLOTS: Final = 16
DEFAULT_QUEUE_LIMIT: Final = 512
DEFAULT_DRAIN_S: Final = 60.0
STDOUT: Final = "-"
MAX_PORT: Final = 65535
SLOT_LIMIT: Final = 4096
QUEUE_HARD_LIMIT: Final = 100_000
DRAIN_LIMIT_S: Final = 3600.0
EMPTY_FOLDER: Final = ""
