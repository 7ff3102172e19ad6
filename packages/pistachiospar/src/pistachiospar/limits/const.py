"""Constants of the instances' limits."""

from typing import Final

MAX_KNOWN_LIMITS: Final = 4096
