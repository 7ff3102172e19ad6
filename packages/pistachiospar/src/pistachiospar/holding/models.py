"""Data classes of holding."""

from dataclasses import dataclass

import msgspec


class HolderRecord(msgspec.Struct, frozen=True):
    """Name the gateway that holds a pool, and its address for peers.

    `life` is unique to one start of its process.
    """

    gateway: str
    peer: str
    life: str


@dataclass(slots=True)
class Role:
    """Hold what proves that this process holds a pool.

    `fence` is the revision that wrote the holder's key; `valid_until` is
    on the clock that counts suspensions, in seconds. `lost` is set when the
    key went, whatever became of the lease.
    """

    pool: str
    key: str
    fence: int
    lease: int
    valid_until: float
    lost: bool = False

    def is_valid(self, boot_now: float) -> bool:
        """Return whether the lease is certainly still held."""
        return not self.lost and boot_now < self.valid_until
