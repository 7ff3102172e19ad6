"""Path, timeouts and framing of the calls between entries."""

from typing import Final

PATH_JOBS: Final = "/v1/jobs"
FORWARD_TIMEOUT_S: Final = 75.0
STREAM_IDLE_TIMEOUT_S: Final = 10.0
KEEP_ALIVE_INTERVAL_S: Final = 2.0
FRAME_LENGTH_BYTES: Final = 4
