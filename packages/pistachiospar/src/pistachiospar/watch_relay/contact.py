"""Proof that the store responded recently."""

from collections.abc import Callable

import trio

from . import const


class StoreContact:
    """When the store certainly responded, on the clock since boot.

    That clock counts suspensions: a process that was suspended must not take
    its last contact for a recent one.
    """

    def __init__(self, read_boot_s: Callable[[], float]) -> None:
        """Start without any contact."""
        self._read_boot_s = read_boot_s
        self._last_at = float("-inf")
        self.proven = trio.Event()

    def record(self, at: float) -> None:
        """Record a contact; `at` is when the call was sent, since boot."""
        self._last_at = max(self._last_at, at)
        self.proven.set()
        self.proven = trio.Event()

    def compute_age_s(self) -> float:
        """Return the seconds since the last contact, infinite without."""
        return self._read_boot_s() - self._last_at

    def is_recent(self) -> bool:
        """Return whether changes since the contact may be neglected."""
        return self.compute_age_s() < const.MAX_CONTACT_AGE_S
