"""Choice of the gateways that store copies of a stream's origin."""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

from . import const
from ..helpers.ring import NameRing


class GatewayRing:
    """The gateways to ask for a stream, and to give copies of its origin.

    All gateways compute the same ones from the same members.
    """

    def __init__(self, own_name: str) -> None:
        """Start without other gateways."""
        self._own_name = own_name
        self._names: frozenset[str] = frozenset()
        self._ring = NameRing(())

    def list_near(self, stream: str, names: Collection[str]) -> list[str]:
        """Return up to MAX_ASKED others of the gateways, likely ones first."""
        if self._names != frozenset(names):
            self._names = frozenset(names)
            self._ring = NameRing(self._names)
        return self._ring.list_near(stream, const.MAX_ASKED, self._own_name)


def choose_keepers(
    near: Sequence[str],
    zones: Mapping[str, str],
    own_zone: str,
    avoided: Collection[str] = (),
) -> list[str]:
    """Return the gateways that get a copy of an origin, among those near.

    `zones` has the availability zone of each gateway. Each copy goes to the
    first one in a zone without a copy, if there is one. Those in `avoided`
    come last.
    """
    ranking = sorted(near, key=lambda name: name in avoided)
    chosen: list[str] = []
    used_zones = {own_zone}
    for _ in range(min(const.COPIES, len(ranking))):
        left = [name for name in ranking if name not in chosen]
        in_new_zone = [n for n in left if zones[n] not in used_zones]
        keeper = (in_new_zone or left)[0]
        chosen.append(keeper)
        used_zones.add(zones[keeper])
    return chosen
