"""The queue of calls that wait for an upstream."""

from dataclasses import dataclass
from dataclasses import field

from . import const
from ..shares.waiting_queue import WaitingQueue
from .budgets import spend
from .decisions import update_history
from .models import CallOffer
from .models import QueueHistory
from .models import RetryBudget


@dataclass(slots=True)
class UpstreamQueue:
    """The calls that wait for an upstream, and its budget of retries.

    Calls waited last at `busy_at`. Refused callers come back for the room up
    to `promised_until`.
    """

    budget: RetryBudget
    history: QueueHistory
    calls: WaitingQueue[CallOffer] = field(default_factory=WaitingQueue)
    busy_at: float = float("-inf")
    promised_until: float = float("-inf")

    def note_use(self, is_busy: bool, now: float) -> None:
        """Note whether calls wait, or are refused instead."""
        self.history = update_history(self.history, is_busy, now)
        if is_busy:
            self.busy_at = now

    def is_pressed(self, now: float) -> bool:
        """Return whether calls wait, or did so recently."""
        return now - self.busy_at < const.PRESSURE_S

    def spend_token(self, may_refuse: bool, now: float) -> bool:
        """Take a token for a second attempt; False when there is none."""
        budget = spend(self.budget, may_refuse, now)
        if budget is not None:
            self.budget = budget
        return budget is not None
