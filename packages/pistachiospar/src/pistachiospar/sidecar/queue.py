"""Queue of orders for one upstream, fair between partners.

Partners share the upstream by weighted fair queueing, with tokens as cost.
Within a partner the lowest priority number goes first, unless its oldest
order has waited for too long.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field

from ..link.messages import OrderKind
from .const import SLOTS_PER_RESERVED_SLOT
from .const import STARVATION_TIMEOUT_S
from .models import Ticket


@dataclass(slots=True)
class PartnerQueue:
    """A partner's tickets; `virtual_time` is in tokens per share."""

    share: float
    virtual_time: float = 0.0
    tickets: list[Ticket] = field(default_factory=list)

    def find_next(self, now: float, allows_samples: bool) -> Ticket | None:
        """Return the next ticket, or None if none is allowed to run."""
        ready = [
            ticket
            for ticket in self.tickets
            if allows_samples or ticket.order.kind is not OrderKind.SAMPLE
        ]
        if not ready:
            return None
        oldest = min(ready, key=lambda ticket: ticket.sequence)
        if now - oldest.enqueued_at > STARVATION_TIMEOUT_S:
            return oldest
        return min(ready, key=_priority_then_sequence)


def _priority_then_sequence(ticket: Ticket) -> int:
    """Return the sort key within a partner."""
    return ticket.order.priority * 2**48 + ticket.sequence


class FairQueue:
    """Tickets of all partners, served by weighted fair queueing."""

    def __init__(self) -> None:
        """Set up an empty queue."""
        self._partners: dict[str, PartnerQueue] = {}
        self._sequence = 0
        self._virtual_time = 0.0
        self.queued_tokens = 0

    def __len__(self) -> int:
        """Return the number of tickets."""
        return sum(len(queue.tickets) for queue in self._partners.values())

    def iter_tickets(self) -> Iterator[Ticket]:
        """Yield all tickets, partner by partner."""
        for queue in self._partners.values():
            yield from queue.tickets

    def count_tickets(self, partner: str) -> int:
        """Return the number of a partner's tickets."""
        queue = self._partners.get(partner)
        return len(queue.tickets) if queue is not None else 0

    def find_share(self, partner: str) -> float:
        """Return a partner's fraction of itself and the partners that wait."""
        own = self._partners.get(partner)
        if own is None:
            return 1.0
        others = sum(
            queue.share
            for queue in self._partners.values()
            if queue is not own and queue.tickets
        )
        return own.share / (own.share + others)

    def list_tickets(self, partner: str) -> list[Ticket]:
        """Return a copy of a partner's tickets."""
        queue = self._partners.get(partner)
        return list(queue.tickets) if queue is not None else []

    def set_shares(self, shares: dict[str, float]) -> None:
        """Set the relative shares of partners."""
        for partner, share in shares.items():
            queue = self._partners.get(partner)
            if queue is None:
                self._partners[partner] = PartnerQueue(share)
            else:
                queue.share = share

    def push(self, ticket: Ticket) -> None:
        """Append a ticket to its partner's queue."""
        self._sequence += 1
        ticket.sequence = self._sequence
        queue = self._partners.setdefault(
            ticket.order.partner, PartnerQueue(1.0)
        )
        if not queue.tickets:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        queue.tickets.append(ticket)
        self.queued_tokens += ticket.order.tokens

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket; does nothing if it is not queued."""
        queue = self._partners.get(ticket.order.partner)
        if queue is not None and ticket in queue.tickets:
            queue.tickets.remove(ticket)
            self.queued_tokens -= ticket.order.tokens

    def pop(self, now: float, allows_samples: bool) -> Ticket | None:
        """Remove and return the next ticket; None if none may run.

        Without `allows_samples` only calls may run.
        """
        best: Ticket | None = None
        best_queue: PartnerQueue | None = None
        for queue in self._partners.values():
            if (
                best_queue is not None
                and queue.virtual_time >= best_queue.virtual_time
            ):
                continue
            ticket = queue.find_next(now, allows_samples)
            if ticket is not None:
                best, best_queue = ticket, queue
        if best is None or best_queue is None:
            return None
        self.remove(best)
        self._virtual_time = best_queue.virtual_time
        best_queue.virtual_time += best.order.tokens / best_queue.share
        return best

    def charge(self, partner: str, tokens: int) -> None:
        """Add tokens to the cost charged to a partner; negative refunds."""
        queue = self._partners.get(partner)
        if queue is not None:
            queue.virtual_time += tokens / queue.share


def count_sample_slots(slots: int) -> int:
    """Return how many slots samples may use; calls have the others."""
    return max(1, slots - max(1, slots // SLOTS_PER_RESERVED_SLOT))
