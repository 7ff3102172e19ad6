"""Paths, headers and the control timeout of the link."""

from typing import Final

PATH_RUN: Final = "/v1/run"
PATH_WEIGHTS: Final = "/v1/weights/"
HEADER_ORDER: Final = "x-order"
HEADER_REPLY: Final = "x-reply"

CONTROL_TIMEOUT_S: Final = 1.0
