"""Keys, sizes and timings of usage reports."""

from typing import Final

PREFIX_USAGE: Final = "ps/u/"
# The report of a window, written once.
PREFIX_WINDOWS: Final = "ps/u/w/"
# Counts of open windows, in parts by fence and number.
PREFIX_PARTS: Final = "ps/u/c/"
KEY_PROGRESS: Final = "ps/u/progress"
# How often a gateway sends new counts and its holder stores them.
SEND_INTERVAL_S: Final = 1.0
SEND_TIMEOUT_S: Final = 0.8
# A call that got no response for this long is taken to run.
MAX_UNDECIDED_S: Final = 3.0
# A window is fixed after this share of the time until its report is due: 7 s
# of 10 leave room for two further tries of a call without a response.
FIX_SHARE: Final = 0.7
# A window that is complete is fixed after this share. Gateways that have just
# started aren't listed by then otherwise.
FIX_COMPLETE_SHARE: Final = 0.3
# A new holder fixes nothing before the gateways had time to send again.
COLLECT_S: Final = 2.5
# Counts of this many windows are kept to tell late counts from repeated ones.
KEPT_WINDOWS: Final = 12
# Parts of fixed windows are kept as long, for the next holder.
KEPT_PART_WINDOWS: Final = 3
# The store takes transactions of a dozen rows and half a megabyte.
MAX_WINDOWS_PER_WRITE: Final = 4
MAX_REMOVALS_PER_WRITE: Final = 6
MAX_ENTRIES_PER_PART: Final = 10_000
MAX_WRITE_BYTES: Final = 400_000
WRITE_RETRY_DELAY_S: Final = 0.3
REPORT_POLL_INTERVAL_S: Final = 0.25
# The clock of day is compared with the boot clock over this many seconds; a
# step that is taken back within half of it has no effect.
CLOCK_SAMPLES: Final = 41
# Counts of windows that begin later than this can't be right.
MAX_AHEAD_S: Final = 60.0
KEPT_LATE_COUNTS: Final = 50
FINISH_TIMEOUT_S: Final = 2.0
