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
