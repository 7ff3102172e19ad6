"""Instances that announced in a response that they are leaving.

Pattern: an instance is emptied while the list still calls it ready, or while
this gateway has no contact to the list. Its own word counts at once, for as
long as it lives: a later lifetime under the same name is another instance.
"""

from collections import OrderedDict
from typing import Final

from ..routing.instances import InstanceLifetime
from ..routing.instances import ListedInstance

MAX_ANNOUNCEMENTS: Final = 4096


class LeavingAnnouncements:
    """The lifetimes that announced to leave, by the name of the instance."""

    def __init__(self) -> None:
        self._lifetimes: OrderedDict[str, InstanceLifetime] = OrderedDict()

    def record(self, instance: ListedInstance) -> bool:
        """Record an announcement; return whether it is new.

        Beyond MAX_ANNOUNCEMENTS the oldest is dropped.
        """
        if self.is_leaving(instance):
            return False
        self._lifetimes[instance.name] = instance.lifetime
        self._lifetimes.move_to_end(instance.name)
        while len(self._lifetimes) > MAX_ANNOUNCEMENTS:
            self._lifetimes.popitem(last=False)
        return True

    def is_leaving(self, instance: ListedInstance) -> bool:
        """Return whether this lifetime of an instance announced to leave."""
        known = self._lifetimes.get(instance.name)
        return known is not None and known == instance.lifetime

    def handle_removal(self, instance: ListedInstance) -> None:
        """Forget an unlisted instance without a start time.

        Nothing else would tell it from one that registers under its name.
        """
        if not instance.started_ms:
            self._lifetimes.pop(instance.name, None)
