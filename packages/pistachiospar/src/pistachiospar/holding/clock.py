"""Support the clocks that a gateway reads."""

from collections.abc import Callable
from dataclasses import dataclass
import time


def read_boot_time() -> float:
    """Return seconds since the machine started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class Clocks:
    """Hold the time of day and the clock that counts suspensions."""

    read_wall_s: Callable[[], float] = time.time
    read_boot_s: Callable[[], float] = read_boot_time
