"""URL scheme and timeout of weight downloads."""

from typing import Final

FETCH_TIMEOUT_S: Final = 10.0
URL_SCHEME: Final = "http://"
