"""Paths of the admin port, and the redaction of its state dumps."""

from typing import Final

PATH_HEALTH: Final = "/healthz"
PATH_READY: Final = "/readyz"
PATH_STATE: Final = "/state"
PATH_METRICS: Final = "/metrics"
PATH_EXPLAIN: Final = "/explain/"
REDACTED: Final = "**REDACTED**"
SECRET_FIELD_NAMES: Final = frozenset({"key", "source", "signature", "prompt"})
