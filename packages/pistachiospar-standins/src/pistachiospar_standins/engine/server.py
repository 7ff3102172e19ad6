"""HTTP server of the engine, with OpenAI's completions API."""

from dataclasses import dataclass

import msgspec
from pistachiospar.adapters.engine import const
from pistachiospar.adapters.engine import models
from pistachiospar.adapters.http.exchange import Exchange
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.weight_store.client import HttpWeightFetcher
from result import Err
import trio

from ..serving.models import handle_fault_request
from ..serving.models import PATH_FAULTS
from ..serving.models import send_json
from .core import EngineCrashedError
from .core import EngineModel
from .core import EngineSettings

PATH_LOAD_REPORT = "/v1/load"
PATH_CACHE_EVENTS = "/v1/cache/events"
PATH_STATS = "/admin/stats"
MAX_WEIGHT_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class LoadSample:
    """The number of running calls at a time in seconds."""

    recorded_at: float
    running: int


class EngineHandler:
    """A handler that serves one engine."""

    def __init__(self, settings: EngineSettings) -> None:
        """Create an engine with nothing loaded."""
        self.engine = EngineModel(settings)
        self._loads: list[LoadSample] = []

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request; no response to calls while crashed."""
        if request.path == PATH_FAULTS:
            was_crashed = self.engine.settings.faults.crash
            await handle_fault_request(
                self.engine.settings.faults, request, exchange
            )
            if self.engine.settings.faults.crash and not was_crashed:
                self.engine.crash()
            return
        if request.path == PATH_STATS:
            await self._send_stats(exchange)
            return
        if self.engine.settings.faults.crash:
            return
        self._record_load()
        try:
            await self._serve(request, exchange)
        except EngineCrashedError:
            return
        except msgspec.MsgspecError as error:
            await send_json(exchange, str(error), 400)

    async def _serve(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one call; raises EngineCrashedError and MsgspecError."""
        match request.method, request.path:
            case "POST", const.PATH_COMPLETIONS:
                completion = msgspec.json.decode(
                    request.body, type=models.CompletionRequest
                )
                await self._complete(completion, exchange)
            case "POST", const.PATH_LOAD:
                order = msgspec.json.decode(
                    request.body, type=models.LoadRequest
                )
                if not await _check_weights(order):
                    await send_json(exchange, "weights not available", 502)
                    return
                loaded = await self.engine.load_weights(
                    order.model, order.version, order.fence
                )
                if isinstance(loaded, Err):
                    await send_json(exchange, loaded.err_value, 409)
                else:
                    await send_json(exchange, "loaded")
            case "GET", const.PATH_VERSIONS:
                found = [
                    models.ModelVersion(model, version)
                    for model, version in self.engine.versions.items()
                ]
                await send_json(exchange, found)
            case "GET", "/v1/load":
                await send_json(exchange, self._report_load())
            case "GET", "/v1/cache/events":
                await send_json(exchange, self._list_cache_events())
            case _:
                await send_json(exchange, "no such path", 404)

    async def _complete(
        self, completion: models.CompletionRequest, exchange: Exchange
    ) -> None:
        """Run a completion; send it as one response or as events."""
        if completion.stream:
            await exchange.start(
                200,
                [
                    ("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked"),
                ],
            )
        text: list[str] = []
        tokens = 0
        chunks = self.engine.generate(
            completion.model,
            completion.prompt,
            completion.max_tokens,
            completion.resume_tokens,
            completion.priority,
        )
        async for chunk in chunks:
            text.append(chunk.text)
            tokens += chunk.tokens
            if completion.stream:
                choice = models.CompletionChoice(
                    chunk.text, tokens=chunk.tokens
                )
                part = models.CompletionResponse(
                    completion.request_id, [choice]
                )
                await exchange.write(_make_event(msgspec.json.encode(part)))
        if completion.stream:
            await exchange.write(_make_event(const.SSE_DONE))
            await exchange.finish()
            return
        choice = models.CompletionChoice(
            "".join(text), tokens=tokens, finish_reason="length"
        )
        response = models.CompletionResponse(completion.request_id, [choice])
        await send_json(exchange, response)

    async def _send_stats(self, exchange: Exchange) -> None:
        """Send the counts of what the engine really did."""
        engine = self.engine
        await send_json(
            exchange,
            {
                "versions": engine.versions,
                "swaps": engine.swaps,
                "tokens": engine.generated_tokens,
                "running": engine.running,
                "cache_hits": engine.cache_hits,
                "cache_misses": engine.cache_misses,
                "stale_orders": engine.stale_orders,
            },
        )

    def _record_load(self) -> None:
        """Record the load for the lagging report."""
        now = trio.current_time()
        self._loads.append(LoadSample(now, self.engine.running))
        del self._loads[:-1000]

    def _report_load(self) -> dict[str, int]:
        """Return the load as it was `load_lag_s` seconds ago."""
        until = trio.current_time() - self.engine.settings.load_lag_s
        old = [load for load in self._loads if load.recorded_at <= until]
        return {"running": old[-1].running if old else 0}

    def _list_cache_events(self) -> list[dict[str, object]]:
        """Return the cache events except every `event_gap_every`-th."""
        gap = self.engine.settings.event_gap_every
        return [
            {"number": number, "event": event}
            for number, event in enumerate(self.engine.cache_events)
            if not gap or number % gap
        ]


async def _check_weights(order: models.LoadRequest) -> bool:
    """Fetch the weights; return whether they are of the ordered version."""
    fetcher = HttpWeightFetcher()
    found = await fetcher.fetch(order.source, MAX_WEIGHT_BYTES)
    name = f"{order.model}/{order.version}".encode()
    return name in found.unwrap_or(b"")


def _make_event(data: bytes) -> bytes:
    """Return data as one server-sent event."""
    return const.SSE_DATA_PREFIX + data + const.SSE_EVENT_END
