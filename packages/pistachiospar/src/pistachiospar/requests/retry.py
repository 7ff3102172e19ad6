"""Retry decisions by a budget, an attempt limit and the deadline."""

from dataclasses import dataclass
from random import Random

from . import const
from ..helpers.backoff import Backoff
from .models import GiveUp
from .models import RetryAfter
from .models import RetryDecision

BACKOFF = Backoff(const.RETRY_INITIAL_S, const.RETRY_MAX_S)


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits retries to a share of requests.

    Starts full, so that a few retries are possible before any request.
    """

    tokens: float = const.RETRY_BUDGET_MAX

    def deposit(self) -> None:
        """Add the share of one request."""
        deposited = self.tokens + const.RETRY_BUDGET_PER_REQUEST
        self.tokens = min(const.RETRY_BUDGET_MAX, deposited)

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return whether the budget allowed it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def decide_retry(
    budget: RetryBudget,
    attempts: int,
    hint_s: float,
    now: float,
    deadline: float,
    rng: Random,
) -> RetryDecision:
    """Decide whether to try again.

    `hint_s` is the minimum delay that the sidecar asked for, in seconds.
    """
    if attempts >= const.MAX_ATTEMPTS:
        return GiveUp(f"{attempts} attempts made")
    delay_s = max(BACKOFF.draw_delay_s(attempts - 1, rng), hint_s)
    if now + delay_s + const.DEADLINE_MARGIN_S >= deadline:
        return GiveUp("the deadline is too close for another attempt")
    if not budget.try_withdraw():
        return GiveUp("the retry budget is exhausted")
    return RetryAfter(delay_s, f"attempt {attempts + 1}")
