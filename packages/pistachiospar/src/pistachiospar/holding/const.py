"""Constants of the holder's lease."""

from typing import Final

# One watch tells the holders of pools and the addresses of gateways.
PREFIX_GATEWAYS: Final = "ps/g/"
PREFIX_HOLDERS: Final = "ps/g/holder/"
PREFIX_MEMBERS: Final = "ps/g/member/"
# An address outlives its gateway for so long.
MEMBER_S: Final = 300.0
# Renewed three times within its length, so that one lost call is no loss.
RENEW_SHARE: Final = 0.3
# The holder stops giving orders this much before the lease may end.
MARGIN_S: Final = 0.3
# Ended work starts nowhere later than 3 s after its end.
AWAKE_S: Final = 3.0
# Candidates wait in turn, so that a vacancy costs one call, not one each.
# Who holds what changes seldom, and other gateways see it too.
WATCH_WAIT_S: Final = 9.0
TURN_S: Final = 0.3
TURN_JITTER_S: Final = 0.15
STRONG_PROCESSOR: Final = 2.0
RETRY_S: Final = 0.3
GIVE_BACK_S: Final = 0.6
