"""Constants of processes."""

from typing import Final

LISTEN_BACKLOG: Final = 1024
DRAIN_POLL_S: Final = 0.05
STOP_GRACE_S: Final = 0.3
GC_THRESHOLD: Final = 20_000
