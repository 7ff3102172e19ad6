"""HTTP handler for the requests of callers and trainers."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

from result import Err
from result import Ok
from result import Result
import trio

from ..adapters.http.models import Headers
from ..adapters.http.models import HttpRequest
from . import const
from ..const import CONTENT_TYPE_JSON
from ..crashes.fingerprints import compute_fingerprint
from ..directory.coordinator import Directory
from ..forwarding.coordinator import Forwarder
from ..forwarding.models import CallFailure
from ..forwarding.models import CallOutcome
from ..forwarding.models import CallResponse
from ..forwarding.models import describe_outcome
from ..forwarding.models import FailureKind
from ..forwarding.models import ForwardCall
from ..forwarding.streams import StreamForwarder
from ..helpers.problems import Problem
from ..helpers.problems import refuse_input
from ..helpers.problems import refuse_not_run
from ..helpers.problems import report_unknown_outcome
from ..platform.callers import CallerHeaders
from ..platform.callers import encode_results
from ..platform.callers import EndRequest
from ..platform.callers import ItemBodyRequest
from ..platform.callers import read_caller_headers
from ..platform.callers import read_identity
from ..platform.callers import read_stream_position
from ..platform.callers import read_submission
from ..platform.callers import read_submission_request
from ..platform.callers import ResultsRequest
from ..ports.caller_response import CallerSink
from ..ports.kv import KvError
from ..ports.kv import KvFault
from ..routing.models import CallKind
from ..routing.models import Route
from ..submissions.archive import Archive
from ..submissions.const import MAX_KEY_BYTES
from ..submissions.keys import make_part_key
from ..submissions.models import Submission
from ..submissions.reader import SubmissionReader
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .retry_after import choose_retry_after_s

_JSON_HEADERS: Headers = [("Content-Type", CONTENT_TYPE_JSON)]


class GatewayHandler:
    """Forward callers' requests and serve trainers' submissions."""

    def __init__(
        self,
        directory: Directory,
        forwarder: Forwarder,
        streams: StreamForwarder,
        archive: Archive,
        reader: SubmissionReader,
        read_wall_s: Callable[[], float],
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Initialize; `read_wall_s` returns Unix time."""
        self._rng = rng
        self._directory = directory
        self._forwarder = forwarder
        self._streams = streams
        self._archive = archive
        self._reader = reader
        self._read_wall_s = read_wall_s
        self._metrics = metrics

    async def handle(self, request: HttpRequest, exchange: CallerSink) -> None:
        """Serve one request."""
        arrived_at = trio.current_time()
        self._metrics.count("requests")
        caller = read_caller_headers(request)
        if not await self._directory.wait_for_configuration(
            const.STARTUP_TIMEOUT_S
        ):
            problem = refuse_not_run("no-configuration", "not loaded yet")
            await self._refuse(exchange, caller, problem)
            return
        match read_submission_request(request):
            case ResultsRequest() as call:
                await self._serve_results(call, caller, exchange)
            case ItemBodyRequest() as call:
                await self._serve_body(call, caller, exchange)
            case EndRequest(submission):
                await self._end_submission(submission, caller, exchange)
            case None:
                await self._serve_route(request, caller, exchange, arrived_at)

    async def _serve_route(
        self,
        request: HttpRequest,
        caller: CallerHeaders,
        exchange: CallerSink,
        arrived_at: float,
    ) -> None:
        """Forward a request or accept a submission, as its route says."""
        table = self._directory.table
        route = table.find_route(caller.host, request.path)
        if route is None:
            detail = f"no route in configuration version {table.version}"
            problem = refuse_input("unknown-route", detail, 404)
            await self._refuse(exchange, caller, problem)
        elif route.kind is CallKind.ROLLOUT:
            await self._accept_submission(request, caller, exchange)
        else:
            await self._forward(request, caller, exchange, route, arrived_at)

    async def _forward(
        self,
        request: HttpRequest,
        caller: CallerHeaders,
        exchange: CallerSink,
        route: Route,
        arrived_at: float,
    ) -> None:
        """Forward a request and send the response or problem."""
        limit_s = route.timeout_s
        if caller.deadline_s is not None:
            limit_s = min(limit_s, caller.deadline_s)
        position = read_stream_position(request)
        if isinstance(position, Err):
            problem = refuse_input("bad-stream-position", position.err_value)
            await self._refuse(exchange, caller, problem)
            return
        resumed = position.ok_value
        if resumed is not None and not (route.stream and route.resumable):
            detail = f"route {route.name} has no streams that can be resumed"
            problem = refuse_input("not-resumable", detail)
            await self._refuse(exchange, caller, problem)
            return
        call = ForwardCall(
            caller.id,
            route,
            request.method,
            request.target,
            request.raw_headers,
            request.body,
            arrived_at + max(0.0, limit_s - const.DEADLINE_MARGIN_S),
            route.max_attempts,
            fingerprint=compute_fingerprint(
                caller.host,
                request.method,
                request.target,
                read_identity(request),
                request.body,
            ),
            stream=resumed.stream if resumed else "",
            after_event=resumed.after_event if resumed else 0,
            tokens=caller.tokens,
        )
        if route.stream:
            outcome: CallOutcome | None = await self._streams.forward(
                call, exchange
            )
        else:
            outcome = await self._forwarder.forward(call)
        took_s = trio.current_time() - arrived_at
        self._metrics.observe("call", took_s)
        log_event(
            "call_ended",
            request=call.request_id,
            route=route.name,
            configuration=self._directory.table.version,
            limit_s=round(limit_s, 3),
            took_s=round(took_s, 4),
            outcome=describe_outcome(outcome) if outcome else "streamed",
        )
        match outcome:
            case None:
                return
            case CallResponse(status, headers, body):
                await exchange.send_response(status, headers, body)
            case CallFailure(FailureKind.SUSPENDED, detail, wait_s):
                problem = refuse_not_run("crashes-instances", detail)
                await self._refuse(
                    exchange, caller, problem, retry_after_s=wait_s
                )
            case CallFailure(FailureKind.OTHER_STREAM, detail):
                problem = refuse_input("other-stream", detail)
                await self._refuse(exchange, caller, problem)
            case CallFailure(
                FailureKind.ORIGIN_UNKNOWN | FailureKind.VERSION_GONE as kind,
                detail,
            ):
                problem = refuse_not_run(kind.value, detail)
                await self._refuse(exchange, caller, problem)
            case CallFailure(FailureKind.NOT_RUN, detail, expected_s):
                problem = refuse_not_run("not-run", detail)
                await self._refuse(
                    exchange, caller, problem, expected_s=expected_s
                )
            case CallFailure(FailureKind.LOST, detail):
                problem = report_unknown_outcome("answer-lost", detail)
                if trio.current_time() >= call.give_up_at:
                    problem = replace(problem, status=504)
                await self._refuse(exchange, caller, problem)

    async def _accept_submission(
        self,
        request: HttpRequest,
        caller: CallerHeaders,
        exchange: CallerSink,
    ) -> None:
        """Store a submission; it is durable before the response."""
        if request.method != "POST":
            problem = refuse_input("method-not-allowed", "use POST", 405)
            await self._refuse(exchange, caller, problem)
            return
        part_key_bytes = len(make_part_key(caller.id, 0).encode())
        if not caller.id or part_key_bytes > MAX_KEY_BYTES:
            problem = refuse_input("bad-id", "request id missing or too long")
            await self._refuse(exchange, caller, problem)
            return
        read = read_submission(request, caller, self._read_wall_s())
        if isinstance(read, Err):
            problem = refuse_input("bad-submission", read.err_value)
            await self._refuse(exchange, caller, problem)
            return
        submission = read.ok_value
        wait_limit_s = const.ACCEPT_WAIT_LIMIT_S
        if caller.deadline_s is not None:
            share_s = caller.deadline_s * const.ACCEPT_WAIT_SHARE
            wait_limit_s = min(wait_limit_s, share_s)
        started_at = trio.current_time()
        accepted = await self._store_submission(submission, wait_limit_s)
        self._metrics.observe("accept", trio.current_time() - started_at)
        match accepted:
            case Ok(new):
                log_event(
                    "submission_accepted",
                    submission=submission.id,
                    step=submission.step,
                    model=submission.model,
                    items=len(submission.items),
                    new=new,
                )
                await exchange.send_response(202, _JSON_HEADERS, b"{}")
            case Err(error) if error.fault is KvFault.UNKNOWN:
                problem = report_unknown_outcome("not-settled", error.detail)
                await self._refuse(exchange, caller, problem)
            case Err(error):
                problem = refuse_not_run("store-away", error.detail)
                await self._refuse(exchange, caller, problem)

    async def _store_submission(
        self, submission: Submission, wait_limit_s: float
    ) -> Result[bool, KvError]:
        """Store a submission, retrying for `wait_limit_s`.

        Return whether it is new. An attempt with unknown outcome decides
        over later refusals, which say nothing about that attempt.
        """
        retry_until = trio.current_time() + wait_limit_s
        unknown_outcome: Err[KvError] | None = None
        while True:
            accepted = await self._archive.store_submission(submission)
            if isinstance(accepted, Ok):
                return accepted
            if accepted.err_value.fault is KvFault.UNKNOWN:
                unknown_outcome = accepted
            if trio.current_time() >= retry_until:
                return unknown_outcome or accepted
            await trio.sleep(const.STORE_RETRY_DELAY_S)

    async def _serve_results(
        self, call: ResultsRequest, caller: CallerHeaders, exchange: CallerSink
    ) -> None:
        """Send the results after a position."""
        found = await self._reader.read(
            call.submission, call.after, call.wait_s
        )
        if isinstance(found, Err):
            problem = _describe_failed_read(found.err_value)
            await self._refuse(exchange, caller, problem, call.submission)
        elif found.ok_value is None:
            await self._refuse(
                exchange, caller, _UNKNOWN_SUBMISSION, call.submission
            )
        else:
            body = encode_results(found.ok_value, call.after)
            await exchange.send_response(200, _JSON_HEADERS, body)

    async def _serve_body(
        self,
        call: ItemBodyRequest,
        caller: CallerHeaders,
        exchange: CallerSink,
    ) -> None:
        """Send an item's body."""
        found = await self._reader.read_body(call.submission, call.item)
        if isinstance(found, Err):
            problem = refuse_not_run("store-away", found.err_value.detail)
            await self._refuse(exchange, caller, problem, call.submission)
        elif found.ok_value is None:
            await self._refuse(
                exchange, caller, _UNKNOWN_SUBMISSION, call.submission
            )
        else:
            await exchange.send_response(200, [], found.ok_value)

    async def _end_submission(
        self, submission: str, caller: CallerHeaders, exchange: CallerSink
    ) -> None:
        """End a submission; the end is durable before the response."""
        known = await self._reader.exists(submission)
        if isinstance(known, Ok) and not known.ok_value:
            await self._refuse(
                exchange, caller, _UNKNOWN_SUBMISSION, submission
            )
            return
        retry_until = trio.current_time() + const.END_WAIT_LIMIT_S
        while isinstance(known, Ok):
            if (await self._archive.mark_ended(submission)).is_ok():
                log_event("submission_end_stored", submission=submission)
                await exchange.send_response(200, _JSON_HEADERS, b"{}")
                return
            if trio.current_time() >= retry_until:
                break
            await trio.sleep(const.STORE_RETRY_DELAY_S)
        problem = refuse_not_run("store-away", "the end was not stored")
        await self._refuse(exchange, caller, problem, submission)

    async def _refuse(
        self,
        exchange: CallerSink,
        caller: CallerHeaders,
        problem: Problem,
        submission: str = "",
        expected_s: float | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        """Send a problem, and count and log it.

        `expected_s` is when the caller can be served, if that is known;
        `retry_after_s` is when it may be, and not sooner.
        """
        self._metrics.count(f"refused_{problem.kind}")
        log_event(
            "request_refused",
            request=caller.id,
            submission=submission,
            status=problem.status,
            kind=problem.kind,
            detail=problem.detail,
            configuration=self._directory.table.version,
        )
        headers = [
            (n, v) for n, v in problem.make_headers() if n != "Retry-After"
        ]
        if problem.retry_after_s is not None:
            wait_s = retry_after_s or self._find_wait_s(expected_s)
            headers.append(("Retry-After", str(round(wait_s, 2))))
        await exchange.send_response(
            problem.status, headers, problem.encode_body()
        )

    def _find_wait_s(self, expected_s: float | None) -> float:
        """Return the seconds after which a caller should come back."""
        mirror = self._directory.configuration_mirror
        outage_s = mirror.compute_outage_s(trio.current_time())
        return choose_retry_after_s(expected_s, outage_s, self._rng)


def _describe_failed_read(error: KvError) -> Problem:
    """Return the problem for results that can't be read."""
    if error.fault is KvFault.DAMAGED:
        return Problem(500, "submission-damaged", error.detail)
    return refuse_not_run("store-away", error.detail)


_UNKNOWN_SUBMISSION = refuse_input(
    "unknown-submission", "no submission has this id", 404
)
