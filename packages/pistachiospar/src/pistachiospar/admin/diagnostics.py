"""Redaction of secrets in state dumps."""

from typing import Any

from .const import REDACTED
from .const import SECRET_FIELD_NAMES


def redact(value: Any) -> Any:
    """Return a copy with the non-empty values of secret fields hidden."""
    if isinstance(value, dict):
        return {
            name: REDACTED
            if name in SECRET_FIELD_NAMES and item
            else redact(item)
            for name, item in value.items()
        }
    if isinstance(value, list):
        return [redact(item) for item in value]
    return value
