"""Constants of versions."""

from typing import Final

# A load takes 0.9 s, longer while more than two load at once.
LOADS_AT_ONCE: Final = 2
LOADS_SHARE: Final = 0.25
LOAD_LIMIT_S: Final = 6.0
REPORT_FIRST_S: Final = 0.75
REPORT_S: Final = 0.15
ORDER_RETRY_S: Final = 0.2
FIRST_VERSION: Final = 1
# A step is asked each 4 s and trained for 0.5 to 1 s: work that waits this
# long for a place delays the next step.
BACKLOG_S: Final = 1.0
# An item takes 13 to 25 events of 35 ms.
FIRST_ITEM_S: Final = 0.8
FIRST_ITEMS: Final = 24.0
DEMAND_WEIGHT: Final = 0.2
