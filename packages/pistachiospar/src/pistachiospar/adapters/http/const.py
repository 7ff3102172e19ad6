"""Constants of the HTTP adapters."""

from typing import Final

from ...const import KIBIBYTE
from ...const import MEBIBYTE

MAX_HEAD_BYTES: Final = 32 * KIBIBYTE
MAX_BODY_BYTES: Final = 16 * MEBIBYTE
MAX_BUFFERED_BYTES: Final = 128 * MEBIBYTE
MAX_CONNECTIONS: Final = 10_000
RECEIVE_BYTES: Final = 64 * KIBIBYTE
IDLE_TIMEOUT_S: Final = 60.0
READ_TIMEOUT_S: Final = 30.0
POOL_IDLE_S: Final = 20.0
POOL_MAX_IDLE: Final = 64
CONNECT_TIMEOUT_S: Final = 2.0
# A request must not cross the other side's close of an idle connection.
KEEP_ALIVE_MARGIN_S: Final = 0.5
# Sent bytes that nobody acknowledges for so long mean a dead path.
UNACKED_TIMEOUT_MS: Final = 3000
