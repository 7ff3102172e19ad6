"""Constants of the adapter for plain services."""

from typing import Final

HEADER_KEY: Final = "Idempotency-Key"
HEADER_PRIORITY: Final = "X-Priority"
HEADER_REQUEST_ID: Final = "X-Request-Id"
DEFAULT_CONTENT_TYPE: Final = "application/octet-stream"
