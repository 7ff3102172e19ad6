"""Support the weight store: blobs by model and version, rate-limited."""

from collections import Counter
from collections import deque

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.server import Exchange
import trio

from ..serving.models import send_json
from ..serving.models import take_faults

PREFIX = "/weights/"


class WeightsFaults(msgspec.Struct):
    """Set the faults of the store."""

    down: bool = False
    reads_per_s: int = 20


class WeightsSettings(msgspec.Struct):
    """Hold the settings; the size is in bytes."""

    blob_bytes: int = 4096
    faults: WeightsFaults = msgspec.field(default_factory=WeightsFaults)


class WeightsHandler:
    """Serve weights within the rate limit."""

    def __init__(self, settings: WeightsSettings) -> None:
        """Begin with no read."""
        self.faults = settings.faults
        self.reads: Counter[str] = Counter()
        self._blob_bytes = settings.blob_bytes
        self._recent: deque[float] = deque()

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request."""
        if await take_faults(self.faults, request, exchange):
            return
        if request.path == "/admin/reads":
            await send_json(exchange, dict(self.reads))
            return
        if self.faults.down or not request.path.startswith(PREFIX):
            await send_json(exchange, "not to be had", 404)
            return
        now = trio.current_time()
        while self._recent and now - self._recent[0] > 1.0:
            self._recent.popleft()
        if len(self._recent) >= self.faults.reads_per_s:
            headers = [("Retry-After", "1")]
            await exchange.send_response(429, headers, b"")
            return
        self._recent.append(now)
        self.reads[request.path] += 1
        blob = request.path.encode().ljust(self._blob_bytes, b".")
        await exchange.send_response(200, [], blob[: self._blob_bytes])
