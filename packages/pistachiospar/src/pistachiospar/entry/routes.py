"""Support the interface towards callers and trainers."""

from secrets import token_hex

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ..adapters.http.models import HttpAnswer
from ..adapters.http.models import HttpRequest
from ..bundle.coordinator import BundleKeeper
from . import const
from ..const import CONTENT_TYPE_JSON
from ..const import HEADER_OUTCOME
from ..const import HEADER_REQUEST_ID
from ..const import OUTCOME_DONE
from ..helpers.problems import Problem
from ..helpers.problems import refuse_input
from ..helpers.problems import refuse_not_run
from ..ports.caller import CallerSink
from ..requests.coordinator import AnswerCutError
from ..requests.coordinator import RequestCoordinator
from ..requests.intake import read_request
from ..telemetry.metrics import Metrics
from ..trainers.const import DEFAULT_PULL
from ..trainers.const import MAX_PULL
from ..trainers.const import MAX_WAIT_MS
from ..trainers.coordinator import StepCoordinator
from ..trainers.models import PullAnswer
from ..trainers.models import WeightsBody
from ..weights.coordinator import WeightsAnnouncer


class CallerHandler:
    """Serve callers and trainers."""

    def __init__(
        self,
        keeper: BundleKeeper,
        requests: RequestCoordinator,
        steps: StepCoordinator,
        announcer: WeightsAnnouncer,
        metrics: Metrics,
    ) -> None:
        """Take the coordinators."""
        self._keeper = keeper
        self._requests = requests
        self._steps = steps
        self._announcer = announcer
        self._metrics = metrics

    async def handle(self, request: HttpRequest, exchange: CallerSink) -> None:
        """Serve one request."""
        self._metrics.count("requests")
        parts = request.path.lstrip("/").split("/")
        match parts:
            case [const.PATH_UPSTREAMS, upstream, *rest] if rest:
                path = "/".join(rest)
                await self._forward(request, exchange, upstream, path)
            case [const.PATH_TRAINERS, trainer, const.PATH_WEIGHTS]:
                problem = await self._take_weights(request, exchange, trainer)
                await self._refuse(problem, exchange)
            case [const.PATH_TRAINERS, trainer, const.PATH_STEPS, step]:
                problem = await self._put(request, exchange, trainer, step)
                await self._refuse(problem, exchange)
            case [
                const.PATH_TRAINERS,
                trainer,
                const.PATH_STEPS,
                step,
                const.PATH_SAMPLES,
            ]:
                problem = await self._pull(request, exchange, trainer, step)
                await self._refuse(problem, exchange)
            case _:
                detail = f"no such path: {request.path[:128]}"
                await exchange.send_problem(
                    refuse_input("unknown-path", detail, 404)
                )

    async def handle_peer(
        self, request: HttpRequest, exchange: CallerSink
    ) -> None:
        """Serve a trainer's call that a peer entry passes on."""
        self._metrics.count("calls_forwarded_here")
        await self.handle(request, exchange)

    async def _forward(
        self,
        request: HttpRequest,
        exchange: CallerSink,
        upstream: str,
        path: str,
    ) -> None:
        """Forward a call to an upstream."""
        request_id = token_hex(const.REQUEST_ID_BYTES)
        headers = [(HEADER_REQUEST_ID, request_id)]
        bundle = self._keeper.bundle()
        if bundle is None:
            problem = refuse_not_run("no-bundle", "no bundle is in force")
            await exchange.send_problem(problem, headers)
            return
        checked = read_request(
            bundle, request, upstream, path, request_id, trio.current_time()
        )
        if isinstance(checked, Err):
            await exchange.send_problem(checked.err_value, headers)
            return
        try:
            await self._requests.forward(checked.ok_value, exchange)
        except AnswerCutError:
            self._metrics.count("answers_cut")

    async def _put(
        self,
        request: HttpRequest,
        exchange: CallerSink,
        trainer: str,
        step: str,
    ) -> Problem | None:
        """Take a step."""
        if request.method != "PUT":
            return _refuse_method("PUT")
        if not step or len(step) > const.MAX_NAME_CHARACTERS:
            return refuse_input("bad-step", "the step's name is too long")
        result = await self._steps.put_step(trainer, step, request.body)
        if isinstance(result, Err):
            return result.err_value
        status = 201 if result.ok_value else 200
        await exchange.send_response(status, _DONE_HEADERS, b"{}")
        return None

    async def _pull(
        self,
        request: HttpRequest,
        exchange: CallerSink,
        trainer: str,
        step: str,
    ) -> Problem | None:
        """Answer a pull of samples."""
        if request.method != "GET":
            return _refuse_method("GET")
        parameters = request.parameters()
        wait_ms = _read_number(parameters, "wait_ms", 0, MAX_WAIT_MS)
        most = _read_number(parameters, "max", DEFAULT_PULL, MAX_PULL)
        if isinstance(wait_ms, Err):
            return wait_ms.err_value
        if isinstance(most, Err):
            return most.err_value
        target = f"{request.path}?{request.query}"
        answer = await self._steps.pull(
            trainer,
            step,
            parameters.get("cursor", ""),
            wait_ms.ok_value,
            max(1, most.ok_value),
            target,
        )
        match answer:
            case Err(problem):
                return problem
            case Ok(PullAnswer() as pulled):
                data = msgspec.json.encode(pulled)
                await exchange.send_response(200, _DONE_HEADERS, data)
            case Ok(HttpAnswer() as forwarded):
                await _send_forwarded(forwarded, exchange)
        return None

    async def _take_weights(
        self, request: HttpRequest, exchange: CallerSink, trainer: str
    ) -> Problem | None:
        """Take new weights of a trainer."""
        if request.method != "POST":
            return _refuse_method("POST")
        bundle = self._keeper.bundle()
        if bundle is None or bundle.find_trainer(trainer) is None:
            detail = f"no trainer {trainer!r}"
            return refuse_input("unknown-trainer", detail, 404)
        try:
            body = msgspec.json.decode(request.body, type=WeightsBody)
        except msgspec.MsgspecError as error:
            return refuse_input("bad-json", str(error))
        result = await self._announcer.announce(
            trainer, body.version, body.source
        )
        if isinstance(result, Err):
            return result.err_value
        await exchange.send_response(202, _DONE_HEADERS, b"{}")
        return None

    async def _refuse(
        self, problem: Problem | None, exchange: CallerSink
    ) -> None:
        """Send a problem, if there is one."""
        if problem is not None:
            self._metrics.count("requests_refused")
            await exchange.send_problem(problem)


_DONE_HEADERS = [
    ("Content-Type", CONTENT_TYPE_JSON),
    (HEADER_OUTCOME, OUTCOME_DONE),
]


def _refuse_method(allowed: str) -> Problem:
    """Refuse a method."""
    return refuse_input("method-not-allowed", f"use {allowed}", 405)


def _read_number(
    parameters: dict[str, str], name: str, default: int, most: int
) -> Result[int, Problem]:
    """Read a whole number from the query, bounded above."""
    text = parameters.get(name)
    if text is None:
        return Ok(default)
    if not text.isascii() or not text.isdigit():
        detail = f"{name} is not a whole number"
        return Err(refuse_input("bad-parameter", detail))
    return Ok(min(int(text[:12]), most))


async def _send_forwarded(answer: HttpAnswer, exchange: CallerSink) -> None:
    """Pass the answer of a step's owner on."""
    kept = ("content-type", HEADER_OUTCOME, "retry-after")
    headers = [(n, v) for n, v in answer.headers.items() if n in kept]
    await exchange.send_response(answer.status, headers, answer.body)
