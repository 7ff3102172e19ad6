"""Paths and timeouts of the calls between gateways."""

from typing import Final

PATH_RESULTS: Final = "/results/"
CONNECT_TIMEOUT_S: Final = 0.2
# A holder that sends no response for this long beyond the requested wait is
# taken to be gone.
RESPONSE_MARGIN_S: Final = 0.4
PATH_KV: Final = "/kv"
PATH_FOLLOW: Final = "/follow"
PATH_PERMIT: Final = "/permit"
PATH_COPY_ORIGINS: Final = "/stream-origins"
PATH_USAGE_COUNTS: Final = "/usage-counts"
PATH_FIND_ORIGIN: Final = "/stream-origin"
# The peer's own call may take 1.8 s, not counting the wait of a poll.
KV_CALL_TIMEOUT_S: Final = 2.2
