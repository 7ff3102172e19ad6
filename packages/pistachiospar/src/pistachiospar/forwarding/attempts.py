"""State of the attempts of one call."""

from dataclasses import dataclass
from dataclasses import field

import trio

from ..admission.models import AdmissionRefusal
from ..admission.models import CallOffer
from ..routing.instances import ListedInstance
from .models import CallOutcome
from .models import CallResponse
from .models import ForwardCall


# What a call waits for: an attempt's outcome, or the end of its wait.
AttemptEvent = CallOutcome | AdmissionRefusal


@dataclass(slots=True)
class CallAttempts:
    """State of one call's attempts.

    `tried` names instances, `started` counts attempts against the call's
    maximum (refused ones don't count), `refusals` those that an instance
    refused. `server_error` is the last 5xx response, returned when no
    attempt gets a better one; `detail` explains the last failure. The call
    waits for instances at their limit up to `permit_wait_until`. `crashes`
    counts the instances that ended under it; `is_trial` is set for a single
    attempt of a suspended request. `arrivals` counts the attempts that reached
    an instance, `running_at` has the instances of those that run. `offer` is
    set while the call waits for room, `expected_s` once it was refused.
    """

    call: ForwardCall
    outcome_sender: trio.MemorySendChannel[AttemptEvent]
    tried: set[str] = field(default_factory=set)
    started: int = 0
    running: int = 0
    refusals: int = 0
    may_have_run: bool = False
    server_error: CallResponse | None = None
    permit_wait_until: float = float("inf")
    crashes: int = 0
    is_trial: bool = False
    arrivals: int = 0
    running_at: list[ListedInstance] = field(default_factory=list)
    offer: CallOffer | None = None
    expected_s: float | None = None
    detail: str = "no instance available"
    cancel_scopes: list[trio.CancelScope] = field(default_factory=list)

    def may_refuse(self) -> bool:
        """Return whether no instance ran the call and none may still do."""
        return not (self.running or self.may_have_run or self.server_error)

    def set_deadline(self, at: float) -> None:
        """Cancel the attempts at a time, in monotonic seconds."""
        for scope in self.cancel_scopes:
            scope.deadline = at
