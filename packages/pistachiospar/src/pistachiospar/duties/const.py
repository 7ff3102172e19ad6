"""Names, keys and timings of duties."""

from typing import Final

# Duties are held like pools, under names that no upstream can have.
PREFIX_DUTY: Final = "duty/"
DUTY_USAGE: Final = "usage"
DUTY_SCALE: Final = "scale"
# The last holder of each duty that may have made a call.
PREFIX_TERMS: Final = "ps/d/"
# A call without a response for this long is repeated. The holder makes it
# only while its lease is certain to last longer.
CALL_TIMEOUT_S: Final = 1.0
RETRY_INITIAL_S: Final = 1.0
RETRY_MAX_S: Final = 4.0
# Calls keep a distance that stays below the rate limit despite jitter.
RATE_SHARE: Final = 0.9
DEFAULT_CALLS_PER_S: Final = 5.0
# How often a holder checks whether it has a new fence.
TERM_CHECK_INTERVAL_S: Final = 0.2
# After a refused fence the duty is left to others for a moment.
REFUSED_DELAY_S: Final = 1.0
