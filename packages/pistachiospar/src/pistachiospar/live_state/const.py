"""Key prefixes, lease times and retry delays of the live state."""

from typing import Final

from ..bundle.const import PREFIX_LIVE

PREFIX_ENTRIES: Final = PREFIX_LIVE + "entries/"
PREFIX_WEIGHTS: Final = PREFIX_LIVE + "weights/"

LEASE_TTL_S: Final = 15
LEASE_RENEW_INTERVAL_S: Final = 5.0
LEASE_MARGIN_S: Final = 3.0
WATCH_CHECK_INTERVAL_S: Final = 2.0
MAX_WATCH_CHECK_GRACE_S: Final = 0.3
RETRY_INITIAL_S: Final = 0.25
RETRY_MAX_S: Final = 2.0
JITTER_SHARE: Final = 0.2
