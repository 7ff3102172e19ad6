"""Forwarding of calls, with retries and hedging where the route allows it."""

from dataclasses import replace

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
from ..ports.sampler import SamplerCall
from ..ports.sampler import SamplerClient
from ..ports.sampler import SamplerResponse
from ..ports.upstream import UpstreamError
from ..ports.upstream import UpstreamLimitError
from ..ports.upstream import UpstreamNotSentError
from ..routing.instances import ListedInstance
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .attempts import AttemptEvent
from .attempts import CallAttempts
from .health import InstanceHealth
from .models import CallFailure
from .models import CallOutcome
from .models import CallResponse
from .models import FailureKind
from .models import ForwardCall
from .selection import choose_permit_wait_s
from .selection import InstanceSelector

SUCCESSES = range(200, 300)
SERVER_ERRORS = range(500, 600)
# With these, an instance that didn't run a call says that it is full.
FULL_STATUSES = (429, 503)


class Forwarder:
    """Send calls to the instances of an upstream until one responds."""

    def __init__(
        self,
        samplers: SamplerClient,
        selector: InstanceSelector,
        health: InstanceHealth,
        crashes: CrashWatch,
        admission: CallAdmission,
        metrics: Metrics,
    ) -> None:
        """Initialize; `selector` picks the instances."""
        self._samplers = samplers
        self.selector = selector
        self._health = health
        self._crashes = crashes
        self._admission = admission
        self._metrics = metrics
        self._nursery: trio.Nursery | None = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the attempts, including those whose call has ended."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._admission.run)
            task_status.started()
            await trio.sleep_forever()

    async def forward(self, call: ForwardCall) -> CallOutcome:
        """Return the outcome; a failure says whether the call may have run.

        Attempts that are no longer needed continue until the instance's own
        deadline: it ends the call by itself, and closing the connection
        instead would be expensive.
        """
        is_trial = False
        if call.fingerprint:
            assessment = await self._crashes.admit(call.fingerprint)
            if assessment.status is RequestStatus.SUSPENDED:
                return suspend_call(call, assessment)
            is_trial = assessment.status is RequestStatus.TRIAL
            if assessment.status is not RequestStatus.FREE:
                call = replace(call, hedged=False)
        sender, outcomes = trio.open_memory_channel[AttemptEvent](64)
        attempts = CallAttempts(call, sender, is_trial=is_trial)
        outcome: CallOutcome | None = None
        try:
            with trio.move_on_at(call.give_up_at):
                outcome = await self._run_attempts(attempts, outcomes)
        except trio.Cancelled:
            attempts.set_deadline(float("-inf"))
            raise
        finally:
            self._withdraw(attempts)
        attempts.set_deadline(call.give_up_at + const.ATTEMPT_GRACE_S)
        if outcome is not None:
            return outcome
        if attempts.server_error is not None:
            return attempts.server_error
        suspension = self._find_suspension(attempts)
        if suspension is not None and attempts.may_refuse():
            return suspend_call(call, suspension)
        may_have_run = attempts.may_have_run or attempts.running > 0
        kind = FailureKind.LOST if may_have_run else FailureKind.NOT_RUN
        if attempts.running:
            attempts.detail = (
                f"{attempts.running} attempts got no response in time"
            )
        log_event(
            "call_given_up",
            request=call.request_id,
            route=call.route.name,
            tried=sorted(attempts.tried),
            fault=kind.value,
            detail=attempts.detail,
        )
        expected_s = attempts.expected_s
        if expected_s is None:
            expected_s = self.selector.estimate_wait_s(call.route)
        return CallFailure(kind, attempts.detail, expected_s)

    async def _run_attempts(
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
            if attempts.may_refuse() and trio.current_time() >= refuse_at:
                return None
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
                        if (
                            attempts.may_refuse()
                            and not self.selector.may_wait(
                                call, attempts.permit_wait_until
                            )
                        ):
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
                    status in SERVER_ERRORS and call.route.is_repeatable
                ):
                    attempts.server_error = outcome
                case CallResponse():
                    return outcome
                case CallFailure(FailureKind.NOT_RUN):
                    attempts.started -= 1
                    attempts.refusals += 1
                    attempts.detail = outcome.detail
                    if attempts.refusals >= const.MAX_REFUSALS:
                        if (
                            attempts.may_refuse()
                            and not self.selector.may_wait(
                                call, attempts.permit_wait_until
                            )
                        ):
                            return None
                        await trio.sleep(const.RETRY_DELAY_S)
                        attempts.tried.clear()
                case CallFailure(FailureKind.LOST):
                    attempts.may_have_run = True
                    attempts.detail = outcome.detail
                    if not call.route.is_repeatable:
                        return outcome

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
            or self._find_suspension(attempts) is not None
        )

    def _find_suspension(
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
        """Return whether a further attempt may run in parallel.

        Under pressure only when the others run where nothing is answered.
        """
        call = attempts.call
        now = trio.current_time()
        return (
            call.hedged
            and not attempts.crashes
            and call.route.is_repeatable
            and attempts.started < call.max_attempts
            and attempts.started > 0
            and not any(
                self._admission.is_pressed(instance, now)
                and not self._admission.is_stuck(instance, now)
                for instance in attempts.running_at
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
            at = refuse_at if attempts.may_refuse() else float("inf")
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

    def _withdraw(self, attempts: CallAttempts) -> None:
        """Let a call wait for room no longer."""
        if attempts.offer is not None:
            self._admission.withdraw(attempts.offer)
            attempts.offer = None

    def _start_attempt(
        self, attempts: CallAttempts, instance: ListedInstance
    ) -> None:
        """Start one attempt at an instance."""
        attempts.tried.add(instance.name)
        attempts.started += 1
        attempts.running += 1
        attempts.running_at.append(instance)
        self._admission.record_sent(instance, trio.current_time())
        self._health.get_state(instance.name).in_flight += 1
        assert self._nursery is not None, "run() is not running"
        scope = trio.CancelScope()
        attempts.cancel_scopes.append(scope)
        self._nursery.start_soon(self._run_attempt, attempts, instance, scope)

    async def _run_attempt(
        self,
        attempts: CallAttempts,
        instance: ListedInstance,
        scope: trio.CancelScope,
    ) -> None:
        """Call an instance and send the outcome to the waiting call."""
        outcome: CallOutcome = CallFailure(
            FailureKind.LOST, "attempt cancelled"
        )
        try:
            with scope:
                outcome = await self._call_instance(attempts, instance)
        finally:
            self._health.get_state(instance.name).in_flight -= 1
            attempts.running_at.remove(instance)
        attempts.outcome_sender.send_nowait(outcome)
        self._admission.record_end(
            instance, isinstance(outcome, CallResponse), trio.current_time()
        )

    async def _call_instance(
        self, attempts: CallAttempts, instance: ListedInstance
    ) -> CallOutcome:
        """Call an instance, and record load, duration and failures."""
        call = attempts.call
        started_at = trio.current_time()
        sampler_call = SamplerCall(
            call.request_id,
            call.method,
            call.target,
            call.headers,
            call.body,
            call.give_up_at - started_at,
            urgency=call.route.priority,
            max_wait_s=max(0.0, attempts.permit_wait_until - started_at),
        )
        sent = True
        try:
            async with self._samplers.call(instance, sampler_call) as response:
                outcome = await self._read_response(response, instance)
        except UpstreamLimitError as error:
            return CallFailure(FailureKind.NOT_RUN, str(error))
        except UpstreamNotSentError as error:
            sent = False
            outcome = CallFailure(FailureKind.NOT_RUN, str(error))
        except UpstreamError as error:
            outcome = CallFailure(FailureKind.LOST, str(error))
            if call.fingerprint:
                attempts.crashes += await self._crashes.inspect_loss(
                    instance, call.fingerprint, call.request_id
                )
        attempts.arrivals += sent
        if call.fingerprint and isinstance(outcome, CallResponse):
            self._crashes.record_response(call.fingerprint)
        now = trio.current_time()
        self._record_outcome(
            instance.name, outcome, now - started_at, sent, now
        )
        return outcome

    async def _read_response(
        self, response: SamplerResponse, instance: ListedInstance
    ) -> CallOutcome:
        """Read a response; a 2xx that is encoded or not signed is lost."""
        name = instance.name
        now = trio.current_time()
        self._health.record_load(name, response.load, now)
        body = await response.read_body()
        is_rejected = response.not_run and response.status in FULL_STATUSES
        if is_rejected or not response.not_run:
            self._admission.record_response(
                instance, response.load, is_rejected, trio.current_time()
            )
        if response.not_run:
            return CallFailure(
                FailureKind.NOT_RUN, f"{name}: status {response.status}"
            )
        encoded = any(
            n.lower() == "content-encoding" for n, _ in response.headers
        )
        if response.status in SUCCESSES and (encoded or not response.stamp):
            return CallFailure(
                FailureKind.LOST,
                f"{name}: response is encoded or not signed",
            )
        return CallResponse(
            response.status, response.headers, body, response.stamp, name
        )

    def _record_outcome(
        self,
        name: str,
        outcome: CallOutcome,
        duration_s: float,
        sent: bool,
        now: float,
    ) -> None:
        """Update health, metrics and log after an attempt."""
        match outcome:
            case CallResponse(status=status) if status not in SERVER_ERRORS:
                self._health.record_response(name, duration_s, None, now)
            case CallResponse():
                self._metrics.count("upstream_errors")
            case CallFailure(FailureKind.NOT_RUN) if sent:
                self._metrics.count("upstream_refusals")
            case CallFailure(detail=detail):
                self._metrics.count("upstream_failures")
                self._health.record_failure(name, now)
                log_event("attempt_failed", instance=name, detail=detail)


def suspend_call(
    call: ForwardCall, assessment: CrashAssessment
) -> CallFailure:
    """Log and return the refusal of a call that crashes instances."""
    detail = (
        f"the request crashes the instances that run it: {assessment.crashes}"
    )
    log_event(
        "call_suspended",
        request=call.request_id,
        route=call.route.name,
        fingerprint=call.fingerprint,
        crashes=assessment.crashes,
        trial=assessment.trial,
        wait_s=round(assessment.wait_s, 1),
    )
    return CallFailure(FailureKind.SUSPENDED, detail, assessment.wait_s)
