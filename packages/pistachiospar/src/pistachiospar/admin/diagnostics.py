"""Support state dumps: secrets are redacted."""

from typing import Any

from .const import REDACTED
from .const import SECRET_NAMES


def redact(value: Any) -> Any:
    """Return a copy in which the values of secret names are hidden."""
    if isinstance(value, dict):
        return {
            name: REDACTED if name in SECRET_NAMES and item else redact(item)
            for name, item in value.items()
        }
    if isinstance(value, list):
        return [redact(item) for item in value]
    return value
