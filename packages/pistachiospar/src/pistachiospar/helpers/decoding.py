"""Errors of decoding what other programs wrote."""

from typing import Final

import msgspec

# Data that is nested too deeply exhausts the decoder's stack.
DECODE_ERRORS: Final = (msgspec.MsgspecError, RecursionError)
