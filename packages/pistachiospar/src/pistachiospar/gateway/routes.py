"""HTTP handler for the requests of callers and trainers."""

from dataclasses import replace

from result import Err
import trio

from ..adapters.http.models import HttpRequest
from . import const
from ..crashes.fingerprints import compute_fingerprint
from ..directory.coordinator import Directory
from ..forwarding.metering import MeteredForwarder
from ..forwarding.models import CallFailure
from ..forwarding.models import CallResponse
from ..forwarding.models import describe_outcome
from ..forwarding.models import FailureKind
from ..forwarding.models import ForwardCall
from ..helpers.problems import Problem
from ..helpers.problems import refuse_input
from ..helpers.problems import refuse_not_run
from ..helpers.problems import report_unknown_outcome
from ..organisations.decisions import apply_priority
from ..organisations.decisions import authenticate
from ..organisations.decisions import name_organisation
from ..organisations.models import KeyFault
from ..organisations.models import KeyRefusal
from ..organisations.models import KeyRules
from ..organisations.models import Organisation
from ..platform.callers import CallerHeaders
from ..platform.callers import read_caller_headers
from ..platform.callers import read_identity
from ..platform.callers import read_stream_position
from ..platform.callers import read_submission_request
from ..ports.caller_response import CallerSink
from ..routing.models import CallKind
from ..routing.models import Route
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .draining import Drain
from .refusals import RefusalSender
from .refusals import STATUS_UNAUTHORIZED
from .submission_calls import SubmissionHandler


class GatewayHandler:
    """Forward callers' requests and serve trainers' submissions."""

    def __init__(
        self,
        directory: Directory,
        forwarder: MeteredForwarder,
        submissions: SubmissionHandler,
        refusals: RefusalSender,
        key_rules: KeyRules,
        metrics: Metrics,
    ) -> None:
        """Initialize; `key_rules` say how callers' keys are checked."""
        self._directory = directory
        self._forwarder = forwarder
        self._submissions = submissions
        self._metrics = metrics
        metrics.add_gauge(
            "result_page_bytes", lambda: float(submissions.pages.count_bytes())
        )
        self._refuse = refusals.send
        self._key_rules = key_rules
        self.drain = Drain()

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
        submission_call = read_submission_request(request)
        if submission_call is None:
            await self._serve_route(request, caller, exchange, arrived_at)
            return
        found = self._authenticate(request, None)
        if isinstance(found, KeyRefusal):
            await self._refuse(exchange, caller, _describe_refused_key(found))
            return
        organisation = name_organisation(self._directory.table, found)
        await self._submissions.handle(
            submission_call, caller, exchange, organisation
        )

    def _authenticate(
        self, request: HttpRequest, route: Route | None
    ) -> Organisation | None | KeyRefusal:
        """Return the organisation of a request's key."""
        return authenticate(
            self._directory.table,
            route,
            request.raw_headers,
            self._directory.compute_configuration_age(trio.current_time()),
            self._key_rules,
        )

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
            return
        found = self._authenticate(request, route)
        if isinstance(found, KeyRefusal):
            await self._refuse(exchange, caller, _describe_refused_key(found))
            return
        refusal = self.drain.explain_refusal(route, trio.current_time())
        if refusal:
            problem = refuse_not_run("stopping", refusal)
            await self._refuse(exchange, caller, problem)
            return
        organisation = name_organisation(table, found)
        if route.kind is CallKind.ROLLOUT:
            await self._submissions.accept(
                request, caller, exchange, organisation
            )
        else:
            await self._forward(
                request,
                caller,
                exchange,
                apply_priority(route, found),
                organisation,
                arrived_at,
            )

    async def _forward(
        self,
        request: HttpRequest,
        caller: CallerHeaders,
        exchange: CallerSink,
        route: Route,
        organisation: str | None,
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
                read_identity(request, organisation),
                request.body,
            ),
            stream=resumed.stream if resumed else "",
            after_event=resumed.after_event if resumed else 0,
            organisation=organisation,
            tokens=caller.tokens,
        )
        outcome = await self._forwarder.forward(call, exchange)
        took_s = trio.current_time() - arrived_at
        self._metrics.observe("call", took_s)
        log_event(
            "call_ended",
            request=call.request_id,
            route=route.name,
            organisation=organisation,
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


def _describe_refused_key(refusal: KeyRefusal) -> Problem:
    """Return the problem for a key that isn't accepted."""
    kind = refusal.fault.value
    if refusal.fault is KeyFault.UNCONFIRMED:
        return refuse_not_run(kind, refusal.detail)
    return refuse_input(kind, refusal.detail, STATUS_UNAUTHORIZED)
