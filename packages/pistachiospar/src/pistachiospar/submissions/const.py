"""Constants of submissions."""

from typing import Final

from ..const import MEBIBYTE

PREFIX_SUBMISSIONS: Final = "ps/s/"
PREFIX_PARTS: Final = "ps/b/"
PREFIX_RESULTS: Final = "ps/r/"
PREFIX_PROGRESS: Final = "ps/p/"
SUFFIX_END: Final = "/end"
KEY_BYTES: Final = 200
# Parts of a submission's record; a transaction takes 32 rows.
MOST_PARTS: Final = 24

# Results that are whole wait this long for others of their groups; groups
# earn when they are whole, so most writes carry whole groups.
LINGER_S: Final = 0.9
GATHER_S: Final = 0.1
COMMIT_ROWS: Final = 12
COMMIT_BYTES: Final = MEBIBYTE // 2
COMMIT_RETRY_S: Final = 0.15
# What a lost holder's successor has to generate again, at most.
CHECKPOINT_S: Final = 1.0

# A sampler makes an event each 35 to 150 ms; one that says nothing for so
# long has lost the stream, or its place.
STALL_S: Final = 1.2
FIRST_EVENT_S: Final = 1.2
# Weight of the newest gap between events in an instance's mean.
PACE_WEIGHT: Final = 0.05
# An instance not heard for so long counts as fast as the others again.
PACE_AGE_S: Final = 3.0
PACE_FIRST_S: Final = 0.04
# A stream moves to a free place that is this much faster; what it has goes
# along, and reading it again takes some ms.
MOVE_RATIO: Final = 1.7
MOVE_AFTER_S: Final = 0.4
ITEM_TIME_S: Final = 30.0
# Changes that come together are looked at once.
# Records that a new holder reads at the same time.
LOADS_AT_ONCE: Final = 8
LOOK_PAUSE_S: Final = 0.005
RETRY_S: Final = 0.1
SCORE_TIME_S: Final = 1.5
# Scoring calls leave room for callers at the instances that take both.
SCORES_LEAST: Final = 4
SCORES_SHARE: Final = 0.7

PAGE_BYTES: Final = MEBIBYTE * 9 // 10
MOST_WAIT_S: Final = 1.0
CACHED_SUBMISSIONS: Final = 256
SWEEP_S: Final = 20.0
# A transaction takes 32 rows.
SWEEP_ROWS: Final = 30
# Clocks of instances differ by some seconds.
CLOCK_SLACK_S: Final = 6.0
