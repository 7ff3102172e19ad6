"""Recent changes of a mirrored prefix, for the gateways that follow it."""

from collections import deque

import msgspec

from . import const
from ..ports.kv import KvEvent


class HistoryPosition(msgspec.Struct, frozen=True, array_like=True):
    """How far a follower has read.

    The follower has the same items as the history that is named `history`
    had after `number` changes; the name is empty when it may have others. It
    knows all changes up to `revision`, and none after `newest_revision`.
    """

    history: str = ""
    number: int = 0
    revision: int = 0
    newest_revision: int = 0


class HistoryPage(msgspec.Struct, frozen=True, array_like=True):
    """What a follower lacks after a position, and the position reached.

    `events` are changes, or all items if it is a snapshot.
    """

    position: HistoryPosition
    is_snapshot: bool
    events: list[KvEvent]


class PrefixHistory:
    """The items of a prefix and their last changes, in order."""

    def __init__(self, name: str, items: list[KvEvent], revision: int) -> None:
        """Start with the items listed at a revision; `name` is unique."""
        self.name = name
        self._items = {item.key: item for item in items}
        self._changes: deque[KvEvent] = deque()
        self._number = 0
        self._size_bytes = 0
        # Changes up to this revision may be missing from `_changes`.
        self._dropped_revision = 0
        self.record_listing(items, revision)

    def record_listing(self, items: list[KvEvent], revision: int) -> None:
        """Record that all items were listed at a revision.

        A key that came and went since the last change was missed. Items may
        be newer than the listing's revision.
        """
        self._dropped_revision = max(
            [
                self._dropped_revision,
                revision,
                *(item.revision for item in items),
            ]
        )

    def record(self, event: KvEvent) -> None:
        """Append one change and drop the oldest beyond the limits."""
        if event.value is None:
            self._items.pop(event.key, None)
        else:
            self._items[event.key] = event
        self._changes.append(event)
        self._number += 1
        self._size_bytes += len(event.value or b"")
        while len(self._changes) > const.MAX_HISTORY_CHANGES or (
            self._size_bytes > const.MAX_HISTORY_BYTES
            and len(self._changes) > 1
        ):
            dropped = self._changes.popleft()
            self._size_bytes -= len(dropped.value or b"")
            self._dropped_revision = max(
                self._dropped_revision, dropped.revision
            )

    def has_changes(self, position: HistoryPosition, revision: int) -> bool:
        """Return whether to tell a follower at a position more.

        All changes up to `revision` are in this history. A follower that
        knows newer ones has to wait until they arrive here too.
        """
        if position.history == self.name:
            return position.number != self._number
        return revision >= position.newest_revision

    def read(self, position: HistoryPosition, revision: int) -> HistoryPage:
        """Return what a follower at a position lacks.

        All changes up to `revision` are in this history. A follower of
        another history gets the changes since its revision if they are all
        still there, otherwise a snapshot.
        """
        reached = HistoryPosition(self.name, self._number, revision, revision)
        missing = self._number - position.number
        if position.history == self.name and (
            0 <= missing <= len(self._changes)
        ):
            start = len(self._changes) - missing
            events = list(self._changes)[start:]
            return HistoryPage(reached, False, events)
        if position.revision >= self._dropped_revision:
            events = [
                event
                for event in self._changes
                if event.revision > position.revision
            ]
            return HistoryPage(reached, False, events)
        return HistoryPage(reached, True, list(self._items.values()))
