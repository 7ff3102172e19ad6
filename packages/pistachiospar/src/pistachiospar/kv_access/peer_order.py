"""Order in which peers are asked to execute a call.

Pattern: a part of the gateways is cut off together, so many peers of a
gateway that is cut off don't reach the service either, and each that is asked
costs a timeout. The peer that executed the last call is asked first, those
that failed come last.
"""

from collections.abc import Iterable
from random import Random


class PeerOrder:
    """What is known of the peers from earlier calls, by address."""

    def __init__(self, rng: Random) -> None:
        """Start without knowledge; `rng` orders the unknown peers."""
        self._rng = rng
        self._last_used = ""
        self._failed_at: dict[str, float] = {}

    def record_success(self, address: str) -> None:
        """Record that a peer executed a call."""
        self._last_used = address
        self._failed_at.pop(address, None)

    def record_failure(self, address: str, now: float) -> None:
        """Record that a peer did not reply or did not reach the service."""
        if self._last_used == address:
            self._last_used = ""
        self._failed_at[address] = now

    def sort(self, addresses: Iterable[str]) -> list[str]:
        """Return the peers, the most promising first.

        Among those that failed, the one whose failure is the longest ago
        comes first.
        """
        found = list(addresses)
        for address in self._failed_at.keys() - set(found):
            del self._failed_at[address]
        self._rng.shuffle(found)
        found.sort(
            key=lambda address: (
                address != self._last_used,
                self._failed_at.get(address, float("-inf")),
            )
        )
        return found
