"""Data classes of upstream instances, as the platform lists them."""

from dataclasses import dataclass
from dataclasses import field

from ..adapters.http.client import Address


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """Describe one upstream instance.

    `accepted_orders` counts the orders that this life of it accepted;
    `versions` names the weights that it holds of each model.
    """

    name: str
    upstream: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    accepted_orders: int
    started_ms: int = 0
    versions: dict[str, int] = field(default_factory=dict)
