"""Support forwarding with second tries where the call may be repeated."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

import trio

from . import const
from ..ports.sampler import SamplerCall
from ..ports.sampler import SamplerClient
from ..ports.sampler import SamplerResponse
from ..ports.upstream import UpstreamError
from ..ports.upstream import UpstreamNotSentError
from ..routing.instances import ListedInstance
from ..routing.models import Route
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .health import choose_instance
from .health import InstanceHealth
from .models import Answered
from .models import Failed
from .models import Fault
from .models import ForwardCall
from .models import Outcome

SUCCESSES = range(200, 300)
SERVER_ERRORS = range(500, 600)


@dataclass(slots=True)
class Race:
    """Hold the attempts of one call."""

    call: ForwardCall
    send: trio.MemorySendChannel[Outcome]
    tried: set[str] = field(default_factory=set)
    started: int = 0
    running: int = 0
    refused: int = 0
    maybe_run: bool = False
    spare: Answered | None = None
    detail: str = "no instance"
    scopes: list[trio.CancelScope] = field(default_factory=list)

    def is_hopeless(self) -> bool:
        """Return whether certainly nothing ran and nothing is under way."""
        return not (self.running or self.maybe_run or self.spare)

    def end_by(self, at: float) -> None:
        """End the attempts that still run at a time, in seconds."""
        for scope in self.scopes:
            scope.deadline = at


class Forwarder:
    """Forward calls to the instances of an upstream."""

    def __init__(
        self,
        zone: str,
        samplers: SamplerClient,
        find_instances: Callable[[str, float], list[ListedInstance]],
        health: InstanceHealth,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Take what is known of the instances."""
        self._zone = zone
        self._samplers = samplers
        self._find_instances = find_instances
        self._health = health
        self._metrics = metrics
        self._rng = rng
        self._nursery: trio.Nursery | None = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Hold the attempts, those too that nobody waits for any more."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def forward(self, call: ForwardCall) -> Outcome:
        """Return the answer, or say whether the call may have run.

        Attempts that lost go on for the time that their instance has: it
        ends by itself, and a connection cut instead would be dear.
        """
        send, receive = trio.open_memory_channel[Outcome](64)
        race = Race(call, send)
        outcome: Outcome | None = None
        try:
            with trio.move_on_at(call.give_up_at):
                outcome = await self._run(race, receive)
        except trio.Cancelled:
            race.end_by(float("-inf"))
            raise
        race.end_by(call.give_up_at + const.LINGER_S)
        if outcome is not None:
            return outcome
        if race.spare is not None:
            return race.spare
        maybe_run = race.maybe_run or race.running > 0
        fault = Fault.LOST if maybe_run else Fault.NOT_RUN
        if race.running:
            race.detail = f"{race.running} attempts had no answer in time"
        log_event(
            "call_given_up",
            request=call.request_id,
            route=call.route.name,
            tried=sorted(race.tried),
            fault=fault.value,
            detail=race.detail,
        )
        return Failed(fault, race.detail)

    def choose(
        self, route: Route, tried: set[str], now: float
    ) -> ListedInstance | None:
        """Choose an instance for a route's call."""
        upstream = choose_share(route, self._rng)
        instances = self._find_instances(upstream, now)
        return choose_instance(
            instances, self._health, tried, self._zone, now, self._rng
        )

    def count_slots(self, route: Route) -> int:
        """Return how many calls a route's instances run at once."""
        now = trio.current_time()
        return sum(
            instance.slots
            for share in route.shares
            for instance in self._find_instances(share.upstream, now)
        )

    async def _run(
        self,
        race: Race,
        receive: trio.MemoryReceiveChannel[Outcome],
    ) -> Outcome | None:
        """Start attempts until one brings an answer, or none may start."""
        call = race.call
        left_s = call.give_up_at - trio.current_time()
        refuse_at = trio.current_time() + left_s * const.HOPE_SHARE
        while True:
            if race.is_hopeless() and trio.current_time() >= refuse_at:
                return None
            if race.running == 0 or self._may_hedge(race):
                started = self._start(race)
                if not started and race.running == 0:
                    if race.started >= call.max_attempts:
                        return race.spare
                    await trio.sleep(const.FULL_PAUSE_S)
                    continue
            outcome = await self._receive(race, receive)
            if outcome is None:
                continue
            race.running -= 1
            match outcome:
                case Answered(status=status) if (
                    status in SERVER_ERRORS and call.route.is_repeatable
                ):
                    race.spare = outcome
                case Answered():
                    return outcome
                case Failed(Fault.NOT_RUN):
                    race.started -= 1
                    race.refused += 1
                    race.detail = outcome.detail
                    if race.refused >= const.MOST_REFUSALS:
                        await trio.sleep(const.FULL_PAUSE_S)
                        race.tried.clear()
                case Failed(Fault.LOST):
                    race.maybe_run = True
                    race.detail = outcome.detail
                    if not call.route.is_repeatable:
                        return outcome

    def _may_hedge(self, race: Race) -> bool:
        """Return whether a further attempt may run beside the others."""
        call = race.call
        return (
            call.hedged
            and call.route.is_repeatable
            and race.started < call.max_attempts
            and race.started > 0
        )

    async def _receive(
        self, race: Race, receive: trio.MemoryReceiveChannel[Outcome]
    ) -> Outcome | None:
        """Wait for an attempt; None when it is time for the next one."""
        if not race.call.hedged or race.started >= race.call.max_attempts:
            return await receive.receive()
        share_s = race.call.route.target_latency_s * const.HEDGE_SHARE
        with trio.move_on_after(max(const.HEDGE_LEAST_S, share_s)):
            return await receive.receive()
        return None

    def _start(self, race: Race) -> bool:
        """Start one attempt; False when there is no instance for it."""
        if race.started >= race.call.max_attempts:
            return False
        now = trio.current_time()
        instance = self.choose(race.call.route, race.tried, now)
        if instance is None:
            return False
        if race.running and instance.name in race.tried:
            return False
        race.tried.add(instance.name)
        race.started += 1
        race.running += 1
        assert self._nursery is not None, "run() is not running"
        scope = trio.CancelScope()
        race.scopes.append(scope)
        self._nursery.start_soon(self._attempt, race, instance, scope)
        return True

    async def _attempt(
        self, race: Race, instance: ListedInstance, scope: trio.CancelScope
    ) -> None:
        """Try one instance and report what came of it."""
        outcome: Outcome = Failed(Fault.LOST, "given up")
        with scope:
            outcome = await self._try(race, instance)
        race.send.send_nowait(outcome)

    async def _try(self, race: Race, instance: ListedInstance) -> Outcome:
        """Try one instance."""
        call = race.call
        state = self._health.find(instance.name)
        began_at = trio.current_time()
        sampler_call = SamplerCall(
            call.request_id,
            call.method,
            call.target,
            call.headers,
            call.body,
            call.give_up_at - began_at,
        )
        state.in_flight += 1
        sent = True
        try:
            async with self._samplers.call(instance, sampler_call) as answer:
                outcome = await self._read(answer, instance.name)
        except UpstreamNotSentError as error:
            sent = False
            outcome = Failed(Fault.NOT_RUN, str(error))
        except UpstreamError as error:
            outcome = Failed(Fault.LOST, str(error))
        finally:
            state.in_flight -= 1
        now = trio.current_time()
        self._note(instance.name, outcome, now - began_at, sent, now)
        return outcome

    async def _read(self, answer: SamplerResponse, name: str) -> Outcome:
        """Read an answer; one that is not the instance's own is lost."""
        now = trio.current_time()
        self._health.note_load(name, answer.load, now)
        body = await answer.read_body()
        if answer.not_run:
            return Failed(Fault.NOT_RUN, f"{name}: status {answer.status}")
        encoded = any(
            n.lower() == "content-encoding" for n, _ in answer.headers
        )
        if answer.status in SUCCESSES and (encoded or not answer.stamp):
            return Failed(Fault.LOST, f"{name}: not the instance's answer")
        return Answered(
            answer.status, answer.headers, body, answer.stamp, name
        )

    def _note(
        self,
        name: str,
        outcome: Outcome,
        took_s: float,
        sent: bool,
        now: float,
    ) -> None:
        """Note what came of an attempt."""
        match outcome:
            case Answered(status=status) if status not in SERVER_ERRORS:
                self._health.note_answer(name, took_s, None, now)
            case Answered():
                self._metrics.count("upstream_errors")
            case Failed(Fault.NOT_RUN) if sent:
                self._metrics.count("upstream_refusals")
            case Failed(detail=detail):
                self._metrics.count("upstream_failures")
                self._health.note_failure(name, now)
                log_event("attempt_failed", instance=name, detail=detail)


def choose_share(route: Route, rng: Random) -> str:
    """Draw the upstream of a route by the weights of its split."""
    if len(route.shares) == 1:
        return route.shares[0].upstream
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].upstream
