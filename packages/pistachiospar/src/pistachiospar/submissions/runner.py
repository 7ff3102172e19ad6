"""Support running one item: its stream, its way on, its scoring call."""

from collections.abc import Callable
from collections.abc import Collection

import trio

from . import const
from ..forwarding.coordinator import Forwarder
from ..forwarding.health import InstanceHealth
from ..forwarding.models import Answered
from ..forwarding.models import Failed
from ..forwarding.models import ForwardCall
from ..ports.sampler import SamplerCall
from ..ports.sampler import SamplerClient
from ..ports.sampler import SamplerResponse
from ..ports.sampler import StreamEvent
from ..ports.upstream import UpstreamError
from ..ports.upstream import UpstreamNotSentError
from ..routing.instances import ListedInstance
from ..routing.models import Route
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .board import ItemState
from .board import Phase
from .board import SubmissionState
from .models import SampleResult

STATUS_OK = 200
STATUS_ERROR = 500
STATUS_NEVER = 422

FindRoute = Callable[[str, str], Route | None]


class StreamError(Exception):
    """Tell that a stream can't be used.

    `restart` voids what it gave, `silent` says that nothing came at all.
    """

    def __init__(
        self, detail: str, restart: bool = False, silent: bool = False
    ) -> None:
        """Take what was wrong."""
        super().__init__(detail)
        self.restart = restart
        self.silent = silent


class PaceBook:
    """Hold the mean time between events of each instance, in seconds."""

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self._paces: dict[str, tuple[float, float]] = {}

    def note(self, instance: str, gap_s: float, now: float) -> None:
        """Take the gap between two events of a stream."""
        known, _ = self._paces.get(instance, (gap_s, now))
        weight = const.PACE_WEIGHT
        self._paces[instance] = (known + weight * (gap_s - known), now)

    def keep_only(self, instances: Collection[str]) -> None:
        """Forget the instances that are gone."""
        for name in [name for name in self._paces if name not in instances]:
            del self._paces[name]

    def find(self, instance: str, now: float) -> float:
        """Return an instance's pace; the best one when it is not known."""
        known = self._paces.get(instance)
        if known is not None and now - known[1] < const.PACE_AGE_S:
            return known[0]
        return min(
            (pace for pace, _ in self._paces.values()),
            default=const.PACE_FIRST_S,
        )


class ItemRunner:
    """Run items at instances and their scoring calls."""

    def __init__(
        self,
        samplers: SamplerClient,
        forwarder: Forwarder,
        health: InstanceHealth,
        find_route: FindRoute,
        observe: Callable[[str, str, int], None],
        metrics: Metrics,
    ) -> None:
        """Take the ways to instances and routes."""
        self._samplers = samplers
        self._forwarder = forwarder
        self._health = health
        self._find_route = find_route
        self._observe = observe
        self._metrics = metrics
        self._scoring = trio.CapacityLimiter(const.SCORES_LEAST)
        self.paces = PaceBook()

    async def run(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
        route: Route,
        leave: Callable[[], None],
    ) -> SampleResult | None:
        """Run an item at an instance; None when it is to run again.

        `leave` is called once the instance has nothing to do for it.
        """
        detail, severe = "", False
        try:
            if not state.whole:
                state.whole = await self._stream(
                    submission, state, instance, route
                )
        except UpstreamNotSentError as error:
            detail, severe = str(error), True
        except UpstreamError as error:
            detail = str(error)
        except StreamError as error:
            detail, severe = str(error), error.silent
            if error.restart:
                state.restart()
        now = trio.current_time()
        if detail:
            state.avoided = instance.name
            state.not_before = now + const.RETRY_S
            self._health.note_failure(instance.name, now, severe)
            self._metrics.count("item_attempts_lost")
            log_event(
                "item_attempt_lost",
                submission=submission.submission.id,
                item=state.item.id,
                instance=instance.name,
                events=state.last_event,
                detail=detail,
            )
        elif state.whole:
            self._health.note_success(instance.name)
        if state.errors >= route.max_attempts:
            return give_up(state, "errors")
        if not state.whole:
            return None
        leave()
        streamed_at = trio.current_time()
        result = await self._finish(submission, state)
        now = trio.current_time()
        self._metrics.observe("item", streamed_at - state.began_at)
        self._metrics.observe("score", now - streamed_at)
        log_event(
            "item_finished",
            item=state.item.id,
            submission=submission.submission.id,
            instance=instance.name,
            events=state.last_event,
            versions=state.versions,
            streamed_s=round(streamed_at - state.began_at, 3),
            scored_s=round(now - streamed_at, 3),
        )
        return result

    async def _stream(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
        route: Route,
    ) -> bool:
        """Read an item's stream; return whether its text is whole."""
        item = state.item
        call = SamplerCall(
            item.id,
            "POST",
            item.path,
            [*item.headers, ("Host", submission.submission.host)],
            item.body,
            const.ITEM_TIME_S,
            after_event=state.last_event or None,
        )
        with trio.CancelScope() as silence:
            silence.deadline = trio.current_time() + const.FIRST_EVENT_S
            async with self._samplers.call(instance, call) as answer:
                if answer.not_run or answer.status != STATUS_OK:
                    await self._take_refusal(state, answer)
                    return False
                self._check_version(submission, state, instance, answer)
                await self._read_events(
                    submission, state, instance, answer, silence
                )
        if silence.cancelled_caught:
            raise StreamError("no event in time", silent=True)
        if route.single_version and len(set(state.versions)) > 1:
            raise StreamError("more than one version", restart=True)
        return True

    async def _take_refusal(
        self, state: ItemState, answer: SamplerResponse
    ) -> None:
        """Note an answer that is no stream."""
        await answer.read_body()
        state.not_before = trio.current_time() + const.RETRY_S
        if answer.not_run:
            self._metrics.count("item_refusals")
            return
        if answer.status == STATUS_NEVER:
            state.errors = 1_000_000
        elif answer.status == STATUS_ERROR:
            state.errors += 1
        else:
            raise StreamError(f"status {answer.status}")

    def _check_version(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
        answer: SamplerResponse,
    ) -> None:
        """Take the version that a stream begins with; raises StreamError."""
        version = answer.version
        if version is None or not answer.stamp:
            raise StreamError("an answer without version or signature")
        self._observe(instance.name, submission.submission.model, version)
        if version < submission.submission.min_version:
            raise StreamError(f"version {version} is too old")
        state.instance = instance.name

    async def _read_events(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
        answer: SamplerResponse,
        silence: trio.CancelScope,
    ) -> None:
        """Take over the events of a stream, each once and in order."""
        version = answer.version or 0
        last_at: float | None = None
        async for event in answer.iter_events():
            now = trio.current_time()
            silence.deadline = now + const.STALL_S
            if last_at is not None:
                self.paces.note(instance.name, now - last_at, now)
            last_at = now
            if event.version is not None and event.version != version:
                version = event.version
                model = submission.submission.model
                self._observe(instance.name, model, version)
            self._take_event(state, event, version)

    def _take_event(
        self, state: ItemState, event: StreamEvent, version: int
    ) -> None:
        """Take over one event; raises StreamError out of order."""
        if event.number != state.last_event + 1:
            detail = f"event {event.number} after {state.last_event}"
            raise StreamError(detail, restart=True)
        state.last_event = event.number
        state.events.append(event.data)
        if version not in state.versions:
            state.versions.append(version)

    async def _finish(
        self, submission: SubmissionState, state: ItemState
    ) -> SampleResult | None:
        """Score a whole text; None when the submission ended."""
        state.phase = Phase.SCORING
        score = ""
        if state.item.scorer is not None:
            found = await self._score(submission, state)
            if found is None:
                return give_up(state, "scoring")
            score = found
        return SampleResult(
            state.item.id,
            True,
            "\n".join(state.events),
            sorted(state.versions),
            score,
        )

    async def _score(
        self, submission: SubmissionState, state: ItemState
    ) -> str | None:
        """Return the signature of the scoring call, None if none comes."""
        scorer = state.item.scorer
        assert scorer is not None
        while True:
            route = self._find_route(scorer.host, scorer.path)
            if route is None:
                await trio.sleep(const.RETRY_S)
                continue
            slots = self._forwarder.count_slots(route)
            self._scoring.total_tokens = max(
                const.SCORES_LEAST, int(slots * const.SCORES_SHARE)
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
                        now + const.SCORE_TIME_S,
                        1,
                        hedged=False,
                    )
                )
            match outcome:
                case Answered(status=status, stamp=stamp) if (
                    200 <= status < 300 and stamp
                ):
                    return stamp
                case Answered(status=status):
                    state.score_errors += status == STATUS_ERROR
                    if state.score_errors >= route.max_attempts:
                        return None
                case Failed(detail=detail):
                    log_event("score_lost", item=state.item.id, detail=detail)
            await trio.sleep(const.RETRY_S)


def give_up(state: ItemState, reason: str) -> SampleResult:
    """Return the result of an item that can't be completed."""
    log_event(
        "item_given_up",
        item=state.item.id,
        reason=reason,
        errors=state.errors,
        score_errors=state.score_errors,
    )
    return SampleResult(state.item.id, False, "", [], "")
