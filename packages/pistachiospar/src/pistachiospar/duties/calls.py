"""Calls for a duty, within its rate limit."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from . import const
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .guard import DutyGuard
from .models import DutyOutcome

SendCall = Callable[[int], Awaitable[DutyOutcome]]


class DutyCaller:
    """Make the calls for one duty, one at a time."""

    def __init__(
        self, duty: str, guard: DutyGuard, calls_per_s: float, metrics: Metrics
    ) -> None:
        """Initialize; `calls_per_s` is this duty's share of the limit."""
        self._duty = duty
        self._guard = guard
        self._interval_s = 1.0 / (calls_per_s * const.RATE_SHARE)
        self._metrics = metrics
        self._next_at = float("-inf")
        self._calling = trio.Lock()

    async def call(self, send: SendCall) -> DutyOutcome | None:
        """Make a call with the present fence; None when it isn't allowed.

        The guard is asked directly before the call, which ends within
        CALL_TIMEOUT_S.
        """
        async with self._calling:
            await trio.sleep_until(max(self._next_at, trio.current_time()))
            if self._guard.explain_refusal():
                return None
            self._next_at = trio.current_time() + self._interval_s
            fence = self._guard.fence
            outcome = DutyOutcome.FAILED
            with self._guard.track_call() as outcomes:
                with trio.move_on_after(const.CALL_TIMEOUT_S):
                    outcome = await send(fence)
                outcomes.append(outcome)
        self._metrics.count(f"duty_calls_{outcome.value}")
        if outcome is not DutyOutcome.DONE:
            log_event(
                "duty_call_failed",
                duty=self._duty,
                fence=fence,
                outcome=outcome.value,
            )
        return outcome
