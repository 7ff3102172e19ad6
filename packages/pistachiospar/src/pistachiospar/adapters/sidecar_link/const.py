"""Limits, status codes and the trailer of the link over the network."""

from typing import Final

TRAILER_VERSIONS: Final = "x-versions"
MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
HTTP_OK: Final = 200
HTTP_BAD_REQUEST: Final = 400
HTTP_NOT_FOUND: Final = 404
FRAME_LENGTH_BYTES: Final = 4
RECEIVE_CHUNK_BYTES: Final = 16 * 1024
LISTEN_BACKLOG: Final = 1024
