"""Data classes of the numbers of instances."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class ScaleRule:
    """Limits on the instances of an upstream in each zone.

    A new instance serves `boot_s` after it was ordered.
    """

    minimum: int
    maximum: int
    boot_s: float


@dataclass(frozen=True, slots=True)
class ZoneDemand:
    """The slots that a zone's work needs, by the report that says so.

    A report is what one instance or gateway says of the work that runs or
    waits there. `slots_per_instance` is that of the zone's instances.
    """

    reports: tuple[float, ...]
    slots_per_instance: float


class Direction(Enum):
    """The direction of the last change."""

    NONE = 0
    UP = 1
    DOWN = -1


@dataclass(frozen=True, slots=True)
class ZoneTarget:
    """The number of instances and its last change, in seconds.

    `reason` says why it is what it is.
    """

    number: int
    direction: Direction = Direction.NONE
    changed_at: float = float("-inf")
    reason: str = ""
