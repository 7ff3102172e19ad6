"""Limits and timings of weight loads."""

from typing import Final

# A load takes 0.9 s, and longer while more than two run at once.
MIN_CONCURRENT_LOADS: Final = 2
CONCURRENT_LOADS_SHARE: Final = 0.25
LOAD_TIMEOUT_S: Final = 6.0
REPORT_INITIAL_DELAY_S: Final = 0.75
REPORT_INTERVAL_S: Final = 0.15
ORDER_RETRY_DELAY_S: Final = 0.2
FIRST_VERSION: Final = 1
# Trainers request a step every 4 s and train for 0.5 to 1 s: a backlog longer
# than this delays the next step.
MAX_BACKLOG_S: Final = 1.0
# An item has 13 to 25 events of 35 ms each.
INITIAL_ITEM_S: Final = 0.8
INITIAL_ITEMS: Final = 24.0
DEMAND_EWMA_WEIGHT: Final = 0.2
