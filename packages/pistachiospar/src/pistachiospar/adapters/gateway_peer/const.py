"""Constants of the calls between gateways."""

from typing import Final

PATH_RESULTS: Final = "/results/"
CONNECT_TIMEOUT_S: Final = 0.2
# A holder that does not answer beyond the wait asked for is gone.
SLACK_S: Final = 0.4
