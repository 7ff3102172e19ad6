"""Calls of trainers on their submissions."""

from collections.abc import Callable

from result import Err
from result import Ok
from result import Result
import trio

from ..adapters.http.models import Headers
from ..adapters.http.models import HttpRequest
from . import const
from ..const import CONTENT_TYPE_JSON
from ..helpers.problems import Problem
from ..helpers.problems import refuse_input
from ..helpers.problems import refuse_not_run
from ..helpers.problems import report_unknown_outcome
from ..organisations.decisions import may_access
from ..platform.callers import CallerHeaders
from ..platform.callers import EndRequest
from ..platform.callers import ItemBodyRequest
from ..platform.callers import read_submission
from ..platform.callers import ResultsRequest
from ..platform.callers import SubmissionRequest
from ..ports.caller_response import CallerSink
from ..ports.kv import KvError
from ..ports.kv import KvFault
from ..submissions.archive import Archive
from ..submissions.const import MAX_KEY_BYTES
from ..submissions.keys import measure_longest_key
from ..submissions.models import OwnerRecord
from ..submissions.models import Submission
from ..submissions.reader import SubmissionReader
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .refusals import RefusalSender
from .result_pages import ResultPages

_JSON_HEADERS: Headers = [("Content-Type", CONTENT_TYPE_JSON)]


class SubmissionHandler:
    """Accept, read and end submissions."""

    def __init__(
        self,
        archive: Archive,
        reader: SubmissionReader,
        name_owner: Callable[[Submission], OwnerRecord],
        refusals: RefusalSender,
        read_wall_s: Callable[[], float],
        metrics: Metrics,
        max_page_bytes: int,
    ) -> None:
        """Initialize; `read_wall_s` returns Unix time.

        `name_owner` returns the first owner of a new submission.
        `max_page_bytes` bounds the results that are being sent.
        """
        self.pages = ResultPages(max_page_bytes)
        self._archive = archive
        self._reader = reader
        self._name_owner = name_owner
        self._refuse = refusals.send
        self._read_wall_s = read_wall_s
        self._metrics = metrics

    async def handle(
        self,
        call: SubmissionRequest,
        caller: CallerHeaders,
        exchange: CallerSink,
        organisation: str | None,
    ) -> None:
        """Serve a call on a submission.

        `organisation` is the caller's, None when none is configured.
        """
        match call:
            case ResultsRequest():
                await self._serve_results(call, caller, exchange, organisation)
            case ItemBodyRequest():
                await self._serve_body(call, caller, exchange, organisation)
            case EndRequest(submission):
                await self._end_submission(
                    submission, caller, exchange, organisation
                )

    async def accept(
        self,
        request: HttpRequest,
        caller: CallerHeaders,
        exchange: CallerSink,
        organisation: str | None,
    ) -> None:
        """Store a submission; it is durable before the response."""
        if request.method != "POST":
            problem = refuse_input("method-not-allowed", "use POST", 405)
            await self._refuse(exchange, caller, problem)
            return
        if not caller.id or measure_longest_key(caller.id) > MAX_KEY_BYTES:
            problem = refuse_input("bad-id", "request id missing or too long")
            await self._refuse(exchange, caller, problem)
            return
        read = read_submission(
            request, caller, self._read_wall_s(), organisation
        )
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
        accepted = await self._store_submission(
            submission, organisation, wait_limit_s
        )
        self._metrics.observe("accept", trio.current_time() - started_at)
        match accepted:
            case Ok(None):
                detail = "the id is that of another organisation's submission"
                problem = refuse_input("id-taken", detail, 409)
                await self._refuse(exchange, caller, problem, submission.id)
            case Ok(new):
                log_event(
                    "submission_accepted",
                    submission=submission.id,
                    step=submission.step,
                    model=submission.model,
                    items=len(submission.items),
                    new=new,
                    organisation=submission.organisation,
                )
                await exchange.send_response(202, _JSON_HEADERS, b"{}")
            case Err(error) if error.fault is KvFault.UNKNOWN:
                problem = report_unknown_outcome("not-settled", error.detail)
                await self._refuse(exchange, caller, problem)
            case Err(error):
                problem = refuse_not_run("store-away", error.detail)
                await self._refuse(exchange, caller, problem)

    async def _store_submission(
        self,
        submission: Submission,
        organisation: str | None,
        wait_limit_s: float,
    ) -> Result[bool | None, KvError]:
        """Store a submission, retrying for `wait_limit_s`.

        Return whether it is new, None when another organisation has its id.
        An attempt with unknown outcome decides over later refusals, which
        say nothing about that attempt.
        """
        retry_until = trio.current_time() + wait_limit_s
        unknown_outcome: Err[KvError] | None = None
        while True:
            accepted = await self._store_or_compare(submission, organisation)
            if isinstance(accepted, Ok):
                return accepted
            if accepted.err_value.fault is KvFault.UNKNOWN:
                unknown_outcome = accepted
            if trio.current_time() >= retry_until:
                return unknown_outcome or accepted
            await trio.sleep(const.STORE_RETRY_DELAY_S)

    async def _store_or_compare(
        self, submission: Submission, organisation: str | None
    ) -> Result[bool | None, KvError]:
        """Store a submission; compare the owner when its id is taken."""
        stored = await self._archive.store_submission(
            submission, self._name_owner(submission)
        )
        if isinstance(stored, Err) or stored.ok_value or organisation is None:
            return stored
        owner = await self._archive.find_owner(submission.id)
        return owner.map(
            lambda name: (
                False if may_access(name or "", organisation) else None
            )
        )

    async def _serve_results(
        self,
        call: ResultsRequest,
        caller: CallerHeaders,
        exchange: CallerSink,
        organisation: str | None,
    ) -> None:
        """Send the results after a position."""
        found = await self._reader.read(
            call.submission, call.after, call.wait_s, organisation
        )
        if isinstance(found, Err):
            problem = _describe_failed_read(found.err_value)
            await self._refuse(exchange, caller, problem, call.submission)
        elif found.ok_value is None:
            await self._refuse(
                exchange, caller, _UNKNOWN_SUBMISSION, call.submission
            )
        else:
            page = self.pages.encode(
                call.submission, found.ok_value, call.after
            )
            # Only the encoded page is held while it is sent.
            del found
            if page is None:
                detail = "too many results are being read"
                problem = refuse_not_run("busy", detail)
                await self._refuse(exchange, caller, problem, call.submission)
                return
            await exchange.send_response(200, _JSON_HEADERS, page.body)

    async def _serve_body(
        self,
        call: ItemBodyRequest,
        caller: CallerHeaders,
        exchange: CallerSink,
        organisation: str | None,
    ) -> None:
        """Send an item's body."""
        found = await self._reader.read_body(
            call.submission, call.item, organisation
        )
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
        self,
        submission: str,
        caller: CallerHeaders,
        exchange: CallerSink,
        organisation: str | None,
    ) -> None:
        """End a submission; the end is durable before the response."""
        known = await self._reader.exists(submission, organisation)
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


def _describe_failed_read(error: KvError) -> Problem:
    """Return the problem for results that can't be read."""
    if error.fault is KvFault.DAMAGED:
        return Problem(500, "submission-damaged", error.detail)
    return refuse_not_run("store-away", error.detail)


_UNKNOWN_SUBMISSION = refuse_input(
    "unknown-submission", "no submission has this id", 404
)
