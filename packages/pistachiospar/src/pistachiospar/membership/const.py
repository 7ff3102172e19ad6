"""Constants of membership."""

from typing import Final

POLL_S: Final = 1.0
POLL_JITTER: Final = 0.2

ENTRIES_PER_INSTANCE: Final = 4
SMALL_UPSTREAM: Final = 16

BEAT_S: Final = 2.0
BEAT_MOST_S: Final = 10.0
BEATS_PER_S: Final = 12.0
QUIET_BEATS: Final = 10
BEAT_JITTER: Final = 0.1
RETRY_FIRST_S: Final = 0.2
RETRY_MOST_S: Final = 2.0
MISSED_BEATS: Final = 2
RESUBSET_PER_S: Final = 20.0

QUIET_S: Final = 1.5
SLOW_START_S: Final = 10.0
GONE_MEMORY_S: Final = 300.0
START_SLACK_S: Final = 10.0
PREFIX_LIVES: Final = "/pistachiospar/lives/"
PREFIX_DEPARTURES: Final = "/pistachiospar/departures/"
# One entry's note is enough; the others see that it stands.
DEPARTURE_JITTER_S: Final = 1.0
DEPARTURE_RETRY_S: Final = 0.5
LIFE_TTL_S: Final = 300
LIFE_TIMEOUT_S: Final = 0.5

EJECT_FAILURES: Final = 3
EJECT_FIRST_S: Final = 1.0
EJECT_MOST_S: Final = 30.0
EJECT_SLOW_FACTOR: Final = 4.0
EJECT_MIN_OBSERVED: Final = 5
EJECT_MAX_SHARE: Final = 0.5
LATENCY_SMOOTHING: Final = 0.3
