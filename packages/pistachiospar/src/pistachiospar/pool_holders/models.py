"""Data classes of holders and roles."""

from dataclasses import dataclass

import msgspec

from .const import RENEWAL_MAX_AGE_S


class HolderRecord(msgspec.Struct, frozen=True):
    """A gateway and its address for peers, as written under a key.

    `life` is the incarnation: unique to one start of the process. `zone` is
    empty in records of builds that don't write it.
    """

    gateway: str
    peer: str
    life: str
    zone: str = ""


@dataclass(slots=True)
class Role:
    """Proof that this process holds a pool.

    `fence` is the revision that wrote the holder's key and serves as fencing
    token. `valid_until` and `renewal_sent_at`, the time of the last attempt
    to renew, are on the boot clock, in seconds. `lost` is set when the key
    was deleted, whatever the state of the lease, and when the lease expired
    or was released. `superseded` is set once another gateway may have held
    the pool since: what this process knows of it may be out of date.
    """

    pool: str
    key: str
    fence: int
    lease: int
    valid_until: float
    lost: bool = False
    renewal_sent_at: float = float("-inf")
    superseded: bool = False

    def may_start_work(self, boot_now: float) -> bool:
        """Return whether the holder may start work.

        During an outage of the store it may continue: no other gateway can
        take over, and no end of a submission is accepted. After a pause of
        the process it may not, until it has learned what happened meanwhile.
        """
        if self.lost:
            return False
        renewed_recently = boot_now - self.renewal_sent_at < RENEWAL_MAX_AGE_S
        return self.is_valid(boot_now) or renewed_recently

    def is_valid(self, boot_now: float) -> bool:
        """Return whether the lease is certainly still held."""
        return not self.lost and boot_now < self.valid_until
