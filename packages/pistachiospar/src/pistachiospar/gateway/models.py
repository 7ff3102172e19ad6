"""Data classes of the gateway."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GatewayIdentity:
    """Say who a gateway is; `peer` is its address for other gateways.

    `lease_s` is how long a role outlives its holder, in seconds,
    `value_bytes` the largest value that the key-value service keeps,
    `keep_results_s` how long an ended submission can still be read,
    `processor` how much of a core it has.
    """

    name: str
    zone: str
    peer: str
    lease_s: float
    value_bytes: int
    keep_results_s: float
    processor: float = 1.0
