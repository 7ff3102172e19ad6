"""Scheduling of the slots of an upstream."""

import trio

from ..link.messages import OrderKind
from ..link.messages import RunOrder
from .admission import decide_admission
from .admission import QueueSnapshot
from .admission import ServiceRate
from .models import Rejected
from .models import Ticket
from .queue import count_sample_slots
from .queue import FairQueue


class SlotRefusedError(Exception):
    """Refusal of an order that waited for a slot."""


class SlotScheduler:
    """Grant the slots of one upstream to queued orders, fairly.

    New orders are refused while `is_draining` is set.
    """

    def __init__(self, slots: int, queue_limit: int) -> None:
        """Set up with all slots free."""
        self.slots = slots
        self.queue = FairQueue()
        self.rate = ServiceRate()
        self.running = 0
        self.running_samples = 0
        self.is_draining = False
        self._queue_limit = queue_limit
        self._sample_slots = count_sample_slots(slots)

    def check_admission(self, order: RunOrder) -> Rejected | None:
        """Return the refusal of an order, or None to admit it."""
        snapshot = QueueSnapshot(
            is_draining=self.is_draining,
            queued=self.queue.count_tickets(order.partner),
            queue_limit=self._queue_limit,
            tokens=order.tokens,
            tokens_ahead=self._count_tokens_ahead(order),
            share=self.queue.find_share(order.partner),
            slots=self.slots,
            free_slots=self.slots - self.running,
        )
        return decide_admission(snapshot, self.rate, order.timeout_ms / 1000.0)

    async def acquire_slot(
        self, order: RunOrder, now: float, deadline: float
    ) -> None:
        """Wait for a slot; the caller frees it by `release_slot`.

        Raises SlotRefusedError when the order is refused while it waits.
        """
        ticket = Ticket(order, now, deadline)
        self.queue.push(ticket)
        self._grant_slots(now)
        try:
            await ticket.decided.wait()
        except trio.Cancelled:
            self._release_ticket(ticket)
            raise
        if ticket.refusal:
            raise SlotRefusedError(ticket.refusal)

    def release_slot(self, order: RunOrder, now: float) -> None:
        """Free the slot of an order and grant it to the next one."""
        self.running -= 1
        if order.kind is OrderKind.SAMPLE:
            self.running_samples -= 1
        self._grant_slots(now)

    def refuse_waiting(self, reason: str, request_id: str = "") -> None:
        """Refuse all waiting orders, or only those of one request."""
        for ticket in list(self.queue.iter_tickets()):
            if request_id and ticket.order.request_id != request_id:
                continue
            self.queue.remove(ticket)
            ticket.refusal = reason
            ticket.decided.set()

    def _release_ticket(self, ticket: Ticket) -> None:
        """Free the slot or the queue position of a cancelled ticket."""
        if ticket.decided.is_set() and not ticket.refusal:
            self.release_slot(ticket.order, trio.current_time())
        else:
            self.queue.remove(ticket)

    def _grant_slots(self, now: float) -> None:
        """Grant free slots to waiting orders; refuse late ones."""
        while self.running < self.slots:
            allows_samples = self.running_samples < self._sample_slots
            ticket = self.queue.pop(now, allows_samples)
            if ticket is None:
                return
            expected_s = self.rate.estimate_duration_s(ticket.order.tokens)
            if now + expected_s > ticket.deadline:
                ticket.refusal = "expected duration exceeds the time left"
                ticket.decided.set()
                continue
            self.running += 1
            if ticket.order.kind is OrderKind.SAMPLE:
                self.running_samples += 1
            ticket.decided.set()

    def _count_tokens_ahead(self, order: RunOrder) -> int:
        """Return the partner's queued tokens that go before an order."""
        return sum(
            ticket.order.tokens
            for ticket in self.queue.list_tickets(order.partner)
            if order.kind is OrderKind.SAMPLE
            or ticket.order.priority <= order.priority
        )
