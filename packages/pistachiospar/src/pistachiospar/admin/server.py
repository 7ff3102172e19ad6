"""HTTP handler of the admin port."""

from collections.abc import Callable

import msgspec
import trio

from ..adapters.http.exchange import Exchange
from ..adapters.http.models import HttpRequest
from . import const
from ..const import CONTENT_TYPE_JSON
from ..helpers.explanations import Explanations
from ..helpers.problems import refuse_input
from ..telemetry.const import CONTENT_TYPE_METRICS
from ..telemetry.exporter import MetricsExporter
from .diagnostics import redact
from .models import ExplainedDecision

JSON_HEADERS = [("Content-Type", CONTENT_TYPE_JSON)]


class AdminHandler:
    """Serve health, state, metrics and decisions of one process."""

    def __init__(
        self,
        exporter: MetricsExporter,
        explanations: Explanations,
        is_ready: Callable[[], bool],
        dump_state: Callable[[float], msgspec.Struct],
    ) -> None:
        """Set up; `dump_state` gets the monotonic time in seconds."""
        self._exporter = exporter
        self._explanations = explanations
        self._is_ready = is_ready
        self._dump_state = dump_state

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request."""
        if request.method != "GET":
            problem = refuse_input("method-not-allowed", "use GET", 405)
            await exchange.send_problem(problem, [("Allow", "GET")])
            return
        path = request.path
        if path == const.PATH_HEALTH:
            await exchange.send_response(200, [], b"ok\n")
        elif path == const.PATH_READY:
            ready = self._is_ready()
            body = b"ready\n" if ready else b"not ready\n"
            await exchange.send_response(200 if ready else 503, [], body)
        elif path == const.PATH_STATE:
            state = self._dump_state(trio.current_time())
            data = msgspec.json.encode(redact(msgspec.to_builtins(state)))
            await exchange.send_response(200, JSON_HEADERS, data)
        elif path == const.PATH_METRICS:
            headers = [("Content-Type", CONTENT_TYPE_METRICS)]
            await exchange.send_response(200, headers, self._exporter.render())
        elif path.startswith(const.PATH_EXPLAIN):
            await self._send_decisions(path, exchange)
        else:
            problem = refuse_input("unknown-path", path, 404)
            await exchange.send_problem(problem)

    async def _send_decisions(self, path: str, exchange: Exchange) -> None:
        """Send the recorded decisions on a request."""
        request_id = path.removeprefix(const.PATH_EXPLAIN)
        recorded = self._explanations.list_decisions(request_id)
        if not recorded:
            problem = refuse_input("unknown-request", request_id, 404)
            await exchange.send_problem(problem)
            return
        now = trio.current_time()
        decisions = [
            ExplainedDecision(
                round(now - decision.time_s, 3),
                decision.decision,
                decision.reason,
            )
            for decision in recorded
        ]
        data = msgspec.json.encode(decisions)
        await exchange.send_response(200, JSON_HEADERS, data)
