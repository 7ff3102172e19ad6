"""Data classes of duties."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from ..adapters.http.address import Address
from . import const


@dataclass(frozen=True, slots=True)
class DutySettings:
    """Which duties there are, and their bounds; times are in seconds.

    `calls_per_s` limits the calls of all gateways together. Counts of a
    window of `window_s` are due `report_due_s` after its end.
    """

    address: Address
    names: tuple[str, ...]
    calls_per_s: float = const.DEFAULT_CALLS_PER_S
    window_s: float = 5.0
    report_due_s: float = 10.0


class DutyOutcome(Enum):
    """What is known of a call: FAILED ones may still be carried out.

    FENCED: not carried out, since a higher fence was seen. LIMITED: not
    carried out, since there were too many calls.
    """

    DONE = "done"
    FENCED = "fenced"
    LIMITED = "limited"
    FAILED = "failed"


class DutyTerm(msgspec.Struct, frozen=True):
    """The last holder of a duty that may have made a call."""

    gateway: str
    life: str
    fence: int


def make_duty_pool(duty: str) -> str:
    """Return the name under which a duty is held like a pool."""
    return const.PREFIX_DUTY + duty


def is_duty(pool: str) -> bool:
    """Return whether a name is a duty's and not a pool's."""
    return pool.startswith(const.PREFIX_DUTY)
