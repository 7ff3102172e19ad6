"""The gateways that may be followed, and those that failed recently."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from . import const
from ..helpers.backoff import Backoff
from ..pool_holders.models import HolderRecord
from .ranking import choose_sources
from .ranking import order_sources


@dataclass(slots=True)
class SourceHealth:
    """Failures in a row of one gateway, avoided until a time in seconds.

    `is_silent` tells one that didn't reply from one that replied that it
    lacks contact to the store.
    """

    failures: int = 0
    avoided_until: float = 0.0
    is_silent: bool = False


class SourceList:
    """Choose the source of one gateway among all gateways."""

    def __init__(self, own_name: str, rng: Random) -> None:
        """Start without failures; `rng` jitters the backoff."""
        self._own_name = own_name
        self._rng = rng
        self._backoff = Backoff(const.AVOID_INITIAL_S, const.AVOID_MAX_S)
        self._health: dict[str, SourceHealth] = {}

    def is_source(
        self, members: Mapping[str, HolderRecord], now: float
    ) -> bool:
        """Return whether this gateway has to watch the store itself."""
        return self._own_name in self._choose(members, now)

    def list_usable(
        self, members: Mapping[str, HolderRecord], now: float
    ) -> list[HolderRecord]:
        """Return the gateways that may be followed, the preferred first."""
        names = order_sources(self._own_name, self._choose(members, now))
        return [
            members[name]
            for name in names
            if name in members
            and name != self._own_name
            and not self._is_avoided(members[name], now)
        ]

    def record_success(self, source: HolderRecord) -> None:
        """Clear the failures of a source that replied."""
        self._health.pop(source.life, None)

    def record_failure(
        self, source: HolderRecord, is_silent: bool, now: float
    ) -> None:
        """Avoid a source; a silent one longer after each failure."""
        health = self._health.setdefault(source.life, SourceHealth())
        health.failures += 1
        health.is_silent = is_silent
        retry = health.failures - 1 if is_silent else 0
        delay_s = self._backoff.draw_delay_s(retry, self._rng)
        health.avoided_until = now + delay_s

    def _choose(
        self, members: Mapping[str, HolderRecord], now: float
    ) -> list[str]:
        """Return all sources, without the gateways that are silent."""
        silent = {
            name
            for name, record in members.items()
            if self._is_avoided(record, now)
            and self._health[record.life].is_silent
        }
        return choose_sources({self._own_name, *members}, silent)

    def _is_avoided(self, record: HolderRecord, now: float) -> bool:
        """Return whether a gateway failed recently."""
        health = self._health.get(record.life)
        return health is not None and now < health.avoided_until
