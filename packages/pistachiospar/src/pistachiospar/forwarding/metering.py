"""Forwarding of callers' calls, which are counted for the usage report."""

from dataclasses import replace

from ..ports.caller_response import CallerSink
from ..usage.recorder import UsageRecorder
from .coordinator import Forwarder
from .models import CallOutcome
from .models import ForwardCall
from .streams import StreamForwarder


class MeteredForwarder:
    """Forward plain calls and streams, and count those of organisations."""

    def __init__(
        self,
        forwarder: Forwarder,
        streams: StreamForwarder,
        recorder: UsageRecorder | None,
    ) -> None:
        """Initialize; `recorder` is None when usage isn't reported."""
        self._forwarder = forwarder
        self._streams = streams
        self._recorder = recorder

    async def forward(
        self, call: ForwardCall, sink: CallerSink
    ) -> CallOutcome | None:
        """Forward a call; return None for a stream that was sent.

        A stream that is resumed was counted where it began.
        """
        if not self._recorder or not call.organisation or call.after_event:
            return await self._forward(call, sink)
        meter = self._recorder.open_call(call.organisation)
        try:
            return await self._forward(replace(call, meter=meter), sink)
        finally:
            self._recorder.close_call(meter)

    async def _forward(
        self, call: ForwardCall, sink: CallerSink
    ) -> CallOutcome | None:
        """Forward a call that is metered if it has a meter."""
        if call.route.stream:
            return await self._streams.forward(call, sink)
        return await self._forwarder.forward(call)
