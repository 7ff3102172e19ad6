"""Support the slots before an upstream: who runs, who waits."""

import trio

from ..link.messages import OrderKind
from ..link.messages import RunOrder
from .admission import decide_admission
from .admission import QueueView
from .admission import ServiceRate
from .models import Rejected
from .models import Ticket
from .queue import FairQueue
from .queue import limit_sample_slots


class GateRefusedError(Exception):
    """Tell that a ticket was given back without a slot."""


class Gate:
    """Give the slots of one upstream to tickets, fairly."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        """Begin with all slots free."""
        self.slots = slots
        self.queue = FairQueue()
        self.rate = ServiceRate()
        self.running = 0
        self.running_samples = 0
        self.draining = False
        self._queue_limit = queue_limit
        self._sample_slots = limit_sample_slots(slots)

    def check(self, order: RunOrder) -> Rejected | None:
        """Return why an order would be refused, or None."""
        view = QueueView(
            draining=self.draining,
            queued=self.queue.count_partner(order.partner),
            queue_limit=self._queue_limit,
            tokens=order.tokens,
            tokens_ahead=self._count_tokens_ahead(order),
            share=self.queue.find_share(order.partner),
            slots=self.slots,
            free_slots=self.slots - self.running,
        )
        return decide_admission(view, self.rate, order.timeout_ms / 1000.0)

    async def acquire(
        self, order: RunOrder, now: float, deadline: float
    ) -> None:
        """Wait for a slot; it is given back by `release`.

        Raises GateRefusedError when the ticket is given back.
        """
        ticket = Ticket(order, now, deadline)
        self.queue.push(ticket)
        self._grant(now)
        try:
            await ticket.granted.wait()
        except trio.Cancelled:
            self._give_back(ticket)
            raise
        if ticket.refused:
            raise GateRefusedError(ticket.refused)

    def release(self, order: RunOrder, now: float) -> None:
        """Free a slot."""
        self.running -= 1
        if order.kind is OrderKind.SAMPLE:
            self.running_samples -= 1
        self._grant(now)

    def refuse_waiting(self, reason: str, request_id: str = "") -> None:
        """Give all waiting tickets back, or only one request's."""
        for ticket in list(self.queue.tickets()):
            if request_id and ticket.order.request_id != request_id:
                continue
            self.queue.remove(ticket)
            ticket.refused = reason
            ticket.granted.set()

    def _give_back(self, ticket: Ticket) -> None:
        """Free what a cancelled ticket holds."""
        if ticket.granted.is_set() and not ticket.refused:
            self.release(ticket.order, trio.current_time())
        else:
            self.queue.remove(ticket)

    def _grant(self, now: float) -> None:
        """Give free slots to waiting tickets."""
        while self.running < self.slots:
            samples = self.running_samples < self._sample_slots
            ticket = self.queue.pop(now, samples)
            if ticket is None:
                return
            expected_s = self.rate.expect_s(ticket.order.tokens)
            if now + expected_s > ticket.deadline:
                ticket.refused = "too late to be finished in time"
                ticket.granted.set()
                continue
            self.running += 1
            if ticket.order.kind is OrderKind.SAMPLE:
                self.running_samples += 1
            ticket.granted.set()

    def _count_tokens_ahead(self, order: RunOrder) -> int:
        """Return the partner's queued tokens that go before an order."""
        return sum(
            ticket.order.tokens
            for ticket in self.queue.list_partner(order.partner)
            if order.kind is OrderKind.SAMPLE
            or ticket.order.priority <= order.priority
        )
