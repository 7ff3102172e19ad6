"""Sizes and timings of the watch relay."""

from typing import Final

# Up to this many gateways all watch the store: they save little by relaying.
MIN_SOURCES: Final = 6
# A source answers each follower about twice a second.
GATEWAYS_PER_SOURCE: Final = 16

# A follower asks again after this long without a change, so that it notices
# a source that was suspended.
FOLLOW_WAIT_S: Final = 0.5
# A source that didn't know its role or its items yet may reply this late.
FIRST_REPLY_WAIT_S: Final = 0.25
REPLY_MARGIN_S: Final = 0.35
# A source proves its contact to the store by renewals of its lease, which
# cost a tenth of other calls, while it has followers.
CONTACT_INTERVAL_S: Final = 0.27
# Renewals that wait for a response of a slow store.
MAX_CONTACT_CALLS: Final = 4
# With an older proof a source may lack changes. With the 0.8 s for which a
# source collects changes of instances, and the time to find another source,
# a change is known within 2 s.
MAX_CONTACT_AGE_S: Final = 0.8
LISTING_TIMEOUT_S: Final = 1.0
# A source without calls for this long has no followers.
FOLLOWER_TIMEOUT_S: Final = 3.0

# Sources that are asked at once when another is needed; the store is called
# when none of them replies.
MAX_SOURCES_ASKED: Final = 3
AVOID_INITIAL_S: Final = 1.0
AVOID_MAX_S: Final = 10.0
# A gateway without a source looks for one this often.
REJOIN_INTERVAL_S: Final = 0.5
# A gateway whose calls the store refuses follows another one for this long.
REFUSED_PAUSE_S: Final = 3.0
# Calls of one gateway to a store that is unavailable, while others try too.
STORE_RETRY_INITIAL_S: Final = 0.3
STORE_RETRY_MAX_S: Final = 1.0
# Gateways that start together for the first time publish their addresses
# within this time.
FIRST_START_DELAY_S: Final = 0.6
