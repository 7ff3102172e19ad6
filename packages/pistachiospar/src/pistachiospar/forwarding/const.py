"""Constants of forwarding."""

from typing import Final

# A second try starts when this share of the target passed without answer.
HEDGE_SHARE: Final = 0.6
HEDGE_LEAST_S: Final = 0.06
# An instance answers for itself when the time it was given is over.
LINGER_S: Final = 0.3
# An instance that failed is avoided for a while, longer each time.
AVOID_FIRST_S: Final = 0.5
AVOID_MOST_S: Final = 2.0
MILD_FAILURES: Final = 3
# Weight of the newest duration in the running mean.
PACE_WEIGHT: Final = 0.2
# A call that no instance takes is refused after this share of its time.
HOPE_SHARE: Final = 0.6
FULL_PAUSE_S: Final = 0.03
LOAD_AGE_S: Final = 0.5
RETRY_AFTER_S: Final = 0.1
MOST_REFUSALS: Final = 8
