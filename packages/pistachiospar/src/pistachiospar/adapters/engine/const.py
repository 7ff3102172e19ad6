"""Paths, timeouts and event stream format of model engines."""

from typing import Final

PATH_COMPLETIONS: Final = "/v1/completions"
PATH_LOAD: Final = "/v1/weights/load"
PATH_VERSIONS: Final = "/v1/weights"

READ_TIMEOUT_S: Final = 2.0
LOAD_TIMEOUT_S: Final = 30.0

SSE_DATA_PREFIX: Final = b"data: "
SSE_EVENT_END: Final = b"\n\n"
SSE_DONE: Final = b"[DONE]"
