"""Path and timeout of the instance list."""

from typing import Final

PATH_INSTANCES: Final = "/instances"
CALL_TIMEOUT_S: Final = 2.0
