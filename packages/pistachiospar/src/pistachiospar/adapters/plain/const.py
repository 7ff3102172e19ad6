"""Request headers and default content type of upstream calls."""

from typing import Final

HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_PRIORITY: Final = "X-Priority"
HEADER_REQUEST_ID: Final = "X-Request-Id"
DEFAULT_CONTENT_TYPE: Final = "application/octet-stream"
