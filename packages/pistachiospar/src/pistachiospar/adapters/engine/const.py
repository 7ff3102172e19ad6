"""Constants of the engine adapter."""

from typing import Final

PATH_COMPLETIONS: Final = "/v1/completions"
PATH_LOAD: Final = "/v1/weights/load"
PATH_VERSIONS: Final = "/v1/weights"

READ_TIMEOUT_S: Final = 2.0
LOAD_TIMEOUT_S: Final = 30.0

EVENT_PREFIX: Final = b"data: "
EVENT_END: Final = b"\n\n"
EVENT_DONE: Final = b"[DONE]"
