"""Forwarding of calls, with retries and hedging where the route allows it."""

from dataclasses import replace

import trio

from ..admission.coordinator import CallAdmission
from . import const
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
from ..telemetry.containment import contain_errors
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .attempt_loop import AttemptLoop
from .attempts import AttemptEvent
from .attempts import CallAttempts
from .health import InstanceHealth
from .health import OpenCall
from .models import CallFailure
from .models import CallOutcome
from .models import CallResponse
from .models import FailureKind
from .models import ForwardCall
from .selection import InstanceSelector

SUCCESSES = range(200, 300)
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
        self._loop = AttemptLoop(
            selector, crashes, admission, self._start_attempt
        )
        self._metrics = metrics
        self._nursery: trio.Nursery | None = None
        self._end_at = float("inf")
        self._waiting: set[trio.CancelScope] = set()

    def end_calls_by(self, at: float) -> None:
        """Let all calls end by a time, with what is known of them then."""
        self._end_at = at
        for scope in self._waiting:
            scope.deadline = min(scope.deadline, at)

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
            with trio.move_on_at(min(call.give_up_at, self._end_at)) as scope:
                self._waiting.add(scope)
                outcome = await self._loop.run(attempts, outcomes)
        except trio.Cancelled:
            attempts.set_deadline(float("-inf"))
            raise
        finally:
            self._waiting.discard(scope)
            self._loop.withdraw(attempts)
        attempts.set_deadline(call.give_up_at + const.ATTEMPT_GRACE_S)
        if outcome is not None:
            return outcome
        if attempts.server_error is not None:
            return attempts.server_error
        suspension = self._loop.find_suspension(attempts)
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

    def _start_attempt(
        self, attempts: CallAttempts, instance: ListedInstance
    ) -> None:
        """Start one attempt at an instance."""
        attempts.tried.add(instance.name)
        attempts.started += 1
        attempts.running += 1
        attempts.running_at.append(instance)
        now = trio.current_time()
        self._admission.rooms.record_sent(instance, now)
        # Calls that start before the task runs count already.
        number, open_call = self._health.start_call(
            instance.name,
            instance.slots,
            attempts.call.classify(instance.upstream),
            now,
        )
        assert self._nursery is not None, "run() is not running"
        scope = trio.CancelScope()
        attempts.cancel_scopes.append(scope)
        self._nursery.start_soon(
            self._run_attempt, attempts, instance, scope, number, open_call
        )

    async def _run_attempt(
        self,
        attempts: CallAttempts,
        instance: ListedInstance,
        scope: trio.CancelScope,
        number: int,
        open_call: OpenCall,
    ) -> None:
        """Call an instance and send the outcome to the waiting call."""
        outcome: CallOutcome = CallFailure(
            FailureKind.LOST, "attempt was cancelled or failed"
        )
        try:
            with (
                scope,
                contain_errors(
                    "call",
                    request=attempts.call.request_id,
                    instance=instance.name,
                ),
            ):
                outcome = await self._call_instance(
                    attempts, instance, open_call
                )
        finally:
            self._health.end_call(instance.name, number)
            attempts.running_at.remove(instance)
        attempts.outcome_sender.send_nowait(outcome)
        self._admission.record_end(
            instance, isinstance(outcome, CallResponse), trio.current_time()
        )

    async def _call_instance(
        self,
        attempts: CallAttempts,
        instance: ListedInstance,
        open_call: OpenCall,
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
            organisation=call.organisation,
        )
        sent = True
        metered_at_s = call.meter.record_sent() if call.meter else 0.0
        try:
            async with self._samplers.call(instance, sampler_call) as response:
                outcome = await self._read_response(response, instance)
        except UpstreamLimitError as error:
            if call.meter:
                call.meter.record_refused(metered_at_s)
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
        match outcome:
            case CallFailure(FailureKind.NOT_RUN) if call.meter:
                call.meter.record_refused(metered_at_s)
        attempts.arrivals += sent
        now = trio.current_time()
        if isinstance(outcome, CallResponse):
            if call.fingerprint:
                self._crashes.record_response(call.fingerprint)
            # A call may have waited at a limit, which costs the instance
            # nothing.
            if outcome.status in SUCCESSES and self.selector.may_hedge_at(
                instance
            ):
                self._health.record_cost(instance.name, open_call, now)
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
            self._admission.rooms.record_response(
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
            case CallResponse(status=status) if (
                status not in const.SERVER_ERRORS
            ):
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
