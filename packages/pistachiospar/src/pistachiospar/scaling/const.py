"""Constants of the numbers of instances."""

from typing import Final

# Share of the slots that is in use on average, so that callers don't wait
# for the slots that vary from call to call.
TARGET_USE: Final = 0.7
# An instance is given up only when the rest stays below this share: the gap
# to TARGET_USE keeps a steady demand from moving the number up and down.
USE_AFTER_DECREASE: Final = 0.6
# No change against the last direction within this time, or within two boots
# of an instance if those take longer.
MIN_HOLD_S: Final = 30.0
HOLD_BOOTS: Final = 2.0
# Instances are given up one at a time.
DECREASE_INTERVAL_S: Final = 10.0
