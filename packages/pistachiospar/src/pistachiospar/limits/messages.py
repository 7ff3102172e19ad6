"""Messages between a gateway and the keeper of an instance's permits."""

import msgspec

from ..adapters.http.address import Address
from ..routing.instances import InstanceLifetime


class PermitCall(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a permit to send one call to an instance.

    `limit_per_s` is the newest limit known to the asking gateway, observed
    `age_s` ago; None tells that it has ended and asks for nothing. `urgency`
    0 comes first; `max_wait_s` is how long the call may wait. `share` is the
    part of the limit that this keeper may give away.
    """

    name: str
    started_ms: int
    host: str
    port: int
    limit_per_s: float | None
    age_s: float
    urgency: int
    max_wait_s: float
    share: float

    def get_lifetime(self) -> InstanceLifetime:
        """Return the instance's lifetime."""
        address = Address(self.host, self.port)
        return InstanceLifetime(self.name, self.started_ms, address)


class PermitReply(msgspec.Struct, frozen=True, array_like=True):
    """A permit to send a call after `wait_s`, or a refusal.

    After a refusal `wait_s` is when to ask again. `limit_per_s` is the newest
    limit that the keeper knows of, observed `age_s` ago, None once ended.
    """

    granted: bool
    wait_s: float
    limit_per_s: float | None
    age_s: float
