"""Decisions on recent requests and their reasons, for `explain`."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

MAX_EXPLAINED_REQUESTS: Final = 1024
MAX_DECISIONS_PER_REQUEST: Final = 32


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision on a request; `time_s` is monotonic."""

    time_s: float
    decision: str
    reason: str


class Explanations:
    """A bounded log of the decisions on the most recent requests."""

    def __init__(self) -> None:
        """Start with no requests."""
        self._decisions: OrderedDict[str, list[Decision]] = OrderedDict()

    def record_decision(
        self, request_id: str, now: float, decision: str, reason: str
    ) -> None:
        """Add a decision on a request.

        The oldest request is evicted when there are too many; decisions over
        the limit of a request are dropped.
        """
        decisions = self._decisions.get(request_id)
        if decisions is None:
            decisions = self._decisions[request_id] = []
            if len(self._decisions) > MAX_EXPLAINED_REQUESTS:
                self._decisions.popitem(last=False)
        if len(decisions) < MAX_DECISIONS_PER_REQUEST:
            decisions.append(Decision(now, decision, reason))

    def list_decisions(self, request_id: str) -> list[Decision]:
        """Return the decisions on a request, oldest first."""
        return list(self._decisions.get(request_id, ()))
