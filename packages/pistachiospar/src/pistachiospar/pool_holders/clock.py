"""Clocks that a gateway reads."""

from collections.abc import Callable
from dataclasses import dataclass
import time


def read_boot_time() -> float:
    """Return the seconds since boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class Clocks:
    """Wall clock and boot clock, replaceable in tests."""

    read_wall_s: Callable[[], float] = time.time
    read_boot_s: Callable[[], float] = read_boot_time
