"""The HTTP interface for callers, trainers and peer entries."""

from secrets import token_hex

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ..adapters.http.models import HttpRequest
from ..adapters.http.models import HttpResponse
from ..bundle.coordinator import BundleKeeper
from . import const
from ..const import CONTENT_TYPE_JSON
from ..const import HEADER_OUTCOME
from ..const import HEADER_REQUEST_ID
from ..const import OUTCOME_DONE
from ..helpers.problems import Problem
from ..helpers.problems import refuse_input
from ..helpers.problems import refuse_not_run
from ..ports.caller_response import CallerSink
from ..requests.coordinator import RequestCoordinator
from ..requests.coordinator import ResponseTruncatedError
from ..requests.parsing import parse_request
from ..telemetry.metrics import Metrics
from ..trainers.const import DEFAULT_PULL_SAMPLES
from ..trainers.const import MAX_PULL_SAMPLES
from ..trainers.const import MAX_WAIT_MS
from ..trainers.coordinator import StepCoordinator
from ..trainers.models import PullResponse
from ..trainers.models import WeightsBody
from ..weight_announcements.coordinator import WeightsAnnouncer


class CallerHandler:
    """Route the requests of callers and trainers by their paths."""

    def __init__(
        self,
        keeper: BundleKeeper,
        requests: RequestCoordinator,
        steps: StepCoordinator,
        announcer: WeightsAnnouncer,
        metrics: Metrics,
    ) -> None:
        """Use the coordinators that do the work."""
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
                await self._forward_call(request, exchange, upstream, path)
            case [const.PATH_TRAINERS, trainer, const.PATH_WEIGHTS]:
                problem = await self._announce_weights(
                    request, exchange, trainer
                )
                await self._send_problem(problem, exchange)
            case [const.PATH_TRAINERS, trainer, const.PATH_STEPS, step]:
                problem = await self._put_step(
                    request, exchange, trainer, step
                )
                await self._send_problem(problem, exchange)
            case [
                const.PATH_TRAINERS,
                trainer,
                const.PATH_STEPS,
                step,
                const.PATH_SAMPLES,
            ]:
                problem = await self._pull_samples(
                    request, exchange, trainer, step
                )
                await self._send_problem(problem, exchange)
            case _:
                detail = f"no such path: {request.path[:128]}"
                await exchange.send_problem(
                    refuse_input("unknown-path", detail, 404)
                )

    async def handle_peer(
        self, request: HttpRequest, exchange: CallerSink
    ) -> None:
        """Serve a trainer's call that a peer entry forwarded."""
        self._metrics.count("calls_forwarded_here")
        await self.handle(request, exchange)

    async def _forward_call(
        self,
        request: HttpRequest,
        exchange: CallerSink,
        upstream: str,
        path: str,
    ) -> None:
        """Forward a call to an upstream, under a new request id."""
        request_id = token_hex(const.REQUEST_ID_BYTES)
        headers = [(HEADER_REQUEST_ID, request_id)]
        bundle = self._keeper.get_bundle()
        if bundle is None:
            problem = refuse_not_run("no-bundle", "no bundle is in force")
            await exchange.send_problem(problem, headers)
            return
        checked = parse_request(
            bundle, request, upstream, path, request_id, trio.current_time()
        )
        if isinstance(checked, Err):
            await exchange.send_problem(checked.err_value, headers)
            return
        try:
            await self._requests.forward(checked.ok_value, exchange)
        except ResponseTruncatedError:
            self._metrics.count("answers_cut")

    async def _put_step(
        self,
        request: HttpRequest,
        exchange: CallerSink,
        trainer: str,
        step: str,
    ) -> Problem | None:
        """Accept a trainer's step: 201 for a new one, 200 for a known one."""
        if request.method != "PUT":
            return _refuse_method("PUT")
        if not step or len(step) > const.MAX_NAME_CHARACTERS:
            return refuse_input(
                "bad-step", "the step's name is empty or too long"
            )
        result = await self._steps.put_step(trainer, step, request.body)
        if isinstance(result, Err):
            return result.err_value
        status = 201 if result.ok_value else 200
        await exchange.send_response(status, _DONE_HEADERS, b"{}")
        return None

    async def _pull_samples(
        self,
        request: HttpRequest,
        exchange: CallerSink,
        trainer: str,
        step: str,
    ) -> Problem | None:
        """Answer a pull of samples, or pass on the step owner's response."""
        if request.method != "GET":
            return _refuse_method("GET")
        parameters = request.parse_query()
        wait_ms = _read_bounded_number(parameters, "wait_ms", 0, MAX_WAIT_MS)
        max_samples = _read_bounded_number(
            parameters, "max", DEFAULT_PULL_SAMPLES, MAX_PULL_SAMPLES
        )
        if isinstance(wait_ms, Err):
            return wait_ms.err_value
        if isinstance(max_samples, Err):
            return max_samples.err_value
        target = f"{request.path}?{request.query}"
        response = await self._steps.pull_samples(
            trainer,
            step,
            parameters.get("cursor", ""),
            wait_ms.ok_value,
            max(1, max_samples.ok_value),
            target,
        )
        match response:
            case Err(problem):
                return problem
            case Ok(PullResponse() as pulled):
                data = msgspec.json.encode(pulled)
                await exchange.send_response(200, _DONE_HEADERS, data)
            case Ok(HttpResponse() as forwarded):
                await _send_forwarded(forwarded, exchange)
        return None

    async def _announce_weights(
        self, request: HttpRequest, exchange: CallerSink, trainer: str
    ) -> Problem | None:
        """Announce new weights of a trainer."""
        if request.method != "POST":
            return _refuse_method("POST")
        bundle = self._keeper.get_bundle()
        if bundle is None or bundle.find_trainer(trainer) is None:
            detail = f"no trainer {trainer!r}"
            return refuse_input("unknown-trainer", detail, 404)
        try:
            body = msgspec.json.decode(request.body, type=WeightsBody)
        except msgspec.MsgspecError as error:
            return refuse_input("bad-json", str(error))
        result = await self._announcer.announce_weights(
            trainer, body.version, body.source
        )
        if isinstance(result, Err):
            return result.err_value
        await exchange.send_response(202, _DONE_HEADERS, b"{}")
        return None

    async def _send_problem(
        self, problem: Problem | None, exchange: CallerSink
    ) -> None:
        """Send the problem, if there is one, and count the refusal."""
        if problem is not None:
            self._metrics.count("requests_refused")
            await exchange.send_problem(problem)


_DONE_HEADERS = [
    ("Content-Type", CONTENT_TYPE_JSON),
    (HEADER_OUTCOME, OUTCOME_DONE),
]


def _refuse_method(allowed: str) -> Problem:
    """Return the 405 problem for a path that allows another method."""
    return refuse_input("method-not-allowed", f"use {allowed}", 405)


def _read_bounded_number(
    parameters: dict[str, str], name: str, default: int, maximum: int
) -> Result[int, Problem]:
    """Read a non-negative integer from the query, capped at `maximum`."""
    text = parameters.get(name)
    if text is None:
        return Ok(default)
    if not text.isascii() or not text.isdigit():
        detail = f"{name} is not a non-negative integer"
        return Err(refuse_input("bad-parameter", detail))
    return Ok(min(int(text[:12]), maximum))


async def _send_forwarded(
    response: HttpResponse, exchange: CallerSink
) -> None:
    """Send the response of the step's owner, with selected headers."""
    forwarded_names = ("content-type", HEADER_OUTCOME, "retry-after")
    headers = [
        (n, v) for n, v in response.headers.items() if n in forwarded_names
    ]
    await exchange.send_response(response.status, headers, response.body)
