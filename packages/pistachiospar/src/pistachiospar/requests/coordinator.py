"""Support forwarding: each request reaches one instance, or is refused."""

from collections.abc import Callable
from random import Random

from result import Err
import trio

from . import const
from ..const import HEADER_REQUEST_ID
from ..const import MS_PER_S
from ..helpers.explanations import Explanations
from ..helpers.problems import Problem
from ..helpers.problems import report_unknown_outcome
from ..link.errors import LinkLostError
from ..link.errors import LinkNotSentError
from ..link.messages import Answered
from ..link.messages import Failed
from ..link.messages import Refused
from ..link.messages import RunOrder
from ..link.messages import SettlementOutcome
from ..link.messages import SettleOrder
from ..membership.coordinator import MembershipCoordinator
from ..membership import outliers
from ..membership.peer import SidecarPeer
from ..ports.caller import CallerSink
from ..ports.link import RunStream
from ..telemetry.metrics import Metrics
from .choice import choose_instance
from .choice import choose_pinned
from .models import AttemptResult
from .models import CallerRequest
from .models import Choice
from .models import Chosen
from .models import Cut
from .models import Delivered
from .models import GiveUp
from .models import Lost
from .models import NoInstance
from .models import NotRun
from .models import RetryAt
from .orders import count_in_flight
from .orders import make_order
from .orders import note_refusal
from .orders import track_attempt
from .refusal import refuse_route
from .refusal import Route
from .relay import AnswerRelay
from .retry import decide_retry
from .retry import RetryBudget
from .settle import Settler


class AnswerCutError(Exception):
    """Tell that an answer broke off; the caller's stream is not ended."""


class RequestCoordinator:
    """Forward callers' requests to sidecars."""

    def __init__(
        self,
        zone: str,
        membership: MembershipCoordinator,
        explanations: Explanations,
        metrics: Metrics,
        rng: Random,
        read_wall_s: Callable[[], float],
    ) -> None:
        """Take the links."""
        self._zone = zone
        self._read_wall_s = read_wall_s
        self._membership = membership
        self._explanations = explanations
        self._metrics = metrics
        self._rng = rng
        self._budget = RetryBudget()
        self._settler = Settler(rng)

    async def forward(self, request: CallerRequest, sink: CallerSink) -> None:
        """Answer a request; raises AnswerCutError when it breaks off."""
        self._budget.earn()
        problem = await self._route(request, sink)
        if problem is None:
            return
        self._metrics.count(f"answered_{problem.outcome}")
        await sink.send_problem(
            problem, [(HEADER_REQUEST_ID, request.request_id)]
        )

    async def _route(
        self, request: CallerRequest, sink: CallerSink
    ) -> Problem | None:
        """Try until the answer is passed on, or return why it is not."""
        route = Route()
        while True:
            choice = self._choose(request, route.avoid)
            if isinstance(choice, NoInstance):
                self._explain(request, "refused", choice.reason)
                return refuse_route(request, route, choice)
            self._explain(request, f"chose {choice.name}", choice.reason)
            peer = await self._find_peer(request, choice)
            if peer is None:
                reason = f"{choice.ask_first} held the key before"
                return report_unknown_outcome("outcome-unknown", reason)
            route.attempts += 1
            result = await self._try_once(request, peer, route.attempts, sink)
            match result:
                case Delivered():
                    return None
                case Cut(reason):
                    self._explain(request, "cut", reason)
                    raise AnswerCutError(reason)
            self._explain(request, type(result).__name__, result.reason)
            route.note(choice.name, result)
            if isinstance(result, Lost) and not request.repeatable:
                return refuse_route(request, route, result)
            delay_s = self._plan_retry(request, route, result)
            if delay_s is None:
                return refuse_route(request, route, result)
            await trio.sleep(delay_s)

    def _choose(self, request: CallerRequest, avoid: set[str]) -> Choice:
        """Choose where a request goes."""
        now = trio.current_time()
        upstream = request.upstream
        views = self._membership.list_views(upstream.name)
        if request.pinned and not self._membership.departures_loaded:
            reason = "the instances that left are not known yet"
            return NoInstance(reason, 1.0, True)
        if request.pinned:
            ttl_s = 2.0 * upstream.max_timeout_ms / MS_PER_S
            gone = self._membership.list_departed(upstream.name, now, ttl_s)
            wall_s = self._read_wall_s()
            return choose_pinned(views, gone, request, ttl_s, wall_s)
        return choose_instance(
            views, request, avoid, self._zone, now, self._rng
        )

    async def _find_peer(
        self, request: CallerRequest, choice: Chosen
    ) -> SidecarPeer | None:
        """Return the link to use; None when a moved key is in doubt."""
        peers = self._membership.peers
        if not choice.ask_first:
            return peers[choice.name]
        before = peers.get(choice.ask_first)
        if before is None:
            return None
        ask = SettleOrder(
            request.request_id, request.caller.name, request.key, True
        )
        answer = await before.link.settle(ask)
        if isinstance(answer, Err):
            return None
        if answer.ok_value.outcome is SettlementOutcome.NOT_RUN:
            return peers.get(choice.name)
        self._explain(request, f"chose {before.view.name}", "holds the key")
        return before

    def _plan_retry(
        self, request: CallerRequest, route: Route, result: NotRun | Lost
    ) -> float | None:
        """Return the delay before the next attempt, None to give up."""
        hint_s = 0.0
        if isinstance(result, NotRun) and request.pinned:
            hint_s = result.retry_after_s
        decision = decide_retry(
            self._budget,
            route.attempts,
            hint_s,
            trio.current_time(),
            request.deadline,
            self._rng,
        )
        match decision:
            case RetryAt(delay_s, reason):
                self._metrics.count("retries")
                self._explain(request, "retry", reason)
                return delay_s
            case GiveUp(reason):
                self._explain(request, "gave up", reason)
        return None

    async def _try_once(
        self,
        request: CallerRequest,
        peer: SidecarPeer,
        number: int,
        sink: CallerSink,
    ) -> AttemptResult:
        """Make one attempt; settle it when its answer is lost."""
        started_at = trio.current_time()
        order_id = f"{request.request_id}.{number}"
        order = make_order(request, peer, order_id, started_at)
        if order is None:
            return NotRun("the deadline has passed", 1.0)
        with count_in_flight(peer, request):
            result = await self._run_order(request, peer, order, sink)
            if not request.repeatable:
                result = await self._recover(
                    request, peer, order, result, sink
                )
        self._observe(peer, request, result, started_at)
        return result

    async def _recover(
        self,
        request: CallerRequest,
        peer: SidecarPeer,
        order: RunOrder,
        result: AttemptResult,
        sink: CallerSink,
    ) -> AttemptResult:
        """Settle an attempt whose answer was lost, and fetch the answer.

        The same key never runs twice at one incarnation of a sidecar, so
        asking again with it can only bring the answer of the first run.
        """
        number = 0
        while isinstance(result, Lost) and not result.settled:
            settled = await self._settler.settle(peer, order, request)
            if settled is not None:
                self._explain(request, "settled", settled.reason)
                return settled
            number += 1
            order_id = f"{order.request_id}.{number}"
            again = make_order(request, peer, order_id, trio.current_time())
            if again is None or again.incarnation != order.incarnation:
                return Lost("dispatched; its answer was not had", True)
            self._metrics.count("answers_fetched_again")
            result = await self._run_order(request, peer, again, sink)
            if isinstance(result, NotRun):
                return Lost(f"dispatched; then {result.reason}", True)
        return result

    async def _run_order(
        self,
        request: CallerRequest,
        peer: SidecarPeer,
        order: RunOrder,
        sink: CallerSink,
    ) -> AttemptResult:
        """Send an order and pass its answer on."""
        begun = False
        try:
            with track_attempt(
                peer, order.request_id, trio.current_time()
            ) as attempt:
                limit = request.deadline + const.DEADLINE_MARGIN_S
                attempt.scope.deadline = limit
                relay = AnswerRelay(request, attempt, sink, self._metrics)
                try:
                    with attempt.scope:
                        async with peer.link.run(
                            order, request.body
                        ) as stream:
                            return await self._take_reply(
                                relay, stream, peer, order
                            )
                finally:
                    begun = relay.begun
            reason = "silent" if attempt.stalled else "deadline passed"
        except LinkNotSentError as error:
            peer.view.missed_heartbeats = max(peer.view.missed_heartbeats, 1)
            peer.request_heartbeat()
            return NotRun(str(error), 0.5, True)
        except LinkLostError as error:
            peer.request_heartbeat()
            reason = str(error)
        return Cut(reason) if begun else Lost(reason)

    async def _take_reply(
        self,
        relay: AnswerRelay,
        stream: RunStream,
        peer: SidecarPeer,
        order: RunOrder,
    ) -> AttemptResult:
        """Act on the head of an answer."""
        match stream.reply:
            case Answered() as answered:
                await relay.pass_on(answered, stream)
                return Delivered()
            case Refused() as refused:
                note_refusal(peer, order, refused)
                return NotRun(refused.reason, refused.retry_after_s)
            case Failed() as failed:
                return Lost(failed.reason, True)

    def _observe(
        self,
        peer: SidecarPeer,
        request: CallerRequest,
        result: AttemptResult,
        started_at: float,
    ) -> None:
        """Take a result into account for later choices."""
        now = trio.current_time()
        view = peer.view
        match result:
            case Delivered():
                tokens = max(1, request.tokens)
                outliers.record_success(view, (now - started_at) / tokens)
                outliers.reset_ejections(view)
            case NotRun(unreachable=False):
                return
            case _:
                outliers.record_failure(view)
        peers = self._membership.list_views(request.upstream.name)
        reason = outliers.eject_if_outlier(view, peers, now, self._rng)
        if reason:
            self._metrics.count("ejections")
            self._explain(request, f"ejected {view.name}", reason)

    def _explain(
        self, request: CallerRequest, decision: str, reason: str
    ) -> None:
        """Note a decision for `explain`."""
        self._explanations.record_decision(
            request.request_id, trio.current_time(), decision, reason
        )
