"""Support the engine's HTTP interface, in the OpenAI shape."""

from dataclasses import dataclass

import msgspec
from pistachiospar.adapters.engine import const
from pistachiospar.adapters.engine import models
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.server import Exchange
from pistachiospar.adapters.weight_store.client import HttpWeightFetcher
from result import Err
import trio

from ..serving.models import PATH_FAULTS
from ..serving.models import send_json
from ..serving.models import take_faults
from .core import EngineCrashedError
from .core import EngineModel
from .core import EngineSettings

PATH_LOAD_REPORT = "/v1/load"
PATH_CACHE_EVENTS = "/v1/cache/events"
PATH_STATS = "/admin/stats"
MAX_WEIGHT_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Hold the load at a time."""

    taken_at: float
    running: int


class EngineHandler:
    """Serve one engine."""

    def __init__(self, settings: EngineSettings) -> None:
        """Begin with nothing loaded."""
        self.engine = EngineModel(settings)
        self._loads: list[LoadSample] = []

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request; a crashed engine answers nothing."""
        if request.path == PATH_FAULTS:
            was_crashed = self.engine.settings.faults.crash
            await take_faults(self.engine.settings.faults, request, exchange)
            if self.engine.settings.faults.crash and not was_crashed:
                self.engine.crash()
            return
        if request.path == PATH_STATS:
            await self._send_stats(exchange)
            return
        if self.engine.settings.faults.crash:
            return
        self._note_load()
        try:
            await self._serve(request, exchange)
        except EngineCrashedError:
            return
        except msgspec.MsgspecError as error:
            await send_json(exchange, str(error), 400)

    async def _serve(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request of a live engine."""
        match request.method, request.path:
            case "POST", const.PATH_COMPLETIONS:
                asked = msgspec.json.decode(
                    request.body, type=models.CompletionRequest
                )
                await self._complete(asked, exchange)
            case "POST", const.PATH_LOAD:
                order = msgspec.json.decode(
                    request.body, type=models.LoadRequest
                )
                if not await _read_weights(order):
                    await send_json(exchange, "weights not read", 502)
                    return
                loaded = await self.engine.load(
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
                await send_json(exchange, self._read_load())
            case "GET", "/v1/cache/events":
                await send_json(exchange, self._read_events())
            case _:
                await send_json(exchange, "no such path", 404)

    async def _complete(
        self, asked: models.CompletionRequest, exchange: Exchange
    ) -> None:
        """Answer a completion, whole or as a stream of events."""
        if asked.stream:
            await exchange.start(
                200,
                [
                    ("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked"),
                ],
            )
        text: list[str] = []
        tokens = 0
        runs = self.engine.generate(
            asked.model,
            asked.prompt,
            asked.max_tokens,
            asked.resume_tokens,
            asked.priority,
        )
        async for run in runs:
            text.append(run.text)
            tokens += run.tokens
            if asked.stream:
                choice = models.CompletionChoice(run.text, tokens=run.tokens)
                part = models.CompletionResponse(asked.request_id, [choice])
                await exchange.write(_make_event(msgspec.json.encode(part)))
        if asked.stream:
            await exchange.write(_make_event(const.SSE_DONE))
            await exchange.finish()
            return
        choice = models.CompletionChoice(
            "".join(text), tokens=tokens, finish_reason="length"
        )
        whole = models.CompletionResponse(asked.request_id, [choice])
        await send_json(exchange, whole)

    async def _send_stats(self, exchange: Exchange) -> None:
        """Send what the engine truly did."""
        engine = self.engine
        await send_json(
            exchange,
            {
                "versions": engine.versions,
                "swaps": engine.swaps,
                "tokens": engine.tokens_made,
                "running": engine.running,
                "cache_hits": engine.cache_hits,
                "cache_misses": engine.cache_misses,
                "stale_orders": engine.stale_orders,
            },
        )

    def _note_load(self) -> None:
        """Keep the load for the lagging report."""
        now = trio.current_time()
        self._loads.append(LoadSample(now, self.engine.running))
        del self._loads[:-1000]

    def _read_load(self) -> dict[str, int]:
        """Return the load as it was a while ago."""
        until = trio.current_time() - self.engine.settings.load_lag_s
        old = [load for load in self._loads if load.taken_at <= until]
        return {"running": old[-1].running if old else 0}

    def _read_events(self) -> list[dict[str, object]]:
        """Return the cache events, with gaps."""
        gap = self.engine.settings.event_gap_every
        return [
            {"number": number, "event": event}
            for number, event in enumerate(self.engine.cache_events)
            if not gap or number % gap
        ]


async def _read_weights(order: models.LoadRequest) -> bool:
    """Read the weights from their source; return whether they fit."""
    fetcher = HttpWeightFetcher()
    found = await fetcher.fetch(order.source, MAX_WEIGHT_BYTES)
    name = f"{order.model}/{order.version}".encode()
    return name in found.unwrap_or(b"")


def _make_event(data: bytes) -> bytes:
    """Make one server-sent event."""
    return const.SSE_DATA_PREFIX + data + const.SSE_EVENT_END
