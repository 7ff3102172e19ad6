"""Constants of the directory."""

from typing import Final

from ..const import MEBIBYTE

RETRY_INITIAL_S: Final = 0.05
RETRY_MAX_S: Final = 0.5
# Changes close together are fetched by one call; a change must be known well
# within the 2 s that the platform allows.
BATCH_DELAY_S: Final = 0.8
# An instance whose entry expired while the key-value service was unavailable
# registers again within this time of the service's return, if it is alive
# (2 s according to the users' page).
RETURN_GRACE_S: Final = 2.3
# The platform holds a gateway to its bounds again this long after an outage.
MAX_GRACE_S: Final = 3.0
# The key-value service counts as unavailable after this long without a
# response: two missed waits of a watch.
UNAVAILABLE_AFTER_S: Final = 4.5
# Changes that a history keeps for followers; one that lacks more than these
# gets a snapshot.
MAX_HISTORY_CHANGES: Final = 256
# A configuration with many organisations has up to 1 MB.
MAX_HISTORY_BYTES: Final = 4 * MEBIBYTE
