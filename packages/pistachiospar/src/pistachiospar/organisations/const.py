"""Constants of organisations and their keys."""

from typing import Final

MAX_KEY_CHARACTERS: Final = 512
DIGEST_CHARACTERS: Final = 44
SCHEME: Final = "bearer"
# Time between the check of a key and the call at the sampler, and the drift
# of the clocks of store and gateway.
REVOKE_MARGIN_S: Final = 0.5
# A follower of the watch relay asks each 0.5 s, and its source's reply takes
# up to as long.
FOLLOW_DELAY_S: Final = 1.0
MIN_WATCH_WAIT_S: Final = 0.25
# A configuration is in force this long after the operator wrote it.
CONFIGURATION_APPLY_S: Final = 3.0
