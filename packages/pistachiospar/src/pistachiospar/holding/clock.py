"""Support a clock that counts the time an instance is suspended."""

import time


def read_boot_time() -> float:
    """Return seconds since the machine started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
