"""Constants of the directory."""

from typing import Final

RETRY_FIRST_S: Final = 0.05
RETRY_MOST_S: Final = 0.5
# Changes that come close together are fetched by one call; a change must be
# known well within the 2 s that the platform allows.
GATHER_S: Final = 0.8
# An instance whose entry lapsed while the key-value service was away is back
# this long after the service's return, if it lives (the users' page: 2 s).
RETURN_GRACE_S: Final = 2.3
# The key-value service counts as away after this long without an answer:
# two missed waits of a watch.
AWAY_S: Final = 4.5
