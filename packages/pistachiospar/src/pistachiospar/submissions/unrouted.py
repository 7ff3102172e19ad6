"""Items whose route an operator has removed.

They wait: the next configuration may have a route for them again.
"""

from ..routing.models import RouteTable
from ..telemetry.logs import log_event
from .models import Submission


class UnroutedItems:
    """The items of each submission without a route, by configuration."""

    def __init__(self) -> None:
        """Start without submissions."""
        self._found: dict[str, tuple[int, frozenset[str]]] = {}

    def find(
        self, submission: Submission, table: RouteTable
    ) -> frozenset[str]:
        """Return the ids of a submission's items without a route."""
        version, items = self._found.get(submission.id, (0, frozenset()))
        if version == table.version:
            return items
        unrouted = frozenset(
            item.id
            for item in submission.items
            if table.find_route(submission.host, item.path) is None
        )
        if len(unrouted) != len(items):
            log_event(
                "submission_routes_changed",
                submission=submission.id,
                configuration=table.version,
                items=len(submission.items),
                without_route=len(unrouted),
            )
        self._found[submission.id] = (table.version, unrouted)
        return unrouted

    def forget(self, submission: str) -> None:
        """Drop what is known of a submission."""
        self._found.pop(submission, None)

    def clear(self) -> None:
        """Drop all submissions."""
        self._found.clear()
