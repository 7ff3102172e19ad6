"""Time of day that ignores steps that are taken back soon."""

from collections.abc import Callable
from collections import deque

from . import const


class SteadyClock:
    """Unix time from the boot clock and the median of their differences.

    Clocks of machines step by seconds for a while; each call in such a time
    would be counted in a wrong window.
    """

    def __init__(
        self,
        read_wall_s: Callable[[], float],
        read_boot_s: Callable[[], float],
    ) -> None:
        """Start without a comparison of the clocks."""
        self._read_wall_s = read_wall_s
        self._read_boot_s = read_boot_s
        self._offsets: deque[float] = deque(maxlen=const.CLOCK_SAMPLES)
        self._offset_s = 0.0

    def sample(self) -> None:
        """Compare the clocks; to be called each second."""
        self._offsets.append(self._read_wall_s() - self._read_boot_s())
        self._offset_s = sorted(self._offsets)[len(self._offsets) // 2]

    def read_s(self) -> float:
        """Return Unix time."""
        if not self._offsets:
            self.sample()
        return self._read_boot_s() + self._offset_s
