"""Constants of the instances' limits."""

from typing import Final

MAX_KNOWN_LIMITS: Final = 4096
# Steps bring their calls together; a limit counts calls a second.
BURST_S: Final = 1.0
# An instance that takes no calls gets one in ten seconds, whose response
# tells whether that has ended.
MIN_CALLS_PER_S: Final = 0.1
# Calls leave a permit to more urgent ones that came within this time.
URGENT_MEMORY_S: Final = 2.0
# Permits are added up in floating point.
ROUNDING_TOLERANCE: Final = 1e-6

# A keeper that doesn't reply within this time is passed over for a while,
# twice as long after each failure in a row.
PERMIT_TIMEOUT_S: Final = 0.15
KEEPER_RETRY_INITIAL_S: Final = 1.0
KEEPER_RETRY_MAX_S: Final = 16.0
MAX_KEEPERS_ASKED: Final = 3
# A gateway asks again this long after a refusal at the earliest, and later
# where many gateways ask the same keeper.
MIN_REFUSAL_S: Final = 0.02
REFUSAL_PER_GATEWAY_S: Final = 0.001
MAX_QUEUED_NOTICES: Final = 256
