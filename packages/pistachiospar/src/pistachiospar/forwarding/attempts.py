"""State of the attempts of one call."""

from dataclasses import dataclass
from dataclasses import field

import trio

from .models import CallOutcome
from .models import CallResponse
from .models import ForwardCall


@dataclass(slots=True)
class CallAttempts:
    """State of one call's attempts.

    `tried` names instances, `started` counts attempts against the call's
    maximum (refused ones don't count), `refusals` those that an instance
    refused. `server_error` is the last 5xx response, returned when no
    attempt gets a better one; `detail` explains the last failure. The call
    waits for instances at their limit up to `permit_wait_until`. `crashes`
    counts the instances that ended under it; `is_trial` is set for a single
    attempt of a suspended request.
    """

    call: ForwardCall
    outcome_sender: trio.MemorySendChannel[CallOutcome]
    tried: set[str] = field(default_factory=set)
    started: int = 0
    running: int = 0
    refusals: int = 0
    may_have_run: bool = False
    server_error: CallResponse | None = None
    permit_wait_until: float = float("inf")
    crashes: int = 0
    is_trial: bool = False
    detail: str = "no instance available"
    cancel_scopes: list[trio.CancelScope] = field(default_factory=list)

    def may_refuse(self) -> bool:
        """Return whether no instance ran the call and none may still do."""
        return not (self.running or self.may_have_run or self.server_error)

    def set_deadline(self, at: float) -> None:
        """Cancel the attempts at a time, in monotonic seconds."""
        for scope in self.cancel_scopes:
            scope.deadline = at
