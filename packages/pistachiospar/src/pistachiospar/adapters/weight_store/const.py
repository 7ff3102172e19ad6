"""Constants of the weight store's adapter."""

from typing import Final

FETCH_TIMEOUT_S: Final = 10.0
SCHEME: Final = "http://"
