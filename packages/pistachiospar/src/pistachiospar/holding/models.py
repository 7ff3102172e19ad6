"""Data classes of holding."""

from dataclasses import dataclass

import msgspec

from .const import AWAKE_S


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
    key went, whatever became of the lease. `tried_at` is when the last
    renewal was sent, on the same clock.
    """

    pool: str
    key: str
    fence: int
    lease: int
    valid_until: float
    lost: bool = False
    tried_at: float = float("-inf")

    def is_awake(self, boot_now: float) -> bool:
        """Return whether the holder may start work.

        With the store away it may go on: nobody else can take over, and no
        end is accepted. After it stood still it may not, until it has heard
        what happened meanwhile.
        """
        if self.lost:
            return False
        recent = boot_now - self.tried_at < AWAKE_S
        return self.is_valid(boot_now) or recent

    def is_valid(self, boot_now: float) -> bool:
        """Return whether the lease is certainly still held."""
        return not self.lost and boot_now < self.valid_until
