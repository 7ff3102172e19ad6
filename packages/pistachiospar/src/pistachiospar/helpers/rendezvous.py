"""Rendezvous hashing: rankings that change little when names come or go."""

from collections.abc import Iterable

import xxhash


def compute_score(key: str, name: str) -> int:
    """Return the weight of a name for a key; the highest ranks first."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in their order of preference for a key."""
    return sorted(names, key=lambda name: (-compute_score(key, name), name))
