"""Choice of the gateways that watch the store for the others."""

from collections.abc import Collection
import math

from ..helpers.rendezvous import rank_names
from .const import GATEWAYS_PER_SOURCE
from .const import MIN_SOURCES

RANKING_KEY = "watch-relay"


def count_sources(gateways: int) -> int:
    """Return how many of a number of gateways watch the store."""
    return max(MIN_SOURCES, math.ceil(gateways / GATEWAYS_PER_SOURCE))


def choose_sources(
    gateways: Collection[str], avoided: Collection[str]
) -> list[str]:
    """Return the gateways that watch the store, the same on all gateways.

    Those that were found unavailable, `avoided`, are replaced by the next
    ones in rank.
    """
    ranked = rank_names(RANKING_KEY, gateways)
    usable = [name for name in ranked if name not in avoided]
    return usable[: count_sources(len(gateways))]


def order_sources(follower: str, sources: Collection[str]) -> list[str]:
    """Return the order in which a follower tries the sources.

    It differs between followers, so that the sources share them.
    """
    return rank_names(follower, sources)
