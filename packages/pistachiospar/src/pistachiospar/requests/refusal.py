"""Support the final answer to a request that can't be served."""

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
class Route:
    """Hold the attempts at one request; `doubt` tells of one lost."""

    attempts: int = 0
    avoid: set[str] = field(default_factory=set)
    doubt: str = ""

    def note(self, name: str, result: NotRun | Lost) -> None:
        """Take a failed attempt into account."""
        self.avoid.add(name)
        if isinstance(result, Lost):
            self.doubt = result.reason


def refuse_route(
    request: CallerRequest, route: Route, last: NoInstance | NotRun | Lost
) -> Problem:
    """Return the final answer: `not-run` only when no attempt is in doubt."""
    if isinstance(last, NoInstance) and last.doubtful:
        return _report_doubt(request, last.reason)
    if route.doubt or isinstance(last, Lost):
        return _report_doubt(request, route.doubt or last.reason)
    kind = "no-instance" if isinstance(last, NoInstance) else "not-run"
    retry_after_s = max(last.retry_after_s, MIN_RETRY_AFTER_S)
    return refuse_not_run(kind, last.reason, retry_after_s)


def _report_doubt(request: CallerRequest, reason: str) -> Problem:
    """Return the problem of a request that may have been run."""
    if request.deadline <= trio.current_time():
        return Problem(504, "deadline-passed", reason, OUTCOME_UNKNOWN)
    return report_unknown_outcome("outcome-unknown", reason)
