"""Support the plain service: every run is counted by its key."""

from collections import Counter

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.server import Exchange
import trio

from ..serving.models import send_json
from ..serving.models import take_faults


class ServiceFaults(msgspec.Struct):
    """Set the faults of the service; delays are in seconds.

    `drop_answers` and `cut_answers` count down: so many calls are run and
    not answered, or answered in part.
    """

    delay_s: float = 0.0
    drop_answers: int = 0
    cut_answers: int = 0


class ServiceSettings(msgspec.Struct):
    """Hold the settings."""

    name: str = "service"
    faults: ServiceFaults = msgspec.field(default_factory=ServiceFaults)


class ServiceAnswer(msgspec.Struct):
    """Answer a call with what was asked."""

    service: str
    method: str
    path: str
    echo: str
    run: int


class ServiceHandler:
    """Serve any path; count runs by the idempotency key or body."""

    def __init__(self, settings: ServiceSettings) -> None:
        """Begin with no run."""
        self.name = settings.name
        self.faults = settings.faults
        self.runs: Counter[str] = Counter()

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request."""
        if await take_faults(self.faults, request, exchange):
            return
        if request.path == "/admin/runs":
            await send_json(exchange, dict(self.runs))
            return
        echo = request.body.decode("utf-8", "replace")
        key = request.headers.get("idempotency-key") or echo or request.path
        self.runs[key] += 1
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        if self.faults.drop_answers > 0:
            self.faults.drop_answers -= 1
            return
        answer = ServiceAnswer(
            self.name, request.method, request.path, echo, self.runs[key]
        )
        if self.faults.cut_answers > 0:
            self.faults.cut_answers -= 1
            await exchange.start(200, [("Transfer-Encoding", "chunked")])
            await exchange.write(msgspec.json.encode(answer)[:10])
            return
        await send_json(exchange, answer)
