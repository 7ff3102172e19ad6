"""Constants that the processes share."""

from typing import Final

LISTEN_BACKLOG: Final = 1024
# Interval at which a draining process checks for calls in flight.
DRAIN_POLL_INTERVAL_S: Final = 0.05
# Wait between the end of draining and the exit.
STOP_DELAY_S: Final = 0.3
# Allocations before the garbage collector runs.
GC_THRESHOLD: Final = 20_000
