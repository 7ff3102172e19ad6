"""The calls that wait for one upstream, in the order of their shares."""

from bisect import bisect_left
from bisect import insort
from dataclasses import dataclass
from dataclasses import field
from typing import Generic
from typing import TypeVar

from .decisions import choose_organisation
from .decisions import count_ahead
from .decisions import make_share_table
from .decisions import order_priorities
from .decisions import ShareTable
from .decisions import update_floor_credit

Value = TypeVar("Value")

# Organisations that wait no longer are dropped above this number.
MIN_TAGS = 16


@dataclass(frozen=True, slots=True, eq=False)
class WaitingCall(Generic[Value]):
    """A waiting call; `cost` is what it takes of its organisation's share."""

    value: Value
    priority: int
    organisation: str
    deadline: float
    number: int
    cost: float = 1.0

    @property
    def rank(self) -> tuple[float, int]:
        """Return what orders the calls of one organisation."""
        return (self.deadline, self.number)


@dataclass(slots=True)
class PriorityQueue(Generic[Value]):
    """The waiting calls of one priority, by organisation.

    `finish_tags` has organisations that wait or that are ahead of
    `virtual_time`, and sometimes others. `table` is None after a change.
    """

    calls: dict[str, list[WaitingCall[Value]]] = field(default_factory=dict)
    finish_tags: dict[str, float] = field(default_factory=dict)
    virtual_time: float = 0.0
    count: int = 0
    table: ShareTable | None = None

    def find_next(self) -> WaitingCall[Value]:
        """Return the call that goes next; there must be one."""
        tags = {name: self.finish_tags.get(name, 0.0) for name in self.calls}
        return self.calls[choose_organisation(tags, self.virtual_time)][0]

    def charge(self, call: WaitingCall[Value], weight: float) -> None:
        """Charge a call that goes now to its organisation."""
        tag = self.finish_tags.get(call.organisation, 0.0)
        self.virtual_time = max(tag, self.virtual_time)
        self.finish_tags[call.organisation] = (
            self.virtual_time + call.cost / weight
        )
        if len(self.finish_tags) > 2 * len(self.calls) + MIN_TAGS:
            self.finish_tags = {
                name: tag
                for name, tag in self.finish_tags.items()
                if name in self.calls or tag > self.virtual_time
            }


class WaitingQueue(Generic[Value]):
    """The waiting calls of an upstream; `weights` are by organisation."""

    def __init__(self, weights: dict[str, float] | None = None) -> None:
        """Create an empty queue; organisations without a weight have 1."""
        self._weights = {} if weights is None else weights
        self._priorities: dict[int, PriorityQueue[Value]] = {}
        self._floor_credit = 0.0
        self._added = 0
        self.count = 0

    def add(
        self,
        value: Value,
        priority: int,
        organisation: str,
        deadline: float,
        cost: float = 1.0,
    ) -> WaitingCall[Value]:
        """Add a call and return it."""
        self._added += 1
        call = WaitingCall(
            value, priority, organisation, deadline, self._added, cost
        )
        queue = self._priorities.setdefault(priority, PriorityQueue())
        insort(
            queue.calls.setdefault(organisation, []),
            call,
            key=lambda c: c.rank,
        )
        queue.count += 1
        queue.table = None
        self.count += 1
        return call

    def remove(self, call: WaitingCall[Value]) -> None:
        """Remove a call that waits no longer and was not taken."""
        queue = self._priorities[call.priority]
        calls = queue.calls[call.organisation]
        calls.remove(call)
        queue.count -= 1
        queue.table = None
        self.count -= 1
        if not calls:
            del queue.calls[call.organisation]
        if not queue.calls:
            del self._priorities[call.priority]

    def list_next(self) -> list[WaitingCall[Value]]:
        """Return the next call of each priority, in the order to try them."""
        return [
            self._priorities[priority].find_next()
            for priority in order_priorities(
                self._priorities, self._floor_credit
            )
        ]

    def take(self, call: WaitingCall[Value]) -> None:
        """Remove a call that goes now, and charge it to its organisation."""
        self._floor_credit = update_floor_credit(
            self._floor_credit, call.priority, self._priorities
        )
        queue = self._priorities[call.priority]
        queue.charge(call, self._get_weight(call.organisation))
        self.remove(call)

    def find_last(self) -> WaitingCall[Value] | None:
        """Return the call that gives way to a more urgent one."""
        if not self._priorities:
            return None
        queue = self._priorities[max(self._priorities)]
        longest = max(queue.calls.values(), key=len)
        return longest[-1]

    def count_ahead(
        self, priority: int, organisation: str, deadline: float
    ) -> float:
        """Return how many calls go before a new one of a deadline."""
        queue = self._priorities.get(priority, PriorityQueue())
        calls = queue.calls.get(organisation, [])
        own = bisect_left(calls, (deadline, 0), key=lambda call: call.rank)
        weight = self._get_weight(organisation)
        turns = (own + 1) / weight
        served = self._get_share_table(queue).count_served(turns)
        others = served - min(float(len(calls)), turns * weight)
        return count_ahead(
            self.count_more_urgent(priority),
            own + others,
            priority >= max(self._priorities, default=priority),
        )

    def list_ahead(self) -> list[tuple[WaitingCall[Value], float]]:
        """Return all waiting calls and how many go before each."""
        found: list[tuple[WaitingCall[Value], float]] = []
        for priority, queue in self._priorities.items():
            more_urgent = self.count_more_urgent(priority)
            is_least_urgent = priority == max(self._priorities)
            table = self._get_share_table(queue)
            for name, calls in queue.calls.items():
                weight = self._get_weight(name)
                for place, call in enumerate(calls, start=1):
                    own = table.count_served(place / weight) - 1.0
                    ahead = count_ahead(more_urgent, own, is_least_urgent)
                    found.append((call, ahead))
        return found

    def count_more_urgent(self, priority: int) -> int:
        """Return how many calls of more urgent priorities wait."""
        return sum(
            queue.count
            for other, queue in self._priorities.items()
            if other < priority
        )

    def _get_share_table(self, queue: PriorityQueue[Value]) -> ShareTable:
        """Return the table of a priority's shares, made after a change."""
        if queue.table is None:
            queue.table = make_share_table(
                (len(calls), self._get_weight(name))
                for name, calls in queue.calls.items()
            )
        return queue.table

    def _get_weight(self, organisation: str) -> float:
        """Return an organisation's weight."""
        return self._weights.get(organisation, 1.0)
