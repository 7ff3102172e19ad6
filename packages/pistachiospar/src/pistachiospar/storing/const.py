"""Constants of the way to the key-value service."""

from typing import Final

# After a refused call the service is asked itself again this much later;
# meanwhile a peer calls for this gateway.
RELAY_S: Final = 2.0
# An answer of the service itself, or its silence, is known by then.
PROBE_S: Final = 1.5
# When peers fail too, the service is down for all: no more relayed calls
# for a while.
PAUSE_S: Final = 0.7
PEERS_TRIED: Final = 2
