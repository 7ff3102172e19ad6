"""Constants of the peers' adapter."""

from typing import Final

PATH_JOBS: Final = "/v1/jobs"
FORWARD_TIMEOUT_S: Final = 75.0
QUIET_LIMIT_S: Final = 10.0
KEEP_ALIVE_S: Final = 2.0
LENGTH_BYTES: Final = 4
