"""Constants of access to the key-value service."""

from typing import Final

# After a refused call, calls go through a peer for this long before the
# service itself is called again by a renewal, or by another call if there
# are no renewals.
DIRECT_RETRY_DELAY_S: Final = 2.0
OTHER_RETRY_DELAY_S: Final = 6.0
# A renewal without a response for this long is also sent through a peer. A
# response takes 4 ms, and 0.4 s on the slowest days.
RENEWAL_HEDGE_DELAY_S: Final = 0.5
# When peers fail too, the service is down for all of them; no calls are
# relayed for this long.
RELAY_PAUSE_S: Final = 0.7
MAX_PEERS_TRIED: Final = 2
