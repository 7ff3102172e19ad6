"""Support running a share of a step's samples at one entry."""

from collections.abc import Callable
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from random import Random

from result import Err
from result import Result
import trio

from . import const
from ..helpers.backoff import Backoff
from ..sidecar.models import GeneratedSample
from ..telemetry.metrics import Metrics
from .decisions import decide_remedy
from .decisions import is_fresh
from .decisions import Remedy
from .decisions import StragglerView
from .dispatch import SampleAttempt
from .dispatch import SampleDispatcher
from .models import JobDone
from .models import JobsOrder
from .models import Sample
from .models import SampleJob


@dataclass(slots=True, eq=False)
class RunningJob:
    """Hold a sample that is being generated, maybe more than once."""

    job: SampleJob
    attempts: list[SampleAttempt] = field(default_factory=list)
    tries: int = 0
    moves: int = 0
    avoid: set[str] = field(default_factory=set)
    begun: GeneratedSample | None = None
    last_error: str = ""


class JobRunner:
    """Run samples until closed; hands over each whole one once."""

    def __init__(
        self,
        order: JobsOrder,
        dispatcher: SampleDispatcher,
        metrics: Metrics,
        rng: Random,
        hand_over: Callable[[JobDone], None],
    ) -> None:
        """Begin with the jobs of the order."""
        self.order = order
        self.pending: deque[SampleJob] = deque(order.jobs)
        self.running: dict[int, RunningJob] = {}
        self.starved_reason = ""
        self.hedged_tokens = 0
        self.done_tokens = 0
        self.wasted_tokens = 0
        self._durations: deque[float] = deque(maxlen=1024)
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._rng = rng
        self._hand_over = hand_over
        self._backoff = Backoff(const.RETRY_FIRST_S, const.RETRY_MOST_S)
        self._wake = trio.Event()

    def add_jobs(self, jobs: list[SampleJob]) -> None:
        """Add samples to run; those under way are left alone."""
        waiting = {job.ordinal for job in self.pending}
        for job in jobs:
            if job.ordinal not in waiting and job.ordinal not in self.running:
                self.pending.append(job)
        self.wake()

    def wake(self) -> None:
        """Look again at what can be started."""
        self._wake.set()

    def cancel_hopeless(self) -> None:
        """Cancel attempts on weights that are too old by now."""
        floor = self._dispatcher.find_floor(self.order)
        if floor is None:
            return
        for running in self.running.values():
            for attempt in running.attempts:
                if 0 < attempt.version < floor:
                    self._metrics.count("samples_hopeless")
                    attempt.scope.cancel()
        self.wake()

    async def run(self) -> None:
        """Run samples until cancelled."""
        with self._dispatcher.register(self):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._look_after_stragglers, nursery)
                while True:
                    self._wake = trio.Event()
                    self._start_ready(nursery)
                    with trio.move_on_after(const.IDLE_POLL_S):
                        await self._wake.wait()

    def _start_ready(self, nursery: trio.Nursery) -> None:
        """Start samples while the window is open."""
        window = self._dispatcher.count_window(self)
        while self.pending and len(self.running) < window:
            job = self.pending.popleft()
            running = RunningJob(job)
            self.running[job.ordinal] = running
            self._start_attempt(running, nursery)

    def _start_attempt(
        self, running: RunningJob, nursery: trio.Nursery
    ) -> None:
        """Start one attempt."""
        running.tries += 1
        attempt = SampleAttempt(running.tries, trio.current_time())
        running.attempts.append(attempt)
        nursery.start_soon(self._run_attempt, running, attempt, nursery)

    async def _run_attempt(
        self,
        running: RunningJob,
        attempt: SampleAttempt,
        nursery: trio.Nursery,
    ) -> None:
        """Run one attempt to its end."""
        avoid = {a.instance for a in running.attempts if a is not attempt}
        avoid.update(running.avoid)
        result: Result[GeneratedSample, str] = Err("cancelled")
        with attempt.scope:
            result = await self._dispatcher.run(
                self.order, running.job, attempt, avoid, running.begun
            )
        running.attempts.remove(attempt)
        if self.running.get(running.job.ordinal) is not running:
            return
        if self._take_result(running, attempt, result):
            return
        if running.attempts:
            return
        if not attempt.reclaimed:
            delay_s = self._backoff.draw_delay_s(running.tries - 1, self._rng)
            await trio.sleep(delay_s)
        current = self.running.get(running.job.ordinal)
        if current is running and not running.attempts:
            self._start_attempt(running, nursery)

    def _take_result(
        self,
        running: RunningJob,
        attempt: SampleAttempt,
        result: Result[GeneratedSample, str],
    ) -> bool:
        """Take a result; return whether the sample is finished."""
        if isinstance(result, Err):
            running.last_error = self.starved_reason = result.err_value
            return False
        made = result.ok_value
        job = running.job
        sample = Sample(job.group, job.index, made.text, made.segments)
        floor = self._dispatcher.find_floor(self.order)
        if floor is None or not is_fresh(sample, floor):
            if made.whole:
                self._metrics.count("samples_too_old")
                self.wasted_tokens += made.count_tokens()
            running.begun = None
            return False
        if not made.whole:
            self._metrics.count("samples_moved")
            running.begun = made
            return False
        self._finish(running, sample, attempt)
        return True

    def _finish(
        self, running: RunningJob, sample: Sample, attempt: SampleAttempt
    ) -> None:
        """Hand a sample over; the first whole answer wins."""
        del self.running[running.job.ordinal]
        for loser in running.attempts:
            loser.scope.cancel()
            self._metrics.count("hedges_lost")
        tokens = sample.tokens()
        self.done_tokens += tokens
        self._durations.append(trio.current_time() - attempt.started_at)
        self._metrics.count("samples_generated")
        self._metrics.count("sample_tokens", tokens)
        self._hand_over(JobDone(running.job.ordinal, sample))
        self._dispatcher.wake_all()

    async def _look_after_stragglers(self, nursery: trio.Nursery) -> None:
        """Move or hedge samples that take too long; one task."""
        while True:
            await trio.sleep(const.HEDGE_POLL_S)
            for running in list(self.running.values()):
                match self._decide_remedy(running):
                    case Remedy.MOVE:
                        await self._move(running)
                    case Remedy.HEDGE:
                        self.hedged_tokens += self.order.max_tokens
                        self._metrics.count("hedges_started")
                        self._start_attempt(running, nursery)

    def _decide_remedy(self, running: RunningJob) -> Remedy:
        """Decide about one running sample."""
        if not running.attempts:
            return Remedy.LEAVE
        started_at = running.attempts[0].started_at
        view = StragglerView(
            pending=len(self.pending),
            durations=self._durations,
            elapsed_s=trio.current_time() - started_at,
            attempts=len(running.attempts),
            moves=running.moves,
            ejected=self._dispatcher.is_ejected(running.attempts[0]),
            hedged_tokens=self.hedged_tokens,
            done_tokens=self.done_tokens,
            max_tokens=self.order.max_tokens,
        )
        return decide_remedy(view)

    async def _move(self, running: RunningJob) -> None:
        """Ask the sampler to give a sample back, to go on elsewhere."""
        attempt = running.attempts[0]
        if attempt.reclaimed:
            return
        running.moves += 1
        running.avoid.add(attempt.instance)
        attempt.reclaimed = True
        await self._dispatcher.reclaim(attempt)
