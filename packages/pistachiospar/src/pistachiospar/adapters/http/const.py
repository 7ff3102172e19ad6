"""Limits and timeouts of the HTTP client and server."""

from typing import Final

from ...const import KIBIBYTE
from ...const import MEBIBYTE

MAX_HEAD_BYTES: Final = 32 * KIBIBYTE
MAX_BODY_BYTES: Final = 16 * MEBIBYTE
MAX_BUFFERED_BYTES: Final = 128 * MEBIBYTE
MAX_CONNECTIONS: Final = 10_000
# The largest body that the users' operators let callers send.
MAX_RESPONSE_BYTES: Final = 32 * MEBIBYTE
MAX_BUFFERED_RESPONSE_BYTES: Final = 48 * MEBIBYTE
# Tiny chunks take far more processor time than their bytes are worth.
TINY_CHUNK_BYTES: Final = 64
MAX_TINY_CHUNKS: Final = 16_384
# Other tasks run after this many events of one read.
MAX_EVENTS_PER_TURN: Final = 16
# RFC 9110: clients treat other status codes as invalid.
MAX_STATUS: Final = 599
MAX_INFORMATIONAL_RESPONSES: Final = 16
RECEIVE_CHUNK_BYTES: Final = 64 * KIBIBYTE
SEND_PIECE_BYTES: Final = 32 * KIBIBYTE
IDLE_TIMEOUT_S: Final = 60.0
READ_TIMEOUT_S: Final = 30.0
# Exchanges of which a connection knows that it carried an attempt.
MAX_KNOWN_EXCHANGES: Final = 32
POOL_IDLE_TIMEOUT_S: Final = 20.0
POOL_MAX_IDLE_CONNECTIONS: Final = 64
CONNECT_TIMEOUT_S: Final = 2.0
MAX_PORT: Final = 65_535
MAX_HOST_NAME_CHARACTERS: Final = 254
# How much of an invalid address an error shows.
MAX_SHOWN_CHARACTERS: Final = 80
# Idle connections are dropped this long before the server's keep-alive
# timeout, so that no request is sent while the server closes its side.
KEEP_ALIVE_MARGIN_S: Final = 0.5
# Sent bytes that stay unacknowledged for this long mean a dead path.
TCP_USER_TIMEOUT_MS: Final = 3000
