"""How many second attempts an upstream's calls may make.

Pattern: instances that are full, slow or failing at once make each call
several calls, when they can serve least.
"""

from . import const
from .models import RetryBudget


def refill(budget: RetryBudget, now: float) -> RetryBudget:
    """Return the budget with what time adds; it is bounded."""
    elapsed_s = max(0.0, now - budget.updated_at)
    tokens = budget.tokens + elapsed_s * const.RETRY_REFILL_PER_S
    return RetryBudget(min(const.RETRY_RESERVE, tokens), now)


def earn(budget: RetryBudget, now: float) -> RetryBudget:
    """Return the budget after a call's first attempt."""
    budget = refill(budget, now)
    tokens = min(const.RETRY_RESERVE, budget.tokens + const.RETRY_SHARE)
    return RetryBudget(tokens, now)


def spend(
    budget: RetryBudget, may_refuse: bool, now: float
) -> RetryBudget | None:
    """Return the budget after a second attempt; None when it is used up.

    A call that its caller can send again leaves some to calls that may have
    run, which are held until they get an answer.
    """
    budget = refill(budget, now)
    kept = const.RETRY_KEPT if may_refuse else 0.0
    if budget.tokens < 1.0 + kept:
        return None
    return RetryBudget(budget.tokens - 1.0, now)
