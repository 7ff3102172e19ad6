"""Attempts of one call, until one decides it."""

from collections.abc import Callable

import trio

from ..admission.coordinator import CallAdmission
from ..admission.models import AdmissionAnswer
from ..admission.models import AdmissionRefusal
from ..admission.models import CallOffer
from ..admission.models import Started
from ..admission.models import Waiting
from . import const
from ..crashes.const import MAX_CRASHES_PER_CALL
from ..crashes.coordinator import CrashWatch
from ..crashes.table import CrashAssessment
from ..crashes.table import RequestStatus
from ..routing.instances import ListedInstance
from .attempts import AttemptEvent
from .attempts import CallAttempts
from .models import CallFailure
from .models import CallOutcome
from .models import CallResponse
from .models import FailureKind
from .selection import choose_permit_wait_s
from .selection import InstanceSelector


class AttemptLoop:
    """Ask for attempts of a call, and wait for what becomes of them."""

    def __init__(
        self,
        selector: InstanceSelector,
        crashes: CrashWatch,
        admission: CallAdmission,
        start_attempt: Callable[[CallAttempts, ListedInstance], None],
    ) -> None:
        """Initialize; `start_attempt` sends a call to an instance."""
        self._selector = selector
        self._crashes = crashes
        self._admission = admission
        self._start_attempt = start_attempt

    async def run(
        self,
        attempts: CallAttempts,
        outcomes: trio.MemoryReceiveChannel[AttemptEvent],
    ) -> CallOutcome | None:
        """Start attempts until one decides the call.

        None when the call is to be refused or no attempt is left.
        """
        call = attempts.call
        remaining_s = call.give_up_at - trio.current_time()
        refuse_at = (
            trio.current_time() + remaining_s * const.REFUSE_AFTER_SHARE
        )
        attempts.permit_wait_until = (
            trio.current_time() + choose_permit_wait_s(call)
        )
        while True:
            if trio.current_time() >= refuse_at:
                if attempts.may_refuse():
                    return None
                if attempts.offer and not attempts.running:
                    if attempts.server_error is not None:
                        return attempts.server_error
            if not attempts.running and self._has_to_stop(attempts):
                return attempts.server_error
            if attempts.offer is None and (
                attempts.running == 0 or self._may_hedge(attempts)
            ):
                answer = self._request_attempt(attempts)
                match answer:
                    case Started() | Waiting():
                        pass
                    case _ if attempts.running:
                        pass
                    case AdmissionRefusal() if self._accept_refusal(
                        attempts, answer
                    ):
                        return attempts.server_error
                    case _:
                        if attempts.started >= call.max_attempts:
                            return attempts.server_error
                        if self._has_no_prospect(attempts):
                            return None
                        await trio.sleep(const.RETRY_DELAY_S)
                        continue
            outcome = await self._wait_for_outcome(
                attempts, outcomes, refuse_at
            )
            if isinstance(outcome, (CallResponse, CallFailure)):
                attempts.running -= 1
            match outcome:
                case AdmissionRefusal():
                    if self._accept_refusal(attempts, outcome):
                        return attempts.server_error
                case CallResponse(status=status) if (
                    status in const.SERVER_ERRORS and call.route.is_repeatable
                ):
                    attempts.server_error = outcome
                case CallResponse():
                    return outcome
                case CallFailure(FailureKind.NOT_RUN):
                    attempts.started -= 1
                    attempts.refusals += 1
                    attempts.detail = outcome.detail
                    if attempts.refusals >= const.MAX_REFUSALS:
                        if self._has_no_prospect(attempts):
                            return None
                        await trio.sleep(const.RETRY_DELAY_S)
                        attempts.tried.clear()
                case CallFailure(FailureKind.LOST):
                    attempts.may_have_run = True
                    attempts.detail = outcome.detail
                    if not call.route.is_repeatable:
                        return outcome

    def _has_no_prospect(self, attempts: CallAttempts) -> bool:
        """Return whether a call that wasn't run is to be refused now."""
        return attempts.may_refuse() and not self._selector.may_wait(
            attempts.call, attempts.permit_wait_until
        )

    def _accept_refusal(
        self, attempts: CallAttempts, refusal: AdmissionRefusal
    ) -> bool:
        """Return whether a call ends with a refusal; keep its reasons.

        One that may have run goes on, unless it has an answer.
        """
        if attempts.server_error is not None:
            return not attempts.running
        if not attempts.may_refuse():
            return False
        attempts.detail = refusal.detail
        attempts.expected_s = refusal.expected_s
        return True

    def _has_to_stop(self, attempts: CallAttempts) -> bool:
        """Return whether a call crashed too much to be sent on."""
        return (
            attempts.crashes >= MAX_CRASHES_PER_CALL
            or self.find_suspension(attempts) is not None
        )

    def find_suspension(
        self, attempts: CallAttempts
    ) -> CrashAssessment | None:
        """Return why a call may not be sent on; None when it may."""
        if not attempts.call.fingerprint or attempts.is_trial:
            return None
        assessment = self._crashes.find_assessment(attempts.call.fingerprint)
        if assessment.status in (RequestStatus.FREE, RequestStatus.SUSPECT):
            return None
        return assessment

    def _may_hedge(self, attempts: CallAttempts) -> bool:
        """Return whether a further attempt may run in parallel."""
        call = attempts.call
        return (
            call.hedged
            and not attempts.crashes
            and call.route.is_repeatable
            and attempts.started < call.max_attempts
            and attempts.started > 0
            and self._admission.may_hedge(
                attempts.running_at, trio.current_time()
            )
        )

    async def _wait_for_outcome(
        self,
        attempts: CallAttempts,
        outcomes: trio.MemoryReceiveChannel[AttemptEvent],
        refuse_at: float,
    ) -> AttemptEvent | None:
        """Return what happens; None when a hedge or refusal is due first."""
        if not attempts.running:
            may_end = attempts.may_refuse() or attempts.server_error
            at = refuse_at if may_end else float("inf")
            with trio.move_on_at(at):
                return await outcomes.receive()
            return None
        if (
            not attempts.call.hedged
            or attempts.started >= attempts.call.max_attempts
        ):
            return await outcomes.receive()
        delay_s = (
            attempts.call.route.target_latency_s * const.HEDGE_DELAY_SHARE
        )
        with trio.move_on_after(max(const.HEDGE_MIN_DELAY_S, delay_s)):
            return await outcomes.receive()
        return None

    def _request_attempt(
        self, attempts: CallAttempts
    ) -> AdmissionAnswer | None:
        """Start one attempt or let it wait for room; None if none is left.

        A hedge never goes to an instance that was tried before or that named
        a limit.
        """
        if attempts.started >= attempts.call.max_attempts:
            return None

        def start(instance: ListedInstance) -> None:
            attempts.offer = None
            self._start_attempt(attempts, instance)

        def refuse(refusal: AdmissionRefusal) -> None:
            attempts.offer = None
            attempts.outcome_sender.send_nowait(refusal)

        offer = CallOffer(
            attempts.call,
            attempts.tried,
            bool(attempts.arrivals or attempts.running),
            bool(attempts.running),
            attempts.may_refuse,
            start,
            refuse,
        )
        answer = self._admission.request(offer, trio.current_time())
        if isinstance(answer, Waiting):
            attempts.offer = offer
        return answer

    def withdraw(self, attempts: CallAttempts) -> None:
        """Let a call wait for room no longer."""
        if attempts.offer is not None:
            self._admission.withdraw(attempts.offer)
            attempts.offer = None
