"""Constants of the admin port."""

from typing import Final

PATH_HEALTH: Final = "/healthz"
PATH_READY: Final = "/readyz"
PATH_STATE: Final = "/state"
PATH_METRICS: Final = "/metrics"
PATH_EXPLAIN: Final = "/explain/"
REDACTED: Final = "**REDACTED**"
SECRET_NAMES: Final = frozenset({"key", "source", "signature", "prompt"})
