"""Support forwarding a stream of events as it comes.

A stream that breaks off goes on at another instance after its last whole
event, if its route allows it; what callers get is one answer with the head
of the first instance.
"""

from dataclasses import dataclass
from random import Random

import trio

from . import const
from ..ports.caller import CallerSink
from ..ports.sampler import SamplerCall
from ..ports.sampler import SamplerClient
from ..ports.sampler import SamplerResponse
from ..ports.upstream import UpstreamError
from ..ports.upstream import UpstreamNotSentError
from ..routing.instances import ListedInstance
from ..telemetry.logs import log_event
from .coordinator import Forwarder
from .health import InstanceHealth
from .models import Failed
from .models import Fault
from .models import ForwardCall

STATUS_OK = 200


@dataclass(slots=True)
class StreamState:
    """Hold how far a stream is.

    `last_event` is what its caller has, 0 for nothing; `started` tells that
    the head was sent, `maybe_run` that an instance may have run the call.
    """

    last_event: int = 0
    started: bool = False
    maybe_run: bool = False
    attempts: int = 0


class StreamForwarder:
    """Forward streams."""

    def __init__(
        self,
        samplers: SamplerClient,
        forwarder: Forwarder,
        health: InstanceHealth,
        rng: Random,
    ) -> None:
        """Take the ways to instances."""
        self._samplers = samplers
        self._forwarder = forwarder
        self._health = health
        self._rng = rng

    async def forward(
        self, call: ForwardCall, sink: CallerSink
    ) -> Failed | None:
        """Send a stream to a caller; return a fault if nothing was sent.

        One that fails midway for good is left unfinished, so that it never
        looks whole.
        """
        state = StreamState()
        tried: set[str] = set()
        detail = "no instance"
        while state.attempts < call.max_attempts:
            now = trio.current_time()
            instance = self._forwarder.choose(call.route, tried, now)
            if now >= call.give_up_at and not state.started:
                break
            if instance is None:
                await trio.sleep(const.FULL_PAUSE_S)
                continue
            tried.add(instance.name)
            try:
                if await self._relay(call, instance, state, sink):
                    return None
            except UpstreamNotSentError as error:
                detail = str(error)
                self._health.note_failure(instance.name, now)
                await trio.sleep(const.FULL_PAUSE_S)
            except UpstreamError as error:
                detail = str(error)
                state.maybe_run = True
                state.attempts += 1
                self._health.note_failure(instance.name, now, severe=False)
                log_event(
                    "stream_broken",
                    request=call.request_id,
                    instance=instance.name,
                    events=state.last_event,
                    detail=detail,
                )
                if not call.route.is_repeatable:
                    break
        if state.started:
            return None
        fault = Fault.LOST if state.maybe_run else Fault.NOT_RUN
        return Failed(fault, detail)

    async def _relay(
        self,
        call: ForwardCall,
        instance: ListedInstance,
        state: StreamState,
        sink: CallerSink,
    ) -> bool:
        """Relay one instance's answer; False when it did not run the call."""
        sampler_call = SamplerCall(
            call.request_id,
            call.method,
            call.target,
            call.headers,
            call.body,
            max(0.001, call.give_up_at - trio.current_time()),
            after_event=state.last_event or None,
        )
        async with self._samplers.call(instance, sampler_call) as answer:
            if answer.not_run:
                await answer.read_body()
                await trio.sleep(const.FULL_PAUSE_S)
                return False
            if answer.status != STATUS_OK:
                return await self._pass_on(answer, state, sink)
            state.maybe_run = True
            if not state.started:
                state.started = True
                await sink.start(answer.status, answer.headers)
            async for event in answer.iter_events():
                if event.number != state.last_event + 1:
                    raise UpstreamError("events out of order")
                await sink.write(event.raw)
                state.last_event = event.number
        await sink.finish()
        return True

    async def _pass_on(
        self, answer: SamplerResponse, state: StreamState, sink: CallerSink
    ) -> bool:
        """Pass an answer on that is no stream."""
        body = await answer.read_body()
        if state.started:
            raise UpstreamError(f"status {answer.status} midway")
        state.started = True
        await sink.send_response(answer.status, answer.headers, body)
        return True
