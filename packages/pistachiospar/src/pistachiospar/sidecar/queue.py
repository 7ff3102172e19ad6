"""Support the queue before an upstream: fair between partners.

Partners share by weighted fair queueing in tokens; inside a partner a lower
priority number goes first, until somebody has waited too long.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field

from ..link.messages import OrderKind
from .const import INTERACTIVE_RESERVE
from .const import STARVATION_S
from .models import Ticket


@dataclass(slots=True)
class PartnerQueue:
    """Hold a partner's tickets; `served` is in tokens per share."""

    share: float
    served: float = 0.0
    tickets: list[Ticket] = field(default_factory=list)

    def next_ticket(self, now: float, samples: bool) -> Ticket | None:
        """Return the ticket that goes first, if any may go."""
        ready = [
            ticket
            for ticket in self.tickets
            if samples or ticket.order.kind is not OrderKind.SAMPLE
        ]
        if not ready:
            return None
        oldest = min(ready, key=lambda ticket: ticket.sequence)
        if now - oldest.enqueued_at > STARVATION_S:
            return oldest
        return min(ready, key=_priority_then_sequence)


def _priority_then_sequence(ticket: Ticket) -> int:
    """Return the sort key inside a partner."""
    return ticket.order.priority * 2**48 + ticket.sequence


class FairQueue:
    """Hold the tickets of all partners."""

    def __init__(self) -> None:
        """Begin empty."""
        self._partners: dict[str, PartnerQueue] = {}
        self._sequence = 0
        self._virtual = 0.0
        self.queued_tokens = 0

    def __len__(self) -> int:
        """Return the number of tickets."""
        return sum(len(queue.tickets) for queue in self._partners.values())

    def tickets(self) -> Iterator[Ticket]:
        """Yield all tickets."""
        for queue in self._partners.values():
            yield from queue.tickets

    def count_partner(self, partner: str) -> int:
        """Return the number of a partner's tickets."""
        queue = self._partners.get(partner)
        return len(queue.tickets) if queue is not None else 0

    def find_share(self, partner: str) -> float:
        """Return a partner's share among those that wait, and itself."""
        own = self._partners.get(partner)
        if own is None:
            return 1.0
        others = sum(
            queue.share
            for queue in self._partners.values()
            if queue is not own and queue.tickets
        )
        return own.share / (own.share + others)

    def list_partner(self, partner: str) -> list[Ticket]:
        """Return a partner's tickets."""
        queue = self._partners.get(partner)
        return list(queue.tickets) if queue is not None else []

    def set_shares(self, shares: dict[str, float]) -> None:
        """Take over the agreed split."""
        for partner, share in shares.items():
            queue = self._partners.get(partner)
            if queue is None:
                self._partners[partner] = PartnerQueue(share)
            else:
                queue.share = share

    def push(self, ticket: Ticket) -> None:
        """Add a ticket at the end."""
        self._sequence += 1
        ticket.sequence = self._sequence
        queue = self._partners.setdefault(
            ticket.order.partner, PartnerQueue(1.0)
        )
        if not queue.tickets:
            queue.served = max(queue.served, self._virtual)
        queue.tickets.append(ticket)
        self.queued_tokens += ticket.order.tokens

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out; does nothing when it is not there."""
        queue = self._partners.get(ticket.order.partner)
        if queue is not None and ticket in queue.tickets:
            queue.tickets.remove(ticket)
            self.queued_tokens -= ticket.order.tokens

    def pop(self, now: float, samples: bool) -> Ticket | None:
        """Take out the ticket that goes next, if any may go."""
        best: Ticket | None = None
        best_queue: PartnerQueue | None = None
        for queue in self._partners.values():
            if best_queue is not None and queue.served >= best_queue.served:
                continue
            ticket = queue.next_ticket(now, samples)
            if ticket is not None:
                best, best_queue = ticket, queue
        if best is None or best_queue is None:
            return None
        self.remove(best)
        self._virtual = best_queue.served
        best_queue.served += best.order.tokens / best_queue.share
        return best

    def charge(self, partner: str, tokens: int) -> None:
        """Correct a partner's account by tokens; negative gives back."""
        queue = self._partners.get(partner)
        if queue is not None:
            queue.served += tokens / queue.share


def limit_sample_slots(slots: int) -> int:
    """Return how many slots samples may hold; the rest is reserved."""
    return max(1, slots - max(1, slots // INTERACTIVE_RESERVE))
