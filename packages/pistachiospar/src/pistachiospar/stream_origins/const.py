"""Constants of stream origins."""

from typing import Final

# Longer than any caller waits for a stream, over all of its requests.
ORIGIN_MEMORY_S: Final = 120.0
# At full size: 36 streams a second, each at three gateways.
MAX_ORIGINS: Final = 16_384
# Gateways that store a copy of an origin, besides the one that streams.
COPIES: Final = 2
MAX_ASKED: Final = 8
# An event is held back for a copy at most this long; a late event counts
# as a pause of its stream.
COPY_WAIT_S: Final = 0.05
PEER_TIMEOUT_S: Final = 0.25
# A peer that did not reply is passed over for copies.
PEER_AVOID_S: Final = 1.0
# A burst of origins is sent in several calls.
MAX_ORIGINS_PER_CALL: Final = 512
# Changes of instances within this time are looked at together.
INSTANCES_CHECK_INTERVAL_S: Final = 0.1

PREFIX_SOFTWARE: Final = "ps/g/software/"
# Clocks of machines differ by a few seconds.
RECORD_MEMORY_S: Final = ORIGIN_MEMORY_S + 6.0
# A new stream waits at most this long for its version to be recorded.
RECORD_WAIT_S: Final = 0.4
# A resumed stream without a record waits this long for the stored versions.
CONFIRM_TIMEOUT_S: Final = 0.25
RECORD_RETRY_DELAY_S: Final = 0.05
RECORD_CHECK_INTERVAL_S: Final = 10.0
