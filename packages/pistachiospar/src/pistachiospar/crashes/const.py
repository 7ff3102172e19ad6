"""Constants of requests that crash instances."""

from typing import Final

FINGERPRINT_BYTES: Final = 16
