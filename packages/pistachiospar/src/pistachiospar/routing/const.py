"""Constants of the checks of a configuration."""

import re
from typing import Final

# Digits of a key's SHA-256 that reports show; keys are never shown.
SHOWN_DIGEST_DIGITS: Final = 8
# A name is sent to samplers in a header.
ORGANISATION_NAME_PATTERN: Final = re.compile(r"[!-~]([ -~]{0,254}[!-~])?")
# Times that are equal in milliseconds may differ in seconds by rounding.
ROUNDING: Final = 1 + 1e-9
CALLER_LIMIT_FIELDS: Final = (
    "max_head_bytes",
    "max_body_bytes",
    "read_timeout_s",
    "idle_timeout_s",
)
