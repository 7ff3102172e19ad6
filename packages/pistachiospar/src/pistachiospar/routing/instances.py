"""Data classes of upstream instances, as the platform lists them."""

from dataclasses import dataclass
from dataclasses import field

from ..adapters.http.client import Address


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """Describe one upstream instance.

    `started_ms` tells its lives apart; `versions` names the weights that it
    holds of each model.
    """

    name: str
    upstream: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    started_ms: int = 0
    versions: dict[str, int] = field(default_factory=dict)
