"""Defaults and limits of settings."""

from typing import Final

DEFAULT_SLOTS: Final = 16
DEFAULT_QUEUE_LIMIT: Final = 512
DEFAULT_DRAIN_S: Final = 60.0
# Log path that means standard output.
STDOUT: Final = "-"
MAX_PORT: Final = 65535
MAX_SLOTS: Final = 4096
MAX_QUEUE_LIMIT: Final = 100_000
MAX_DRAIN_S: Final = 3600.0
# Without a folder the bundle is not stored.
DEFAULT_DATA_FOLDER: Final = ""
