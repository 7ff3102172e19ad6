"""HTTP server of the plain service, which counts its runs."""

from collections import Counter

import msgspec
from pistachiospar.adapters.http.exchange import Exchange
from pistachiospar.adapters.http.models import HttpRequest
import trio

from ..serving.models import handle_fault_request
from ..serving.models import send_json


class ServiceFaults(msgspec.Struct):
    """The faults of the service; delays are in seconds.

    `drop_answers` and `cut_answers` count down the calls that run but get no
    response, or a truncated one.
    """

    delay_s: float = 0.0
    drop_answers: int = 0
    cut_answers: int = 0


class ServiceSettings(msgspec.Struct):
    """The settings of the service."""

    name: str = "service"
    faults: ServiceFaults = msgspec.field(default_factory=ServiceFaults)


class ServiceResponse(msgspec.Struct):
    """The response to a call, which echoes the request.

    `run` is the number of runs of its key so far.
    """

    service: str
    method: str
    path: str
    echo: str
    run: int


class ServiceHandler:
    """A handler of any path that counts runs by key.

    The key is the idempotency key, or else the body, or else the path.
    """

    def __init__(self, settings: ServiceSettings) -> None:
        """Create a handler without runs."""
        self.name = settings.name
        self.faults = settings.faults
        self.runs: Counter[str] = Counter()

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request with the faults that are set."""
        if await handle_fault_request(self.faults, request, exchange):
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
        response = ServiceResponse(
            self.name, request.method, request.path, echo, self.runs[key]
        )
        if self.faults.cut_answers > 0:
            self.faults.cut_answers -= 1
            await exchange.start(200, [("Transfer-Encoding", "chunked")])
            await exchange.write(msgspec.json.encode(response)[:10])
            return
        await send_json(exchange, response)
