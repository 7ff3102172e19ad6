"""Constants of the link's adapter."""

from typing import Final

TRAILER_VERSIONS: Final = "x-versions"
NEVER_RESEND_MS: Final = 3_600_000
RECONNECT_MIN_MS: Final = 100
RECONNECT_MAX_MS: Final = 2_000
CONTROL_MAX_BYTES: Final = 4 * 1024 * 1024
EVENTS_CONTENT_TYPE: Final = "text/event-stream"
EVENTS_BATCH_BYTES: Final = 16 * 1024
EVENTS_BATCH_S: Final = 0.02
HTTP_OK: Final = 200
HTTP_BAD_REQUEST: Final = 400
HTTP_NOT_FOUND: Final = 404
