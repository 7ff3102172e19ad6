"""Constants of access to the key-value service."""

from typing import Final

# After a refused call, calls go through a peer for this long before the
# service itself is called again.
DIRECT_RETRY_DELAY_S: Final = 2.0
# While one call probes the service, other calls go through a peer for this
# long; by then the probe has a response or has failed.
PROBE_TIMEOUT_S: Final = 1.5
# When peers fail too, the service is down for all of them; no calls are
# relayed for this long.
RELAY_PAUSE_S: Final = 0.7
MAX_PEERS_TRIED: Final = 2
