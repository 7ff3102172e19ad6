"""Items whose route an operator has removed, or moved to another service.

They wait: the next configuration may have a route for them again.
"""

from ..routing.models import Route
from ..routing.models import RouteTable
from ..telemetry.logs import log_event
from .models import Submission


class UnroutedItems:
    """The items of each submission without a route to a pool."""

    def __init__(self, pool: str) -> None:
        """Start without submissions."""
        self._pool = pool
        self._found: dict[str, tuple[int, frozenset[str]]] = {}

    def find(
        self, submission: Submission, table: RouteTable
    ) -> frozenset[str]:
        """Return the ids of a submission's items without a route there."""
        version, items = self._found.get(submission.id, (0, frozenset()))
        if version == table.version:
            return items
        unrouted = frozenset(
            item.id
            for item in submission.items
            if not leads_to(
                table.find_route(submission.host, item.path), self._pool
            )
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


def leads_to(route: Route | None, pool: str) -> bool:
    """Return whether a route sends calls to a pool."""
    return route is not None and any(
        share.upstream == pool and share.weight > 0 for share in route.shares
    )
