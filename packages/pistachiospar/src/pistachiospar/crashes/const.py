"""Constants of requests that crash instances."""

from typing import Final

from ..pool_holders.const import PREFIX_GATEWAYS

FINGERPRINT_BYTES: Final = 16
# The watch on the gateways' keys covers these too.
PREFIX_RECORDS: Final = PREFIX_GATEWAYS + "crash/"
PREFIX_CLEARED: Final = PREFIX_GATEWAYS + "cleared/"
PREFIX_TRIALS: Final = PREFIX_GATEWAYS + "trial/"

# Crashes are remembered for this long, also by the store.
MEMORY_S: Final = 600.0
# Records written within this time share a lease.
LEASE_SHARE_S: Final = 60.0
MAX_KNOWN_CRASHES: Final = 4096
MAX_RECORD_FINGERPRINTS: Final = 64
# Calls that were lost in one crash are written together.
COLLECT_DELAY_S: Final = 0.02
# Requests that were served after a crash are cleared together.
CLEAR_DELAY_S: Final = 0.3
MAX_QUEUED_WRITES: Final = 256
WRITE_RETRY_DELAY_S: Final = 0.3
MAX_WRITE_ATTEMPTS: Final = 60

# A request is suspended once it crashed this many instances.
MAX_CRASHES: Final = 3
# One call is not sent on after it crashed this many instances; its caller
# may send it again, which takes another one.
MAX_CRASHES_PER_CALL: Final = 1
# An interrupted stream has events to lose, so it is resumed once more.
MAX_CRASHES_PER_STREAM: Final = 2
# A suspended request may run once more, alone, this long after its last
# crash: it may be innocent, or what it hit may be mended.
TRIAL_DELAYS_S: Final = (10.0, 60.0)
