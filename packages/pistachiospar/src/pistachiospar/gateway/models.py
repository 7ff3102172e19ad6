"""Data classes of the gateway."""

from dataclasses import dataclass
from dataclasses import field

from ..const import MEBIBYTE
from ..duties.models import DutySettings
from ..organisations.models import KeyRules


@dataclass(frozen=True, slots=True)
class GatewayIdentity:
    """A gateway's name, zone, address and limits.

    `peer` is its address for other gateways, `lease_s` how long a role
    outlives its holder, `value_bytes` the largest value that the key-value
    service stores, `result_retention_s` how long an ended submission can
    still be read, `cpu_capacity` how much of a core it has. `is_first_start`
    is set when all gateways start together for the first time. `key_rules`
    say by how old a configuration keys are checked. `duties` is None when
    there are none. `max_page_bytes` bounds the results that are being sent.
    """

    name: str
    zone: str
    peer: str
    lease_s: float
    value_bytes: int
    result_retention_s: float
    cpu_capacity: float = 1.0
    is_first_start: bool = False
    key_rules: KeyRules = field(default_factory=KeyRules)
    duties: DutySettings | None = None
    max_page_bytes: int = 64 * MEBIBYTE
