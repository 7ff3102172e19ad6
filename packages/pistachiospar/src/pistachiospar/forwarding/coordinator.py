"""Forwarding of calls, with retries and hedging where the route allows it."""

from dataclasses import replace

import trio

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


class Forwarder:
    """Send calls to the instances of an upstream until one responds."""

    def __init__(
        self,
        samplers: SamplerClient,
        selector: InstanceSelector,
        health: InstanceHealth,
        crashes: CrashWatch,
        metrics: Metrics,
    ) -> None:
        """Initialize; `selector` picks the instances."""
        self._samplers = samplers
        self.selector = selector
        self._health = health
        self._crashes = crashes
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
        sender, outcomes = trio.open_memory_channel[CallOutcome](64)
        attempts = CallAttempts(call, sender, is_trial=is_trial)
        outcome: CallOutcome | None = None
        try:
            with trio.move_on_at(call.give_up_at):
                outcome = await self._run_attempts(attempts, outcomes)
        except trio.Cancelled:
            attempts.set_deadline(float("-inf"))
            raise
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
        return CallFailure(
            kind, attempts.detail, self.selector.estimate_wait_s(call.route)
        )

    async def _run_attempts(
        self,
        attempts: CallAttempts,
        outcomes: trio.MemoryReceiveChannel[CallOutcome],
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
            if attempts.running == 0 or self._may_hedge(attempts):
                started = self._start_attempt(attempts)
                if not started and attempts.running == 0:
                    if attempts.started >= call.max_attempts:
                        return attempts.server_error
                    if attempts.may_refuse() and not self.selector.may_wait(
                        call, attempts.permit_wait_until
                    ):
                        return None
                    await trio.sleep(const.RETRY_DELAY_S)
                    continue
            outcome = await self._wait_for_outcome(attempts, outcomes)
            if outcome is None:
                continue
            attempts.running -= 1
            match outcome:
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
        """Return whether a further attempt may run in parallel."""
        call = attempts.call
        return (
            call.hedged
            and not attempts.crashes
            and call.route.is_repeatable
            and attempts.started < call.max_attempts
            and attempts.started > 0
        )

    async def _wait_for_outcome(
        self,
        attempts: CallAttempts,
        outcomes: trio.MemoryReceiveChannel[CallOutcome],
    ) -> CallOutcome | None:
        """Return an attempt's outcome; None when a hedge is due first."""
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

    def _start_attempt(self, attempts: CallAttempts) -> bool:
        """Start one attempt; False when no instance or attempt is left.

        A hedge never goes to an instance that was tried before or that named
        a limit.
        """
        if attempts.started >= attempts.call.max_attempts:
            return False
        now = trio.current_time()
        instance = self.selector.pick_instance(
            attempts.call, attempts.tried, now
        )
        if instance is None:
            return False
        if attempts.running and (
            instance.name in attempts.tried
            or not self.selector.may_hedge_at(instance)
        ):
            return False
        attempts.tried.add(instance.name)
        attempts.started += 1
        attempts.running += 1
        assert self._nursery is not None, "run() is not running"
        scope = trio.CancelScope()
        attempts.cancel_scopes.append(scope)
        self._nursery.start_soon(self._run_attempt, attempts, instance, scope)
        return True

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
        with scope:
            outcome = await self._call_instance(attempts, instance)
        attempts.outcome_sender.send_nowait(outcome)

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
            organisation=call.organisation,
        )
        sent = True
        metered_at_s = call.meter.record_sent() if call.meter else 0.0
        try:
            with self._health.track_call(
                instance.name,
                instance.slots,
                call.classify(instance.upstream),
                started_at,
            ) as open_call:
                async with self._samplers.call(
                    instance, sampler_call
                ) as response:
                    outcome = await self._read_response(
                        response, instance.name
                    )
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
        self, response: SamplerResponse, name: str
    ) -> CallOutcome:
        """Read a response; a 2xx that is encoded or not signed is lost."""
        now = trio.current_time()
        self._health.record_load(name, response.load, now)
        body = await response.read_body()
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
