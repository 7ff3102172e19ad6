"""Constants of organisations and their keys."""

from typing import Final

MAX_KEY_CHARACTERS: Final = 512
DIGEST_BYTES: Final = 32
SCHEME: Final = "bearer"
# Time between the check of a key and the call at the sampler, and the drift
# of the clocks of store and gateway.
REVOKE_MARGIN_S: Final = 0.5
# A configuration is in force this long after the operator wrote it.
CONFIGURATION_APPLY_S: Final = 3.0
