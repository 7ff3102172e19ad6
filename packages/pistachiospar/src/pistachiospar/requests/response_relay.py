"""Relay of a sidecar's response to the caller, buffered or as a stream."""

import trio

from ..adapters.http.models import Headers
from . import const
from ..const import HEADER_OUTCOME
from ..const import HEADER_REQUEST_ID
from ..const import HEADER_WEIGHT_VERSIONS
from ..const import OUTCOME_DONE
from ..link.messages import Answered
from ..membership.attempts import Attempt
from ..ports.caller_response import CallerSink
from ..ports.link import RunStream
from ..telemetry.metrics import Metrics
from .models import CallerRequest


class ResponseRelay:
    """Relay of one response; small ones are sent only once complete.

    `head_sent` says whether the caller has seen anything of it.
    """

    def __init__(
        self,
        request: CallerRequest,
        attempt: Attempt,
        sink: CallerSink,
        metrics: Metrics,
    ) -> None:
        """Report received bytes to `attempt`."""
        self._request = request
        self._attempt = attempt
        self._sink = sink
        self._metrics = metrics
        self.head_sent = False

    async def relay_response(
        self, answered: Answered, stream: RunStream
    ) -> None:
        """Relay a response; raises LinkLostError if it breaks off."""
        self._attempt.record_received(0, trio.current_time())
        streamed = answered.content_type.startswith(
            const.CONTENT_TYPE_EVENT_STREAM
        )
        buffer = bytearray()
        async for chunk in stream.iter_chunks():
            self._attempt.record_received(len(chunk), trio.current_time())
            if not self.head_sent and not streamed:
                buffer += chunk
                if len(buffer) <= const.MAX_BUFFERED_BYTES:
                    continue
                chunk = bytes(buffer)
                buffer.clear()
            await self._send_head(answered)
            await self._sink.write(chunk)
        versions = stream.read_final_versions()
        self._metrics.count("answered_done")
        if self.head_sent or streamed:
            await self._send_head(answered)
            await self._sink.finish(_make_version_headers(versions))
            return
        self.head_sent = True
        headers = self._make_headers(answered, versions)
        await self._sink.send_response(answered.status, headers, bytes(buffer))

    async def _send_head(self, answered: Answered) -> None:
        """Send the status and headers, unless they are sent."""
        if self.head_sent:
            return
        self.head_sent = True
        headers = self._make_headers(answered, answered.versions)
        headers.append(("Transfer-Encoding", "chunked"))
        await self._sink.start(answered.status, headers)

    def _make_headers(
        self, answered: Answered, versions: list[int]
    ) -> Headers:
        """Return the headers of a response."""
        headers = [
            ("Content-Type", answered.content_type),
            (HEADER_REQUEST_ID, self._request.request_id),
            (HEADER_OUTCOME, OUTCOME_DONE),
        ]
        return headers + _make_version_headers(versions)


def _make_version_headers(versions: list[int]) -> Headers:
    """Return the header that lists the weight versions, if there are any."""
    if not versions:
        return []
    return [(HEADER_WEIGHT_VERSIONS, ",".join(str(v) for v in versions))]
