"""Key prefixes, limits and timings of submissions."""

from typing import Final

from ..const import MEBIBYTE

PREFIX_SUBMISSIONS: Final = "ps/s/"
PREFIX_PARTS: Final = "ps/b/"
PREFIX_RESULTS: Final = "ps/r/"
PREFIX_PROGRESS: Final = "ps/p/"
SUFFIX_END: Final = "/end"
SUFFIX_OWNER: Final = "/owner"
MAX_KEY_BYTES: Final = 200
# A submission's record is written in one transaction of at most 32 rows.
MAX_PARTS: Final = 24

# A finished result waits this long for the rest of its group. Trainers earn
# by complete groups, so most transactions should carry complete groups.
BATCH_DELAY_S: Final = 0.9
COALESCE_DELAY_S: Final = 0.1
# A transaction takes at most 32 rows: three a submission, and the role's.
MAX_COMMIT_SUBMISSIONS: Final = 10
MAX_COMMIT_BYTES: Final = MEBIBYTE // 2
COMMIT_RETRY_DELAY_S: Final = 0.15
# What a result takes besides its text, stored or in a page.
RESULT_OVERHEAD_BYTES: Final = 200
# Upper bounds of what a checkpoint adds to the text of an event or item.
EVENT_OVERHEAD_BYTES: Final = 5
ITEM_OVERHEAD_BYTES: Final = 200
# The successor of a lost holder generates at most this much again.
CHECKPOINT_INTERVAL_S: Final = 1.0
CHECKPOINT_MAX_TIME_SHARE: Final = 0.2

# A sampler sends an event every 35 to 150 ms. One that is silent for this
# long has lost the stream or the item's slot.
NEXT_EVENT_TIMEOUT_S: Final = 1.2
FIRST_EVENT_TIMEOUT_S: Final = 1.2
# Weight of the newest interval in an instance's moving average.
EVENT_INTERVAL_EWMA_WEIGHT: Final = 0.05
# An average without a new sample for this long is ignored: the instance
# counts as fast as the fastest one again.
EVENT_INTERVAL_MAX_AGE_S: Final = 3.0
DEFAULT_EVENT_INTERVAL_S: Final = 0.04
# An instance counts as slow when its event interval is this many times that
# of another one. A running stream moves from a slow instance to a free slot
# of a faster one; its events move along and are read again in a few ms.
SLOW_INSTANCE_RATIO: Final = 1.7
MIN_RUN_BEFORE_MOVE_S: Final = 0.4
# Mean absolute deviation of the logarithm of a text's length from its
# estimate, before any is known; the margin is this many of it.
INITIAL_LENGTH_SPREAD: Final = 0.4
LENGTH_MARGIN_SPREADS: Final = 2.0
# A report takes some 700 bytes and a gateway's control 6 KB/s at most.
MEMORY_REPORTS_PER_S: Final = 8
MEMORY_REPORT_INTERVAL_S: Final = 1.0
MEMORY_RETRY_INTERVAL_S: Final = 10.0
# Items for which a scheduling pass looks for memory in vain, before it leaves
# those after them to the next one.
MAX_MEMORY_MISSES: Final = 16
# What others use of the memory counts for this long.
MEMORY_REPORT_MAX_AGE_S: Final = 6.0
ITEM_TIMEOUT_S: Final = 30.0
# Submission records that a new holder reads concurrently.
MAX_CONCURRENT_LOADS: Final = 8
# Changes within this delay are handled by one scheduling pass.
SCHEDULE_DELAY_S: Final = 0.005
RETRY_DELAY_S: Final = 0.1
SCORE_TIMEOUT_S: Final = 1.5
# Scoring calls use only a share of the slots, since callers use the same
# instances.
# An item waits for this long at an instance that is at its limit.
ITEM_PERMIT_WAIT_S: Final = 0.5
MAX_SCORE_PAUSE_S: Final = 1.0
MIN_CONCURRENT_SCORES: Final = 4
SCORES_SLOT_SHARE: Final = 0.7

MAX_PAGE_BYTES: Final = MEBIBYTE * 9 // 10
MAX_LONG_POLL_S: Final = 1.0
MAX_CACHED_SUBMISSIONS: Final = 256
SWEEP_INTERVAL_S: Final = 20.0
# A transaction takes at most 32 rows.
MAX_SWEEP_ROWS: Final = 30
# Clocks of machines differ by a few seconds.
CLOCK_SKEW_MARGIN_S: Final = 6.0
