"""Support passing an answer on to a caller, whole or as a stream."""

import trio

from ..adapters.http.models import Headers
from . import const
from ..const import HEADER_OUTCOME
from ..const import HEADER_REQUEST_ID
from ..const import HEADER_WEIGHT_VERSIONS
from ..const import OUTCOME_DONE
from ..link.messages import Answered
from ..membership.attempts import Attempt
from ..ports.caller import CallerSink
from ..ports.link import RunStream
from ..telemetry.metrics import Metrics
from .models import CallerRequest


class AnswerRelay:
    """Pass one answer on to the caller, whole or as a stream."""

    def __init__(
        self,
        request: CallerRequest,
        attempt: Attempt,
        sink: CallerSink,
        metrics: Metrics,
    ) -> None:
        """Begin with nothing passed on."""
        self._request = request
        self._attempt = attempt
        self._sink = sink
        self._metrics = metrics
        self.begun = False

    async def pass_on(self, answered: Answered, stream: RunStream) -> None:
        """Pass an answer on; raises LinkLostError when it is cut short."""
        self._attempt.record_received(0, trio.current_time())
        live = answered.content_type.startswith(const.EVENT_STREAM)
        buffer = bytearray()
        async for chunk in stream.iter_chunks():
            self._attempt.record_received(len(chunk), trio.current_time())
            if not self.begun and not live:
                buffer += chunk
                if len(buffer) <= const.MAX_BUFFERED_BYTES:
                    continue
                chunk = bytes(buffer)
                buffer.clear()
            await self._start(answered)
            await self._sink.write(chunk)
        versions = stream.read_final_versions()
        self._metrics.count("answered_done")
        if self.begun or live:
            await self._start(answered)
            await self._sink.finish(_make_trailers(versions))
            return
        self.begun = True
        headers = self._make_headers(answered, versions)
        await self._sink.send_response(answered.status, headers, bytes(buffer))

    async def _start(self, answered: Answered) -> None:
        """Send the head once."""
        if self.begun:
            return
        self.begun = True
        headers = self._make_headers(answered, answered.versions)
        headers.append(("Transfer-Encoding", "chunked"))
        await self._sink.start(answered.status, headers)

    def _make_headers(
        self, answered: Answered, versions: list[int]
    ) -> Headers:
        """Make the headers of an answer."""
        headers = [
            ("Content-Type", answered.content_type),
            (HEADER_REQUEST_ID, self._request.request_id),
            (HEADER_OUTCOME, OUTCOME_DONE),
        ]
        return headers + _make_trailers(versions)


def _make_trailers(versions: list[int]) -> Headers:
    """Make the header that names the weight versions, if there are any."""
    if not versions:
        return []
    return [(HEADER_WEIGHT_VERSIONS, ",".join(str(v) for v in versions))]
