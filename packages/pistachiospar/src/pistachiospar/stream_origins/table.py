"""The origins of streams that a gateway knows."""

from collections import OrderedDict
from dataclasses import dataclass

from . import const
from .messages import StreamOrigin


@dataclass(frozen=True, slots=True)
class KnownOrigin:
    """An origin and when it was recorded, in monotonic seconds."""

    origin: StreamOrigin
    recorded_at: float


class OriginTable:
    """Origins by the id of their stream, the newest last."""

    def __init__(self) -> None:
        self._known: OrderedDict[str, KnownOrigin] = OrderedDict()

    def record(self, origin: StreamOrigin, now: float) -> None:
        """Record an origin; the oldest and expired ones are dropped."""
        self._known[origin.stream] = KnownOrigin(origin, now)
        self._known.move_to_end(origin.stream)
        while self._known:
            oldest = next(iter(self._known.values()))
            if len(self._known) <= const.MAX_ORIGINS and not _is_expired(
                oldest, now
            ):
                return
            self._known.popitem(last=False)

    def find(self, stream: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream; None when it is not known."""
        known = self._known.get(stream)
        if known is None or _is_expired(known, now):
            return None
        return known.origin

    def list_upstreams(self) -> set[str]:
        """Return the upstreams whose streams are known."""
        return {known.origin.upstream for known in self._known.values()}

    def list_origins(self, upstream: str, now: float) -> list[StreamOrigin]:
        """Return the origins of an upstream's streams."""
        return [
            known.origin
            for known in self._known.values()
            if known.origin.upstream == upstream
            and not _is_expired(known, now)
        ]


def _is_expired(known: KnownOrigin, now: float) -> bool:
    """Return whether no caller resumes a stream of that age."""
    return now - known.recorded_at > const.ORIGIN_MEMORY_S
