"""Key prefixes and timings of holders' leases."""

from typing import Final

# One watch covers the holders of pools, the addresses of gateways and crashes.
PREFIX_GATEWAYS: Final = "ps/g/"
PREFIX_HOLDERS: Final = "ps/g/holder/"
PREFIX_MEMBERS: Final = "ps/g/member/"
# The last holder of each pool, which outlives its lease. Nobody watches it.
PREFIX_LAST_HOLDERS: Final = "ps/l/"
# How long a gateway's address outlives it.
MEMBER_LEASE_S: Final = 300.0
# A lease is renewed three times within its length, so that one lost call
# does not end it.
RENEW_INTERVAL_SHARE: Final = 0.3
# The holder stops sending orders this long before its lease may end.
LEASE_MARGIN_S: Final = 0.3
# Items of an ended submission must not start later than 3 s after its end.
RENEWAL_MAX_AGE_S: Final = 3.0
# Gateways that start together publish their addresses close together.
BATCH_DELAY_S: Final = 0.1
# Holders change seldom, and the other gateways see a change too.
WATCH_POLL_TIMEOUT_S: Final = 9.0
# Candidates try one after another, so that a vacancy costs one call in all
# instead of one per gateway.
CANDIDACY_DELAY_S: Final = 0.3
CANDIDACY_JITTER_S: Final = 0.15
# After an outage of the store the last holder acquires its pool again before
# the others try: it has the work in memory.
LAST_HOLDER_DELAY_S: Final = 0.35
OUTAGE_RECENT_S: Final = 1.5
# A gateway with at least this much CPU waits only for the jitter.
NO_DELAY_CPU_CAPACITY: Final = 2.0
RETRY_DELAY_S: Final = 0.3
# A renewal that failed is repeated after this long.
RENEW_RETRY_DELAY_S: Final = 0.25
RELEASE_TIMEOUT_S: Final = 0.6
