"""Forwarding of event streams while they arrive.

If the route allows it, an interrupted stream is resumed after its last
complete event, at another instance of the software version that began it. The
caller gets a single response, with status and headers of the first instance.
"""

from dataclasses import dataclass
import math

import trio

from . import const
from ..crashes.const import MAX_CRASHES_PER_STREAM
from ..crashes.coordinator import CrashWatch
from ..crashes.table import RequestStatus
from ..ports.caller_response import CallerSink
from ..ports.sampler import SamplerCall
from ..ports.sampler import SamplerClient
from ..ports.sampler import SamplerResponse
from ..ports.upstream import UpstreamError
from ..ports.upstream import UpstreamLimitError
from ..ports.upstream import UpstreamNotSentError
from ..routing.instances import ListedInstance
from ..routing.instances import SoftwareOrigin
from ..stream_origins.coordinator import StreamOrigins
from ..stream_origins.decisions import decide_origin
from ..stream_origins.decisions import describe_decision
from ..stream_origins.decisions import OriginMismatch
from ..stream_origins.decisions import OriginUnknown
from ..stream_origins.messages import StreamOrigin
from ..telemetry.logs import log_event
from .coordinator import suspend_call
from .health import InstanceHealth
from .lifetimes import confirm_lifetime
from .models import CallFailure
from .models import FailureKind
from .models import ForwardCall
from .selection import choose_permit_wait_s
from .selection import InstanceSelector
from .silences import Silence
from .silences import SilenceKey
from .silences import SilenceTable

STATUS_OK = 200


@dataclass(slots=True)
class StreamState:
    """Progress of one stream.

    `last_event` is the number of the last event sent to the caller, 0 for
    none, `origin` what generated them, and `is_recorded` set once that was
    recorded here. `started` is set once status and
    headers were sent, `may_have_run` once an instance may have run the call;
    `crashes` counts the instances that ended under it. An interrupted stream
    ends unless it goes on before `resume_until`.
    """

    last_event: int = 0
    origin: SoftwareOrigin | None = None
    is_recorded: bool = False
    resume_until: float = float("inf")
    started: bool = False
    may_have_run: bool = False
    attempts: int = 0
    crashes: int = 0


class StreamForwarder:
    """Forward event streams, resuming them at other instances."""

    def __init__(
        self,
        samplers: SamplerClient,
        selector: InstanceSelector,
        health: InstanceHealth,
        crashes: CrashWatch,
        origins: StreamOrigins,
    ) -> None:
        """Initialize; `selector` picks the instances."""
        self._samplers = samplers
        self._selector = selector
        self._health = health
        self._crashes = crashes
        self._origins = origins
        self._silences = SilenceTable()

    async def forward(
        self, call: ForwardCall, sink: CallerSink
    ) -> CallFailure | None:
        """Send a stream to a caller; return a failure if nothing was sent.

        A stream that can't be resumed is left unfinished, so that the caller
        doesn't take it for a complete one.
        """
        state = StreamState()
        max_attempts = call.max_attempts
        if call.fingerprint:
            assessment = await self._crashes.admit(call.fingerprint)
            if assessment.status is RequestStatus.SUSPENDED:
                return suspend_call(call, assessment)
            if assessment.status is RequestStatus.TRIAL:
                max_attempts = 1
        if call.after_event:
            failure = await self._resume_for_caller(call, state)
            if failure is not None:
                return failure
        permit_wait_until = trio.current_time() + choose_permit_wait_s(call)
        tried: set[str] = set()
        detail = "no instance available"
        unrecorded = 0
        while state.attempts < max_attempts:
            now = trio.current_time()
            instance = self._selector.pick_instance(
                call, tried, now, state.origin
            )
            if now >= min(call.give_up_at, state.resume_until):
                break
            if instance is None:
                if not self._may_wait(call, state, permit_wait_until):
                    break
                await trio.sleep(const.RETRY_DELAY_S)
                continue
            tried.add(instance.name)
            if state.origin is not None and not await confirm_lifetime(
                self._samplers, instance
            ):
                detail = f"{instance.name} may run another version by now"
                await trio.sleep(const.LIFETIME_RETRY_DELAY_S)
                continue
            if (
                call.route.resumable
                and not await self._origins.software.record_version(
                    instance.upstream, instance.software
                )
            ):
                detail = f"version {instance.software} could not be recorded"
                unrecorded += 1
                if unrecorded >= const.MAX_UNRECORDED_ATTEMPTS:
                    break
                continue
            max_wait_s = max(0.0, permit_wait_until - trio.current_time())
            try:
                if await self._relay(call, instance, state, sink, max_wait_s):
                    return None
            except UpstreamLimitError as error:
                detail = str(error)
            except UpstreamNotSentError as error:
                detail = str(error)
                self._health.record_failure(instance.name, now)
                await trio.sleep(const.RETRY_DELAY_S)
            except UpstreamError as error:
                detail = str(error)
                state.may_have_run = True
                state.attempts += 1
                if state.started:
                    state.resume_until = (
                        trio.current_time() + const.RESUME_PATIENCE_S
                    )
                if call.fingerprint:
                    state.crashes += await self._crashes.inspect_loss(
                        instance, call.fingerprint, call.request_id
                    )
                self._health.record_failure(instance.name, now, severe=False)
                log_event(
                    "stream_interrupted",
                    request=call.request_id,
                    instance=instance.name,
                    software=instance.software,
                    events=state.last_event,
                    detail=detail,
                )
                if not call.route.is_repeatable or self._has_to_stop(
                    call, state
                ):
                    break
        if state.started:
            return None
        kind = FailureKind.LOST if state.may_have_run else FailureKind.NOT_RUN
        expected_s = self._selector.estimate_wait_s(call.route, state.origin)
        return CallFailure(kind, detail, expected_s)

    async def _resume_for_caller(
        self, call: ForwardCall, state: StreamState
    ) -> CallFailure | None:
        """Find out where a stream goes on; return why it can't."""
        upstreams = [share.upstream for share in call.route.shares]
        findings = await self._origins.find(call.stream, upstreams)
        decided = decide_origin(findings, call.fingerprint)
        log_event(
            "stream_origin_decided",
            request=call.request_id,
            resumes=call.stream,
            after_event=call.after_event,
            recorded=findings.origin is not None,
            asked=findings.asked,
            answered=findings.answered,
            decision=describe_decision(decided),
        )
        match decided:
            case OriginMismatch():
                detail = f"request {call.stream} began another stream"
                return CallFailure(FailureKind.OTHER_STREAM, detail)
            case OriginUnknown(detail):
                return CallFailure(FailureKind.ORIGIN_UNKNOWN, detail)
        state.origin = decided
        state.last_event = call.after_event
        if (
            decided.upstream not in upstreams
            or self._selector.estimate_wait_s(call.route, decided) is None
        ):
            detail = (
                f"no instance of {decided.upstream} {decided.software} is left"
            )
            return CallFailure(FailureKind.VERSION_GONE, detail)
        return None

    async def _record_origin(
        self, call: ForwardCall, instance: ListedInstance, state: StreamState
    ) -> None:
        """Record what generates a stream, before its next event is sent."""
        state.origin = instance.origin
        state.is_recorded = True
        await self._origins.record(
            StreamOrigin(
                call.stream or call.request_id,
                call.fingerprint,
                instance.upstream,
                instance.software,
            )
        )

    def _may_wait(
        self, call: ForwardCall, state: StreamState, permit_wait_until: float
    ) -> bool:
        """Return whether a stream without an instance waits for one.

        One that has begun doesn't once no instance of its version is left.
        """
        if state.origin is not None:
            wait_s = self._selector.estimate_wait_s(call.route, state.origin)
            if wait_s is None:
                return False
        return state.may_have_run or self._selector.may_wait(
            call, permit_wait_until, state.origin
        )

    def _has_to_stop(self, call: ForwardCall, state: StreamState) -> bool:
        """Return whether a stream crashed too many instances to go on."""
        if not state.crashes:
            return False
        assessment = self._crashes.find_assessment(call.fingerprint)
        return state.crashes >= MAX_CRASHES_PER_STREAM or (
            assessment.status
            not in (RequestStatus.FREE, RequestStatus.SUSPECT)
        )

    async def _relay(
        self,
        call: ForwardCall,
        instance: ListedInstance,
        state: StreamState,
        sink: CallerSink,
        max_wait_s: float,
    ) -> bool:
        """Relay an instance's response; False when it didn't run the call.

        It waits for an instance at its limit for at most `max_wait_s`.
        """
        sampler_call = SamplerCall(
            call.request_id,
            call.method,
            call.target,
            call.headers,
            call.body,
            max(0.001, call.give_up_at - trio.current_time()),
            after_event=state.last_event or None,
            urgency=call.route.priority,
            max_wait_s=max_wait_s,
            organisation=call.organisation,
        )
        now = trio.current_time()
        with self._health.track_call(
            instance.name,
            instance.slots,
            call.classify(instance.upstream),
            now,
        ) as open_call:
            silence = Silence(
                self._silences,
                SilenceKey(instance.upstream, call.route.name, True),
                call.give_up_at,
                open_call.is_queued,
            )
            silence.begin(now, max_wait_s)
            with silence.scope:
                is_run = await self._relay_response(
                    call, sampler_call, instance, state, sink, silence
                )
            if silence.scope.cancelled_caught:
                state.may_have_run = True
                raise UpstreamError(silence.describe())
        if is_run and state.last_event and not sampler_call.after_event:
            # A resumed stream costs less than the whole one.
            now = trio.current_time()
            self._health.record_cost(instance.name, open_call, now)
        return is_run

    async def _relay_response(
        self,
        call: ForwardCall,
        sampler_call: SamplerCall,
        instance: ListedInstance,
        state: StreamState,
        sink: CallerSink,
        silence: Silence,
    ) -> bool:
        """Send a call and relay the response, as `_relay` does."""
        async with self._samplers.call(instance, sampler_call) as response:
            now = trio.current_time()
            self._health.record_load(instance.name, response.load, now)
            if response.not_run:
                await response.read_body()
                await trio.sleep(const.RETRY_DELAY_S)
                return False
            if response.status != STATUS_OK:
                return await self._send_response(response, state, sink)
            if not response.stamp:
                raise UpstreamError("stream is not signed")
            state.may_have_run = True
            log_event(
                "stream_attempt_started",
                request=call.request_id,
                instance=instance.name,
                software=instance.software,
                after_event=state.last_event,
            )
            if not state.started:
                state.started = True
                await sink.start(response.status, response.headers)
            async for event in response.iter_events():
                # The caller may take its time to read.
                silence.end(trio.current_time())
                if event.number != state.last_event + 1:
                    raise UpstreamError("stream events are out of order")
                state.resume_until = float("inf")
                if call.meter:
                    call.meter.record_first_event()
                if not state.is_recorded:
                    await self._record_origin(call, instance, state)
                await sink.write(event.raw)
                state.last_event = event.number
                silence.begin(trio.current_time())
            silence.scope.deadline = math.inf
        await sink.finish()
        if call.fingerprint:
            self._crashes.record_response(call.fingerprint)
        return True

    async def _send_response(
        self, response: SamplerResponse, state: StreamState, sink: CallerSink
    ) -> bool:
        """Send a response that isn't a stream to the caller."""
        body = await response.read_body()
        if state.started:
            raise UpstreamError(
                f"status {response.status} on resuming a stream"
            )
        state.started = True
        await sink.send_response(response.status, response.headers, body)
        return True
