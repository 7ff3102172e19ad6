"""Constants of the order of waiting calls."""

from typing import Final

# Share of the room that the least urgent waiting priority gets under load.
FLOOR_SHARE: Final = 0.05
