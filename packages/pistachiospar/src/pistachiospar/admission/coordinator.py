"""Admission of plain calls, by what this gateway knows of the instances."""

from random import Random

import trio

from . import const
from ..forwarding.health import InstanceHealth
from ..forwarding.models import ForwardCall
from ..forwarding.selection import choose_upstream
from ..forwarding.selection import InstanceSelector
from ..routing.instances import ListedInstance
from ..shares.waiting_queue import WaitingCall
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .budgets import earn
from .decisions import choose_max_wait_s
from .decisions import estimate_wait_s
from .decisions import fits_bounds
from .decisions import is_hopeless
from .decisions import promise_return
from .instances import InstanceRooms
from .models import AdmissionAnswer
from .models import AdmissionRefusal
from .models import CallOffer
from .models import NoInstance
from .models import QueueHistory
from .models import RetryBudget
from .models import Started
from .models import Waiting
from .upstream_queues import UpstreamQueue

BUDGET_DETAIL = "the retries of the upstream are used up"


class CallAdmission:
    """Offer calls to instances with room, and keep or refuse the others."""

    def __init__(
        self,
        selector: InstanceSelector,
        health: InstanceHealth,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Initialize; `rng` spreads offers to instances that were full."""
        self._selector = selector
        self._metrics = metrics
        self._rng = rng
        self._queues: dict[str, UpstreamQueue] = {}
        self.rooms = InstanceRooms(health, metrics, rng)
        self._waiting: dict[CallOffer, tuple[str, WaitingCall[CallOffer]]] = {}
        self._waiting_bytes = 0
        self._has_waiting = trio.Event()
        metrics.add_gauge("calls_waiting", lambda: len(self._waiting))
        metrics.add_gauge("calls_waiting_bytes", lambda: self._waiting_bytes)

    async def run(self) -> None:
        """Offer waiting calls again as time passes."""
        swept_at = trio.current_time()
        while True:
            await self._has_waiting.wait()
            now = trio.current_time()
            is_due = now - swept_at >= max(
                const.SWEEP_INTERVAL_S,
                const.SWEEP_PER_CALL_S * len(self._waiting),
            )
            for upstream in list(self._queues):
                self._dispatch(upstream, now)
                if is_due:
                    self._refuse_hopeless(upstream, now)
            if is_due:
                swept_at = now
            if not self._waiting:
                self._has_waiting = trio.Event()
            await trio.sleep(const.POLL_INTERVAL_S)

    def request(self, offer: CallOffer, now: float) -> AdmissionAnswer:
        """Start a call at an instance, let it wait, or refuse it."""
        call = offer.call
        upstream = choose_upstream(call.route, self._rng)
        queue = self._get_queue(upstream, now)
        candidates = self._list_candidates(upstream, call, now)
        if not candidates:
            return NoInstance()
        if not offer.is_repeated:
            queue.budget = earn(queue.budget, now)
        elif queue.is_pressed(now) and not queue.spend_token(
            offer.may_refuse(), now
        ):
            expected_s = self._estimate_wait_s(upstream, call, now)
            return self._make_refusal(upstream, BUDGET_DETAIL, expected_s, now)
        if not queue.calls.count and self._start(upstream, offer, now):
            queue.note_use(False, now)
            return Started()
        if offer.hedges and not queue.is_pressed(now):
            return NoInstance()
        refusal = self._find_refusal(upstream, offer, now)
        if refusal is not None:
            self._metrics.count("calls_refused_at_once")
            return refusal
        self._add(upstream, offer, now)
        self._dispatch(upstream, now)
        return Waiting() if offer in self._waiting else Started()

    def withdraw(self, offer: CallOffer) -> None:
        """Forget a call that waits no longer; no-op if it doesn't wait."""
        found = self._waiting.pop(offer, None)
        if found is not None:
            upstream, waiting = found
            self._waiting_bytes -= len(offer.call.body)
            self._queues[upstream].calls.remove(waiting)

    def may_hedge(self, running_at: list[ListedInstance], now: float) -> bool:
        """Return whether a call may run twice, by where it runs now.

        Under pressure only when nothing is answered there.
        """
        for instance in running_at:
            queue = self._queues.get(instance.upstream)
            if queue is None or not queue.is_pressed(now):
                continue
            found = self._selector.list_instances(instance.upstream, now)
            if instance in self.rooms.list_answering(found, now):
                return False
        return True

    def record_end(
        self, instance: ListedInstance, responded: bool, now: float
    ) -> None:
        """Record the end of a call, and use the room that it leaves."""
        self.rooms.record_end(instance, responded, now)
        if instance.upstream in self._queues:
            self._dispatch(instance.upstream, now)

    def _dispatch(self, upstream: str, now: float) -> None:
        """Start the waiting calls for which there is room, in order."""
        queue = self._queues[upstream]
        while queue.calls.count:
            queue.note_use(True, now)
            if not any(
                self._start_waiting(upstream, waiting, now)
                for waiting in queue.calls.list_next()
            ):
                return
        queue.note_use(False, now)

    def _start_waiting(
        self, upstream: str, waiting: WaitingCall[CallOffer], now: float
    ) -> bool:
        """Start a waiting call; False when there is no room for it."""
        offer = waiting.value
        instance = self._find_instance(upstream, offer, now)
        if instance is None:
            return False
        self._queues[upstream].calls.take(waiting)
        del self._waiting[offer]
        self._waiting_bytes -= len(offer.call.body)
        offer.start(instance)
        return True

    def _start(self, upstream: str, offer: CallOffer, now: float) -> bool:
        """Start a call that needs not wait; False when there is no room."""
        instance = self._find_instance(upstream, offer, now)
        if instance is None:
            return False
        offer.start(instance)
        return True

    def _find_instance(
        self, upstream: str, offer: CallOffer, now: float
    ) -> ListedInstance | None:
        """Return an instance with room for a call."""
        candidates = self._list_candidates(upstream, offer.call, now)
        is_pressed = self._queues[upstream].is_pressed(now)
        found = self.rooms.list_open(candidates, is_pressed, now)
        if offer.hedges:
            found = [
                instance
                for instance in found
                if instance.name not in offer.tried
                and self._selector.may_hedge_at(instance)
                and (is_pressed or self.rooms.has_free_slot(instance, now))
            ]
        return self._selector.choose_among(offer.call, found, offer.tried, now)

    def _list_candidates(
        self, upstream: str, call: ForwardCall, now: float
    ) -> list[ListedInstance]:
        """Return the instances that no limit keeps from taking a call."""
        return self._selector.list_unlimited(
            upstream, call.route.priority, now
        )

    def _add(self, upstream: str, offer: CallOffer, now: float) -> None:
        """Let a call wait."""
        call = offer.call
        queue = self._queues[upstream]
        queue.note_use(True, now)
        waiting = queue.calls.add(
            offer,
            call.route.priority,
            call.organisation or "",
            call.give_up_at,
        )
        self._waiting[offer] = upstream, waiting
        self._waiting_bytes += len(call.body)
        self._has_waiting.set()
        self._metrics.count("calls_queued")

    def _find_refusal(
        self, upstream: str, offer: CallOffer, now: float
    ) -> AdmissionRefusal | None:
        """Return why a call may not wait; None when it may.

        One that may have run has to be waited for in any case.
        """
        call = offer.call
        queue = self._queues[upstream]
        expected_s = self._estimate_wait_s(upstream, call, now)
        if offer.may_refuse() and expected_s is not None:
            max_wait_s = choose_max_wait_s(
                call.give_up_at - now,
                call.route.target_latency_s,
                self.rooms.find_usual_duration_s(
                    self._selector.list_instances(upstream, now)
                ),
                queue.history.is_standing
                and not queue.calls.count_more_urgent(call.route.priority),
            )
            if expected_s > max_wait_s:
                queue.note_use(True, now)
                return self._make_refusal(
                    upstream,
                    f"no room within {max_wait_s:.2f} s",
                    expected_s - max(0.0, max_wait_s),
                    now,
                )
        if not self._make_space(upstream, offer, now):
            return self._make_refusal(
                upstream, "too many calls wait", expected_s, now
            )
        return None

    def _make_refusal(
        self, upstream: str, detail: str, expected_s: float | None, now: float
    ) -> AdmissionRefusal:
        """Return a refusal with when its caller finds room."""
        queue = self._queues[upstream]
        rate_per_s = self.rooms.estimate_rate_per_s(
            self._selector.list_instances(upstream, now), now
        )
        if expected_s is None or rate_per_s is None:
            return AdmissionRefusal(detail, expected_s)
        queue.promised_until = promise_return(
            queue.promised_until, expected_s, rate_per_s, now
        )
        return AdmissionRefusal(detail, queue.promised_until - now)

    def _make_space(self, upstream: str, offer: CallOffer, now: float) -> bool:
        """Return whether a call may be held, if need be for a less urgent."""
        new_bytes = len(offer.call.body)
        while not fits_bounds(
            len(self._waiting), self._waiting_bytes, new_bytes
        ):
            last = self._queues[upstream].calls.find_last()
            if (
                last is None
                or last.priority <= offer.call.route.priority
                or not last.value.may_refuse()
            ):
                return False
            self._refuse(upstream, last.value, "too many calls wait", now)
        return True

    def _refuse_hopeless(self, upstream: str, now: float) -> None:
        """Refuse the waiting calls that can't be served in time any more."""
        queue = self._queues[upstream].calls
        is_empty = not self._selector.list_instances(upstream, now)
        rate_per_s = self.rooms.estimate_rate_per_s(
            self._selector.list_instances(upstream, now), now
        )
        duration_s = self.rooms.find_usual_duration_s(
            self._selector.list_instances(upstream, now)
        )
        for waiting, ahead in queue.list_ahead():
            offer = waiting.value
            if not offer.may_refuse():
                continue
            expected_s = estimate_wait_s(ahead, rate_per_s)
            remaining_s = waiting.deadline - now
            if is_empty or is_hopeless(expected_s, duration_s, remaining_s):
                self._refuse(upstream, offer, "no room in time", now)

    def _refuse(
        self, upstream: str, offer: CallOffer, detail: str, now: float
    ) -> None:
        """End the wait of a call."""
        expected_s = self._estimate_wait_s(upstream, offer.call, now)
        self.withdraw(offer)
        self._metrics.count("calls_refused_waiting")
        log_event(
            "waiting_call_refused",
            request=offer.call.request_id,
            upstream=upstream,
            waiting=self._queues[upstream].calls.count,
            detail=detail,
        )
        offer.refuse(self._make_refusal(upstream, detail, expected_s, now))

    def _estimate_wait_s(
        self, upstream: str, call: ForwardCall, now: float
    ) -> float | None:
        """Return how long a call is expected to wait; None if unknown."""
        ahead = self._queues[upstream].calls.count_ahead(
            call.route.priority, call.organisation or "", call.give_up_at
        )
        return estimate_wait_s(
            ahead,
            self.rooms.estimate_rate_per_s(
                self._selector.list_instances(upstream, now), now
            ),
        )

    def _get_queue(self, upstream: str, now: float) -> UpstreamQueue:
        """Return an upstream's queue, a new one if there is none."""
        if upstream not in self._queues:
            budget = RetryBudget(const.RETRY_RESERVE, now)
            self._queues[upstream] = UpstreamQueue(budget, QueueHistory(now))
        return self._queues[upstream]
