"""Intervals, limits and key prefixes of membership."""

from typing import Final

POLL_INTERVAL_S: Final = 1.0
POLL_JITTER_SHARE: Final = 0.2

ENTRIES_PER_INSTANCE: Final = 4
SMALL_UPSTREAM_INSTANCES: Final = 16

HEARTBEAT_INTERVAL_S: Final = 2.0
HEARTBEAT_MAX_INTERVAL_S: Final = 10.0
MAX_HEARTBEATS_PER_S: Final = 12.0
MAX_IDLE_QUERIES_PER_POLL: Final = 10
HEARTBEAT_JITTER_SHARE: Final = 0.1
RETRY_INITIAL_S: Final = 0.2
RETRY_MAX_S: Final = 2.0
SILENT_AFTER_MISSED_HEARTBEATS: Final = 2
MAX_LINKS_OPENED_PER_S: Final = 20.0

ATTEMPT_IDLE_TIMEOUT_S: Final = 1.5
SLOW_START_DURATION_S: Final = 10.0
DEPARTURE_TTL_S: Final = 300.0
START_TOLERANCE_S: Final = 10.0
PREFIX_INCARNATIONS: Final = "/pistachiospar/lives/"
PREFIX_DEPARTURES: Final = "/pistachiospar/departures/"
# Spreads the writes of the entries that saw the same instance leave: the first
# record is enough, and later writers find it.
MAX_DEPARTURE_WRITE_DELAY_S: Final = 1.0
DEPARTURE_RETRY_DELAY_S: Final = 0.5
INCARNATION_TTL_S: Final = 300
INCARNATION_TIMEOUT_S: Final = 0.5

EJECT_AFTER_FAILURES: Final = 3
EJECT_INITIAL_S: Final = 1.0
EJECT_MAX_S: Final = 30.0
EJECT_SLOW_FACTOR: Final = 4.0
EJECT_MIN_RESPONSES: Final = 5
EJECT_MAX_SHARE: Final = 0.5
LATENCY_SMOOTHING_FACTOR: Final = 0.3
