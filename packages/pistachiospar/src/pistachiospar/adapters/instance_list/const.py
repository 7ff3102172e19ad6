"""Constants of the instance list's adapter."""

from typing import Final

PATH_INSTANCES: Final = "/instances"
CALL_TIMEOUT_S: Final = 2.0
