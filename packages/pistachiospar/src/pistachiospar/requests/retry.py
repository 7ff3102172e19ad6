"""Support retries: within a budget, an attempt limit and the deadline."""

from dataclasses import dataclass
from random import Random

from . import const
from ..helpers.backoff import Backoff
from .models import GiveUp
from .models import RetryAt
from .models import RetryDecision

BACKOFF = Backoff(const.RETRY_FIRST_S, const.RETRY_MOST_S)


@dataclass(slots=True)
class RetryBudget:
    """Allow retries in proportion to requests, with a small reserve."""

    tokens: float = const.RETRY_RESERVE

    def earn(self) -> None:
        """Take a first attempt into account."""
        earned = self.tokens + const.RETRY_RATIO
        self.tokens = min(const.RETRY_RESERVE, earned)

    def spend(self) -> bool:
        """Take one retry out; return whether there was one."""
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
    """Decide whether to try again; `hint_s` is what the sidecar asked."""
    if attempts >= const.MAX_ATTEMPTS:
        return GiveUp(f"{attempts} attempts made")
    delay_s = max(BACKOFF.draw_delay_s(attempts - 1, rng), hint_s)
    if now + delay_s + const.DEADLINE_MARGIN_S >= deadline:
        return GiveUp("the deadline is too near to try again")
    if not budget.spend():
        return GiveUp("the retry budget is spent")
    return RetryAt(delay_s, f"attempt {attempts + 1}")
