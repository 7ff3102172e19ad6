"""Constants of the gateway."""

from typing import Final

SETTINGS_POLL_INTERVAL_S: Final = 1.0
# By the time connections close, two of the load balancer's readiness checks
# have failed; it sends one a second.
DRAIN_NOTICE_S: Final = 2.5
DRAIN_MARGIN_S: Final = 1.0
# Calls are cut in the last sixth of the grace at the earliest.
DRAIN_MARGIN_SHARE: Final = 0.125
# The last answers are written within this time.
DRAIN_FINISH_S: Final = 0.2
# The last counts may be passed on up to this long before the grace ends.
EXIT_MARGIN_S: Final = 0.4
HANDOVER_TIMEOUT_S: Final = 1.5
# Releasing the roles after their state was stored takes at most this long.
RELEASE_MARGIN_S: Final = 0.7
RETRY_AFTER_MIN_S: Final = 0.2
RETRY_AFTER_MAX_S: Final = 2.0
# Where the time is known it may be longer; a caller that comes back sooner
# finds no room again.
RETRY_AFTER_MAX_KNOWN_S: Final = 10.0
RETRY_AFTER_OUTAGE_SHARE: Final = 0.4
RETRY_AFTER_JITTER: Final = 0.5
# The last response goes out this long before the caller's deadline.
DEADLINE_MARGIN_S: Final = 0.03
POOL_CHECK_INTERVAL_S: Final = 1.0
# Files, listeners, the key-value service and peers; half of the remaining
# descriptors is for callers, the other half for instances.
RESERVED_DESCRIPTORS: Final = 300
# Share of the memory limit in the settings for bodies that are being read.
BODY_BUFFER_SHARE: Final = 0.3
# Share for results that are being sent.
RESULT_PAGE_SHARE: Final = 0.15
GC_THRESHOLD: Final = 50_000
# A gateway knows its configuration within about 10 ms of its start.
STARTUP_TIMEOUT_S: Final = 0.4
# A submission waits this long for an unavailable store: its results are due
# in 7.5 s, and a caller that is refused tries again once.
ACCEPT_WAIT_LIMIT_S: Final = 4.5
ACCEPT_WAIT_SHARE: Final = 0.4
END_WAIT_LIMIT_S: Final = 2.0
STORE_RETRY_DELAY_S: Final = 0.15
# Health, state and metrics of each instance; also set in deploy/system.toml.
ADMIN_PORT: Final = 9464
# Loading the metrics exporter takes as long as the rest of a start.
ADMIN_START_DELAY_S: Final = 2.0
INCARNATION_BYTES: Final = 8
