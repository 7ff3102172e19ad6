"""Support rendezvous hashing: a ranking that moves little on change."""

from collections.abc import Iterable

import xxhash


def score(key: str, name: str) -> int:
    """Return the weight of a name for a key; the highest wins."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names, best first, for a key."""
    return sorted(names, key=lambda name: (-score(key, name), name))
