"""Constants of the estimates of what calls cost."""

from typing import Final

# Of an upstream that was never called.
DEFAULT_COST_S: Final = 0.02
# Mean absolute deviation of a cost's logarithm, before any is observed: half
# of the calls take between 0.6 and 1.6 times the typical cost.
INITIAL_SPREAD: Final = 0.5
# Share of the newest observation, once there are many.
MIN_STEP: Final = 0.1
# A deviation counts up to this many spreads, so that two calls from a heavy
# tail in a row raise an estimate by a third, not to the double.
MAX_DEVIATION_SPREADS: Final = 2.5
# Floor of that bound: equal costs would make any change count for nothing.
MIN_DEVIATION_BOUND: Final = 0.5
# Observations lose half of their weight in this time.
HALF_LIFE_S: Final = 60.0
# A class counts as much as its route's estimate after this many observations.
PRIOR_WEIGHT: Final = 2.0
# One class takes some 500 bytes.
MAX_CLASSES: Final = 4096
