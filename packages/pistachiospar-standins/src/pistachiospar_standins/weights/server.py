"""HTTP server of the weight store: blobs by path, with a rate limit."""

from collections import Counter
from collections import deque

import msgspec
from pistachiospar.adapters.http.exchange import Exchange
from pistachiospar.adapters.http.models import HttpRequest
import trio

from ..serving.models import handle_fault_request
from ..serving.models import send_json

PATH_PREFIX = "/weights/"


class WeightsFaults(msgspec.Struct):
    """The faults of the store and its rate limit."""

    down: bool = False
    reads_per_s: int = 20


class WeightsSettings(msgspec.Struct):
    """The settings of the store; `blob_bytes` is the size of each blob."""

    blob_bytes: int = 4096
    faults: WeightsFaults = msgspec.field(default_factory=WeightsFaults)


class WeightsHandler:
    """A handler that serves weights and counts the reads of each path."""

    def __init__(self, settings: WeightsSettings) -> None:
        """Create a handler without reads."""
        self.faults = settings.faults
        self.reads: Counter[str] = Counter()
        self._blob_bytes = settings.blob_bytes
        self._recent_reads: deque[float] = deque()

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request; 429 over the rate limit, 404 while down."""
        if await handle_fault_request(self.faults, request, exchange):
            return
        if request.path == "/admin/reads":
            await send_json(exchange, dict(self.reads))
            return
        if self.faults.down or not request.path.startswith(PATH_PREFIX):
            await send_json(exchange, "not available", 404)
            return
        now = trio.current_time()
        while self._recent_reads and now - self._recent_reads[0] > 1.0:
            self._recent_reads.popleft()
        if len(self._recent_reads) >= self.faults.reads_per_s:
            headers = [("Retry-After", "1")]
            await exchange.send_response(429, headers, b"")
            return
        self._recent_reads.append(now)
        self.reads[request.path] += 1
        blob = request.path.encode().ljust(self._blob_bytes, b".")
        await exchange.send_response(200, [], blob[: self._blob_bytes])
