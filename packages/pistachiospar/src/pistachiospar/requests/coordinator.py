"""Forwarding of callers' requests, with retries and settlement."""

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
from ..membership.sidecar_peer import SidecarPeer
from ..ports.caller_response import CallerSink
from ..ports.link import RunStream
from ..telemetry.metrics import Metrics
from .final_problem import AttemptHistory
from .final_problem import make_final_problem
from .instance_choice import choose_instance
from .instance_choice import choose_pinned
from .models import AttemptResult
from .models import CallerRequest
from .models import Choice
from .models import Chosen
from .models import Delivered
from .models import GiveUp
from .models import Lost
from .models import NoInstance
from .models import NotRun
from .models import RetryAfter
from .models import Truncated
from .orders import count_in_flight
from .orders import make_run_order
from .orders import record_refusal
from .orders import track_attempt
from .response_relay import ResponseRelay
from .retry import decide_retry
from .retry import RetryBudget
from .settle import Settler


class ResponseTruncatedError(Exception):
    """Failure of a response after its head; the stream is left unfinished."""


class RequestCoordinator:
    """Forward each caller's request to one sidecar at a time.

    The caller gets a complete response, a truncated one or a problem that
    says whether the request was run.
    """

    def __init__(
        self,
        zone: str,
        membership: MembershipCoordinator,
        explanations: Explanations,
        metrics: Metrics,
        rng: Random,
        read_wall_s: Callable[[], float],
    ) -> None:
        """Use monotonic time, and `read_wall_s` for ages of instances."""
        self._zone = zone
        self._read_wall_s = read_wall_s
        self._membership = membership
        self._explanations = explanations
        self._metrics = metrics
        self._rng = rng
        self._budget = RetryBudget()
        self._settler = Settler(rng)

    async def forward(self, request: CallerRequest, sink: CallerSink) -> None:
        """Respond to a request.

        Raises ResponseTruncatedError if the response breaks off.
        """
        self._budget.deposit()
        problem = await self._try_until_final(request, sink)
        if problem is None:
            return
        self._metrics.count(f"answered_{problem.outcome}")
        await sink.send_problem(
            problem, [(HEADER_REQUEST_ID, request.request_id)]
        )

    async def _try_until_final(
        self, request: CallerRequest, sink: CallerSink
    ) -> Problem | None:
        """Try until the response is relayed, or return the final problem."""
        history = AttemptHistory()
        while True:
            choice = self._choose_instance(request, history.avoid)
            if isinstance(choice, NoInstance):
                self._record_decision(request, "refused", choice.reason)
                return make_final_problem(request, history, choice)
            self._record_decision(
                request, f"chose {choice.name}", choice.reason
            )
            peer = await self._find_peer(request, choice)
            if peer is None:
                reason = f"{choice.previous_owner} owned the key before"
                return report_unknown_outcome("outcome-unknown", reason)
            history.attempts += 1
            result = await self._run_attempt(
                request, peer, history.attempts, sink
            )
            match result:
                case Delivered():
                    return None
                case Truncated(reason):
                    self._record_decision(request, "truncated", reason)
                    raise ResponseTruncatedError(reason)
            self._record_decision(
                request, type(result).__name__, result.reason
            )
            history.record_failure(choice.name, result)
            if isinstance(result, Lost) and not request.repeatable:
                return make_final_problem(request, history, result)
            delay_s = self._plan_retry(request, history, result)
            if delay_s is None:
                return make_final_problem(request, history, result)
            await trio.sleep(delay_s)

    def _choose_instance(
        self, request: CallerRequest, avoid: set[str]
    ) -> Choice:
        """Choose the request's instance: by its key if it is pinned."""
        now = trio.current_time()
        upstream = request.upstream
        views = self._membership.list_views(upstream.name)
        if request.pinned and not self._membership.departures_loaded:
            reason = "the list of departed instances is not loaded yet"
            return NoInstance(reason, 1.0, True)
        if request.pinned:
            ttl_s = 2.0 * upstream.max_timeout_ms / MS_PER_S
            departed = self._membership.list_departed(
                upstream.name, now, ttl_s
            )
            wall_s = self._read_wall_s()
            return choose_pinned(views, departed, request, ttl_s, wall_s)
        return choose_instance(
            views, request, avoid, self._zone, now, self._rng
        )

    async def _find_peer(
        self, request: CallerRequest, choice: Chosen
    ) -> SidecarPeer | None:
        """Return the sidecar that knows the key, or the chosen one.

        None if the previous owner of the key can't be asked.
        """
        peers = self._membership.peers
        if not choice.previous_owner:
            return peers[choice.name]
        previous = peers.get(choice.previous_owner)
        if previous is None:
            return None
        settle_order = SettleOrder(
            request.request_id, request.caller.name, request.key, True
        )
        reply = await previous.link.settle(settle_order)
        if isinstance(reply, Err):
            return None
        if reply.ok_value.outcome is SettlementOutcome.NOT_RUN:
            return peers.get(choice.name)
        self._record_decision(
            request, f"chose {previous.view.name}", "knows the key"
        )
        return previous

    def _plan_retry(
        self,
        request: CallerRequest,
        history: AttemptHistory,
        result: NotRun | Lost,
    ) -> float | None:
        """Return the delay before the next attempt, None to give up."""
        hint_s = 0.0
        if isinstance(result, NotRun) and request.pinned:
            hint_s = result.retry_after_s
        decision = decide_retry(
            self._budget,
            history.attempts,
            hint_s,
            trio.current_time(),
            request.deadline,
            self._rng,
        )
        match decision:
            case RetryAfter(delay_s, reason):
                self._metrics.count("retries")
                self._record_decision(request, "retry", reason)
                return delay_s
            case GiveUp(reason):
                self._record_decision(request, "gave up", reason)
        return None

    async def _run_attempt(
        self,
        request: CallerRequest,
        peer: SidecarPeer,
        number: int,
        sink: CallerSink,
    ) -> AttemptResult:
        """Make one attempt; settle it if its response is lost."""
        started_at = trio.current_time()
        order_id = f"{request.request_id}.{number}"
        order = make_run_order(request, peer, order_id, started_at)
        if order is None:
            return NotRun("the deadline has passed", 1.0)
        with count_in_flight(peer, request):
            result = await self._run_order(request, peer, order, sink)
            if not request.repeatable:
                result = await self._recover_response(
                    request, peer, order, result, sink
                )
        self._record_result(peer, request, result, started_at)
        return result

    async def _recover_response(
        self,
        request: CallerRequest,
        peer: SidecarPeer,
        order: RunOrder,
        result: AttemptResult,
        sink: CallerSink,
    ) -> AttemptResult:
        """Settle an attempt whose response was lost, and fetch the response.

        An incarnation of a sidecar never runs the same key twice, so a
        repeated order can only return the response of the first run.
        """
        number = 0
        while isinstance(result, Lost) and not result.settled:
            settled = await self._settler.settle(peer, order, request)
            if settled is not None:
                self._record_decision(request, "settled", settled.reason)
                return settled
            number += 1
            order_id = f"{order.request_id}.{number}"
            again = make_run_order(
                request, peer, order_id, trio.current_time()
            )
            if again is None or again.incarnation != order.incarnation:
                return Lost("dispatched; response not received", True)
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
        """Send an order and relay its response to the caller."""
        head_sent = False
        try:
            with track_attempt(
                peer, order.request_id, trio.current_time()
            ) as attempt:
                limit = request.deadline + const.DEADLINE_MARGIN_S
                attempt.scope.deadline = limit
                relay = ResponseRelay(request, attempt, sink, self._metrics)
                try:
                    with attempt.scope:
                        async with peer.link.run(
                            order, request.body
                        ) as stream:
                            return await self._handle_reply(
                                relay, stream, peer, order
                            )
                finally:
                    head_sent = relay.head_sent
            reason = (
                "connection stalled" if attempt.stalled else "deadline passed"
            )
        except LinkNotSentError as error:
            peer.view.missed_heartbeats = max(peer.view.missed_heartbeats, 1)
            peer.request_heartbeat()
            return NotRun(str(error), 0.5, True)
        except LinkLostError as error:
            peer.request_heartbeat()
            reason = str(error)
        return Truncated(reason) if head_sent else Lost(reason)

    async def _handle_reply(
        self,
        relay: ResponseRelay,
        stream: RunStream,
        peer: SidecarPeer,
        order: RunOrder,
    ) -> AttemptResult:
        """Relay the response, or return why there is none."""
        match stream.reply:
            case Answered() as answered:
                await relay.relay_response(answered, stream)
                return Delivered()
            case Refused() as refused:
                record_refusal(peer, order, refused)
                return NotRun(refused.reason, refused.retry_after_s)
            case Failed() as failed:
                return Lost(failed.reason, True)

    def _record_result(
        self,
        peer: SidecarPeer,
        request: CallerRequest,
        result: AttemptResult,
        started_at: float,
    ) -> None:
        """Update the instance's statistics; eject it if it is an outlier."""
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
            self._record_decision(request, f"ejected {view.name}", reason)

    def _record_decision(
        self, request: CallerRequest, decision: str, reason: str
    ) -> None:
        """Record a decision for /explain."""
        self._explanations.record_decision(
            request.request_id, trio.current_time(), decision, reason
        )
