"""One item's run: its stream, its resumption, its scoring call."""

from collections.abc import Callable

import trio

from . import const
from ..forwarding.coordinator import Forwarder
from ..forwarding.health import InstanceHealth
from ..forwarding.lifetimes import confirm_lifetime
from ..forwarding.models import CallFailure
from ..forwarding.models import CallResponse
from ..forwarding.models import ForwardCall
from ..ports.sampler import SamplerCall
from ..ports.sampler import SamplerClient
from ..ports.sampler import SamplerResponse
from ..ports.sampler import StreamEvent
from ..ports.upstream import UpstreamError
from ..ports.upstream import UpstreamLimitError
from ..ports.upstream import UpstreamNotSentError
from ..ports.upstream import UpstreamUnsendableError
from ..routing.instances import ListedInstance
from ..routing.models import Route
from ..telemetry.containment import contain_errors
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .event_intervals import EventIntervals
from .models import SampleResult
from .registry import ItemPhase
from .registry import ItemState
from .registry import SubmissionState

STATUS_OK = 200
STATUS_ERROR = 500
STATUS_UNPROCESSABLE = 422

FindRoute = Callable[[str, str], Route | None]


class StreamError(Exception):
    """A stream failed or can't be used.

    `discard_events` is set when its earlier events are invalid too,
    `timed_out` when no event came in time.
    """

    def __init__(
        self,
        detail: str,
        discard_events: bool = False,
        timed_out: bool = False,
    ) -> None:
        super().__init__(detail)
        self.discard_events = discard_events
        self.timed_out = timed_out


class ItemRunner:
    """Run items and their scoring calls at instances."""

    def __init__(
        self,
        samplers: SamplerClient,
        forwarder: Forwarder,
        health: InstanceHealth,
        find_route: FindRoute,
        record_version: Callable[[str, str, int], None],
        metrics: Metrics,
        has_organisations: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initialize; `record_version` is called with each version seen.

        `has_organisations` returns whether some are configured.
        """
        self._samplers = samplers
        self._forwarder = forwarder
        self._health = health
        self._find_route = find_route
        self._record_version = record_version
        self._metrics = metrics
        self._has_organisations = has_organisations
        self._scoring = trio.CapacityLimiter(const.MIN_CONCURRENT_SCORES)
        self.event_intervals = EventIntervals()

    async def run(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
        route: Route,
        release_slot: Callable[[], None],
    ) -> SampleResult | None:
        """Run an item at an instance; None when it has to run again.

        `release_slot` is called once the instance is done with the item,
        before the item is scored. An unforeseen error counts as one of the
        item's errors.
        """
        with contain_errors(
            "item", item=state.item.id, instance=instance.name
        ) as contained:
            return await self._run(
                submission, state, instance, route, release_slot
            )
        state.errors += 1
        state.not_before = trio.current_time() + const.RETRY_DELAY_S
        if state.errors < route.max_attempts:
            return None
        return fail_item(state, "unforeseen", repr(contained.error))

    async def _run(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
        route: Route,
        release_slot: Callable[[], None],
    ) -> SampleResult | None:
        """Run an item at an instance, as `run` does."""
        detail, severe = "", False
        try:
            if not state.complete:
                state.complete = await self._read_stream(
                    submission, state, instance, route
                )
        except UpstreamLimitError as error:
            state.not_before = trio.current_time() + error.wait_s
        except UpstreamUnsendableError as error:
            return fail_item(state, "unsendable", str(error))
        except UpstreamNotSentError as error:
            detail, severe = str(error), True
        except UpstreamError as error:
            detail = str(error)
        except StreamError as error:
            detail, severe = str(error), error.timed_out
            if error.discard_events:
                state.discard_events()
        now = trio.current_time()
        if detail:
            state.avoided_instance = instance.name
            state.not_before = now + const.RETRY_DELAY_S
            self._health.record_failure(instance.name, now, severe)
            self._metrics.count("item_attempts_lost")
            log_event(
                "item_attempt_lost",
                submission=submission.submission.id,
                item=state.item.id,
                instance=instance.name,
                events=state.last_event,
                detail=detail,
            )
        elif state.complete:
            self._health.record_success(instance.name)
        if state.errors >= route.max_attempts:
            return fail_item(state, "errors")
        if not state.complete:
            return None
        release_slot()
        streamed_at = trio.current_time()
        result = await self._make_result(submission, state)
        now = trio.current_time()
        self._metrics.observe("item", streamed_at - state.started_at)
        self._metrics.observe("score", now - streamed_at)
        log_event(
            "item_finished",
            item=state.item.id,
            submission=submission.submission.id,
            instance=instance.name,
            events=state.last_event,
            versions=state.versions,
            streamed_s=round(streamed_at - state.started_at, 3),
            scored_s=round(now - streamed_at, 3),
        )
        return result

    async def _read_stream(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
        route: Route,
    ) -> bool:
        """Read an item's stream; return whether its text is complete.

        Raises StreamError, UpstreamNotSentError and UpstreamError.
        """
        item = state.item
        if state.needs_version and not await confirm_lifetime(
            self._samplers, instance
        ):
            raise StreamError("it may run another version by now")
        call = SamplerCall(
            item.id,
            "POST",
            item.path,
            [
                *(h for h in item.headers if h[0].lower() != "host"),
                ("Host", submission.submission.host),
            ],
            item.body,
            const.ITEM_TIMEOUT_S,
            after_event=state.last_event or None,
            urgency=route.priority,
            max_wait_s=const.ITEM_PERMIT_WAIT_S,
            organisation=submission.submission.organisation
            or self._name_no_organisation(),
        )
        with trio.CancelScope() as event_timeout:
            event_timeout.deadline = (
                trio.current_time() + const.FIRST_EVENT_TIMEOUT_S
            )
            async with self._samplers.call(instance, call) as response:
                if response.not_run or response.status != STATUS_OK:
                    await self._handle_refusal(state, response)
                    return False
                self._check_version(submission, state, instance, response)
                await self._read_events(
                    submission, state, instance, response, event_timeout
                )
        if event_timeout.cancelled_caught:
            raise StreamError("no event arrived in time", timed_out=True)
        if route.single_version and len(set(state.versions)) > 1:
            raise StreamError(
                "the text has more than one weight version",
                discard_events=True,
            )
        return True

    def _name_no_organisation(self) -> str | None:
        """Return what a call has that belongs to no organisation."""
        return "" if self._has_organisations() else None

    async def _handle_refusal(
        self, state: ItemState, response: SamplerResponse
    ) -> None:
        """Record a response that is no stream; raises StreamError.

        An item that the instance did not run may run again; 422 ends its
        attempts, 500 uses one up.
        """
        await response.read_body()
        state.not_before = trio.current_time() + const.RETRY_DELAY_S
        if response.not_run:
            self._metrics.count("item_refusals")
            return
        if response.status == STATUS_UNPROCESSABLE:
            # Above any limit of attempts, so that the item fails at once.
            state.errors = 1_000_000
        elif response.status == STATUS_ERROR:
            state.errors += 1
        else:
            raise StreamError(f"unexpected status {response.status}")

    def _check_version(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
        response: SamplerResponse,
    ) -> None:
        """Check the version that a stream begins with; raises StreamError."""
        version = response.version
        if version is None or not response.stamp:
            raise StreamError("the response has no version or no signature")
        self._record_version(
            instance.name, submission.submission.model, version
        )
        if version < submission.submission.min_version:
            raise StreamError(f"weight version {version} is too old")
        state.instance = instance.name

    async def _read_events(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
        response: SamplerResponse,
        event_timeout: trio.CancelScope,
    ) -> None:
        """Apply each event once and in order, and record the intervals."""
        version = response.version or 0
        last_event_at: float | None = None
        async for event in response.iter_events():
            now = trio.current_time()
            event_timeout.deadline = now + const.NEXT_EVENT_TIMEOUT_S
            if last_event_at is not None:
                self.event_intervals.record_interval(
                    instance.name, now - last_event_at, now
                )
            last_event_at = now
            if event.version is not None and event.version != version:
                version = event.version
                model = submission.submission.model
                self._record_version(instance.name, model, version)
            self._apply_event(state, event, version, instance.software)

    def _apply_event(
        self,
        state: ItemState,
        event: StreamEvent,
        version: int,
        software: str,
    ) -> None:
        """Append one event; raises StreamError when it is out of order."""
        if event.number != state.last_event + 1:
            detail = f"event {event.number} follows event {state.last_event}"
            raise StreamError(detail, discard_events=True)
        state.software = software
        state.last_event = event.number
        state.events.append(event.data)
        if version not in state.versions:
            state.versions.append(version)

    async def _make_result(
        self, submission: SubmissionState, state: ItemState
    ) -> SampleResult | None:
        """Score a complete text and return the item's result."""
        state.phase = ItemPhase.SCORING
        score = ""
        if state.item.scorer is not None:
            found = await self._request_score(submission, state)
            if found is None:
                return fail_item(state, "scoring")
            score = found
        return SampleResult(
            state.item.id,
            True,
            "\n".join(state.events),
            sorted(state.versions),
            score,
        )

    async def _request_score(
        self, submission: SubmissionState, state: ItemState
    ) -> str | None:
        """Return the signature of the scoring call.

        Retries until it succeeds; None after too many error responses.
        """
        scorer = state.item.scorer
        assert scorer is not None
        while True:
            route = self._find_route(scorer.host, scorer.path)
            if route is None:
                await trio.sleep(const.RETRY_DELAY_S)
                continue
            slots = self._forwarder.selector.count_slots(route)
            self._scoring.total_tokens = max(
                const.MIN_CONCURRENT_SCORES,
                int(slots * const.SCORES_SLOT_SHARE),
            )
            async with self._scoring:
                now = trio.current_time()
                outcome = await self._forwarder.forward(
                    ForwardCall(
                        scorer.id,
                        route,
                        "POST",
                        scorer.path,
                        [("Host", scorer.host)],
                        scorer.body,
                        now + const.SCORE_TIMEOUT_S,
                        1,
                        hedged=False,
                        organisation=self._name_no_organisation(),
                    )
                )
            pause_s = 0.0
            match outcome:
                case CallResponse(status=status, stamp=stamp) if (
                    200 <= status < 300 and stamp
                ):
                    return stamp
                case CallResponse(status=status):
                    state.score_errors += status == STATUS_ERROR
                    if state.score_errors >= route.max_attempts:
                        return None
                case CallFailure(detail=detail, expected_s=expected_s):
                    log_event(
                        "score_call_failed", item=state.item.id, detail=detail
                    )
                    pause_s = min(expected_s or 0.0, const.MAX_SCORE_PAUSE_S)
            await trio.sleep(max(pause_s, const.RETRY_DELAY_S))


def fail_item(state: ItemState, reason: str, detail: str = "") -> SampleResult:
    """Log and return the result of an item that can't be completed."""
    log_event(
        "item_given_up",
        item=state.item.id,
        reason=reason,
        detail=detail,
        errors=state.errors,
        score_errors=state.score_errors,
    )
    return SampleResult(state.item.id, False, "", [], "")
