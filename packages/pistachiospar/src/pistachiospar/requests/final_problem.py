"""Final problems of requests that can't be served."""

from dataclasses import dataclass
from dataclasses import field

import trio

from ..const import OUTCOME_UNKNOWN
from ..helpers.problems import Problem
from ..helpers.problems import refuse_not_run
from ..helpers.problems import report_unknown_outcome
from .const import MIN_RETRY_AFTER_S
from .models import CallerRequest
from .models import Lost
from .models import NoInstance
from .models import NotRun


@dataclass(slots=True)
class AttemptHistory:
    """Attempts at one request.

    `avoid` names the instances that were tried; `lost_reason` is set once
    the response of an attempt that may have been run is lost.
    """

    attempts: int = 0
    avoid: set[str] = field(default_factory=set)
    lost_reason: str = ""

    def record_failure(self, name: str, result: NotRun | Lost) -> None:
        """Record a failed attempt at an instance."""
        self.avoid.add(name)
        if isinstance(result, Lost):
            self.lost_reason = result.reason


def make_final_problem(
    request: CallerRequest,
    history: AttemptHistory,
    last: NoInstance | NotRun | Lost,
) -> Problem:
    """Return the final problem.

    Its outcome is `not-run` only if every attempt was certainly not run.
    """
    if isinstance(last, NoInstance) and last.outcome_unknown:
        return _make_unknown_problem(request, last.reason)
    if history.lost_reason or isinstance(last, Lost):
        return _make_unknown_problem(
            request, history.lost_reason or last.reason
        )
    kind = "no-instance" if isinstance(last, NoInstance) else "not-run"
    retry_after_s = max(last.retry_after_s, MIN_RETRY_AFTER_S)
    return refuse_not_run(kind, last.reason, retry_after_s)


def _make_unknown_problem(request: CallerRequest, reason: str) -> Problem:
    """Return a problem whose outcome is `unknown`."""
    if request.deadline <= trio.current_time():
        return Problem(504, "deadline-passed", reason, OUTCOME_UNKNOWN)
    return report_unknown_outcome("outcome-unknown", reason)
