"""Constants of the calls between gateways."""

from typing import Final

PATH_RESULTS: Final = "/results/"
CONNECT_TIMEOUT_S: Final = 0.2
# A holder that does not answer beyond the wait asked for is gone.
SLACK_S: Final = 0.4
PATH_KV: Final = "/kv"
# A peer's own call may take 1.8 s, beside what it waits.
KV_TIMEOUT_S: Final = 2.2
