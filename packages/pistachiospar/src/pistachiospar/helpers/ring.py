"""Consistent hashing: neighbours that change little as names come or go."""

from bisect import bisect_left
from collections.abc import Iterable

from .rendezvous import compute_score

_RING_KEY = "ring"


class NameRing:
    """Names at fixed points of a ring; looking up a key is logarithmic."""

    def __init__(self, names: Iterable[str]) -> None:
        """Place the names."""
        points = sorted(
            (compute_score(_RING_KEY, name), name) for name in names
        )
        self._points = [point for point, _ in points]
        self._names = [name for _, name in points]

    def list_near(self, key: str, count: int, excluded: str) -> list[str]:
        """Return up to `count` names from a key's point on."""
        start = bisect_left(self._points, compute_score(_RING_KEY, key))
        found: list[str] = []
        for offset in range(min(count + 1, len(self._names))):
            name = self._names[(start + offset) % len(self._names)]
            if name != excluded and len(found) < count:
                found.append(name)
        return found
