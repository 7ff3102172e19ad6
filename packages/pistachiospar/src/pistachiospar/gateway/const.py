"""Constants of the gateway."""

from typing import Final

SETTINGS_POLL_S: Final = 1.0
# Before connections close, the balancer has missed two of its questions,
# which come once a second.
DRAIN_NOTICE_S: Final = 2.5
DRAIN_MARGIN_S: Final = 1.0
HANDOVER_S: Final = 1.5
RETRY_AFTER_S: Final = 0.2
# At this time before the caller's limit the last answer goes out.
LIMIT_MARGIN_S: Final = 0.03
POOL_WATCH_S: Final = 1.0
# Files, listeners, the store and peers; half of the rest is for callers, the
# other half for instances.
OWN_DESCRIPTORS: Final = 300
# Bodies that are being read, of the memory that the settings allow.
BUFFER_SHARE: Final = 0.3
GC_THRESHOLD: Final = 50_000
# A gateway that starts knows its configuration within some 10 ms.
STARTING_S: Final = 0.4
# A submission waits so long for a store that is away: its results are due
# in 7.5 s, and a caller that is refused comes again once.
PATIENCE_S: Final = 4.5
PATIENCE_SHARE: Final = 0.4
END_PATIENCE_S: Final = 2.0
STORE_RETRY_S: Final = 0.15
# Health, state and metrics, on each instance; deploy/system.toml names it.
ADMIN_PORT: Final = 9464
LIFE_BYTES: Final = 8
