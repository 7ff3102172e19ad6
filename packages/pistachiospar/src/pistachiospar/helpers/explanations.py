"""Support `explain`: what was decided for recent requests, and why."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

MAX_REQUESTS: Final = 1024
MAX_NOTES: Final = 32


@dataclass(frozen=True, slots=True)
class Note:
    """Hold one decision: monotonic time in seconds, what and why."""

    time_s: float
    decision: str
    reason: str


class Explanations:
    """Keep the decisions of the most recent requests."""

    def __init__(self) -> None:
        """Begin empty."""
        self._notes: OrderedDict[str, list[Note]] = OrderedDict()

    def add(
        self, request_id: str, now: float, decision: str, reason: str
    ) -> None:
        """Add a decision on a request; the oldest request is forgotten."""
        notes = self._notes.get(request_id)
        if notes is None:
            notes = self._notes[request_id] = []
            if len(self._notes) > MAX_REQUESTS:
                self._notes.popitem(last=False)
        if len(notes) < MAX_NOTES:
            notes.append(Note(now, decision, reason))

    def find(self, request_id: str) -> list[Note]:
        """Return what is known of a request, oldest first."""
        return list(self._notes.get(request_id, ()))
