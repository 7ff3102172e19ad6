"""Runner of an entry's part of a step's samples."""

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
from .decisions import decide_straggler_action
from .decisions import is_fresh
from .decisions import StragglerAction
from .decisions import StragglerView
from .dispatch import SampleAttempt
from .dispatch import SampleDispatcher
from .models import JobDone
from .models import JobsOrder
from .models import Sample
from .models import SampleJob


@dataclass(slots=True, eq=False)
class RunningJob:
    """A sample that is being generated, by one or more attempts.

    `avoid` names the instances that it was moved away from, `partial` is the
    text that they generated.
    """

    job: SampleJob
    attempts: list[SampleAttempt] = field(default_factory=list)
    started_attempts: int = 0
    moves: int = 0
    avoid: set[str] = field(default_factory=set)
    partial: GeneratedSample | None = None
    last_error: str = ""


class JobRunner:
    """Run samples until cancelled; deliver each complete one once."""

    def __init__(
        self,
        order: JobsOrder,
        dispatcher: SampleDispatcher,
        metrics: Metrics,
        rng: Random,
        deliver: Callable[[JobDone], None],
    ) -> None:
        """Queue the jobs of the order; `deliver` must not block."""
        self.order = order
        self.pending: deque[SampleJob] = deque(order.jobs)
        self.running: dict[int, RunningJob] = {}
        self.starved_reason = ""
        self.hedged_tokens = 0
        self.finished_tokens = 0
        self.wasted_tokens = 0
        self._durations: deque[float] = deque(maxlen=1024)
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._rng = rng
        self._deliver = deliver
        self._backoff = Backoff(const.RETRY_INITIAL_S, const.RETRY_MAX_S)
        self._wake = trio.Event()

    def add_jobs(self, jobs: list[SampleJob]) -> None:
        """Queue samples; those that are queued or running are skipped."""
        waiting = {job.ordinal for job in self.pending}
        for job in jobs:
            if job.ordinal not in waiting and job.ordinal not in self.running:
                self.pending.append(job)
        self.wake()

    def wake(self) -> None:
        """Check again which samples can be started."""
        self._wake.set()

    def cancel_outdated(self) -> None:
        """Cancel attempts whose weights have become too old."""
        min_version = self._dispatcher.find_min_version(self.order)
        if min_version is None:
            return
        for running in self.running.values():
            for attempt in running.attempts:
                if 0 < attempt.version < min_version:
                    self._metrics.count("samples_hopeless")
                    attempt.scope.cancel()
        self.wake()

    async def run(self) -> None:
        """Run samples until cancelled."""
        with self._dispatcher.register(self):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._check_stragglers, nursery)
                while True:
                    self._wake = trio.Event()
                    self._start_ready(nursery)
                    with trio.move_on_after(const.IDLE_POLL_INTERVAL_S):
                        await self._wake.wait()

    def _start_ready(self, nursery: trio.Nursery) -> None:
        """Start queued samples up to the window's size."""
        window = self._dispatcher.compute_window(self)
        while self.pending and len(self.running) < window:
            job = self.pending.popleft()
            running = RunningJob(job)
            self.running[job.ordinal] = running
            self._start_attempt(running, nursery)

    def _start_attempt(
        self, running: RunningJob, nursery: trio.Nursery
    ) -> None:
        """Start one attempt."""
        running.started_attempts += 1
        attempt = SampleAttempt(running.started_attempts, trio.current_time())
        running.attempts.append(attempt)
        nursery.start_soon(self._run_attempt, running, attempt, nursery)

    async def _run_attempt(
        self,
        running: RunningJob,
        attempt: SampleAttempt,
        nursery: trio.Nursery,
    ) -> None:
        """Run one attempt; start another after a delay if it fails."""
        avoid = {a.instance for a in running.attempts if a is not attempt}
        avoid.update(running.avoid)
        result: Result[GeneratedSample, str] = Err("cancelled")
        with attempt.scope:
            result = await self._dispatcher.run(
                self.order, running.job, attempt, avoid, running.partial
            )
        running.attempts.remove(attempt)
        if self.running.get(running.job.ordinal) is not running:
            return
        if self._handle_result(running, attempt, result):
            return
        if running.attempts:
            return
        if not attempt.reclaimed:
            delay_s = self._backoff.draw_delay_s(
                running.started_attempts - 1, self._rng
            )
            await trio.sleep(delay_s)
        current = self.running.get(running.job.ordinal)
        if current is running and not running.attempts:
            self._start_attempt(running, nursery)

    def _handle_result(
        self,
        running: RunningJob,
        attempt: SampleAttempt,
        result: Result[GeneratedSample, str],
    ) -> bool:
        """Handle an attempt's result; return whether the sample is finished.

        Partial text is kept for the next attempt, unless it is too old.
        """
        if isinstance(result, Err):
            running.last_error = self.starved_reason = result.err_value
            return False
        generated = result.ok_value
        job = running.job
        sample = Sample(
            job.group, job.index, generated.text, generated.segments
        )
        min_version = self._dispatcher.find_min_version(self.order)
        if min_version is None or not is_fresh(sample, min_version):
            if generated.whole:
                self._metrics.count("samples_too_old")
                self.wasted_tokens += generated.count_tokens()
            running.partial = None
            return False
        if not generated.whole:
            self._metrics.count("samples_moved")
            running.partial = generated
            return False
        self._finish_sample(running, sample, attempt)
        return True

    def _finish_sample(
        self, running: RunningJob, sample: Sample, attempt: SampleAttempt
    ) -> None:
        """Deliver a complete sample and cancel its other attempts."""
        del self.running[running.job.ordinal]
        for loser in running.attempts:
            loser.scope.cancel()
            self._metrics.count("hedges_lost")
        tokens = sample.count_tokens()
        self.finished_tokens += tokens
        self._durations.append(trio.current_time() - attempt.started_at)
        self._metrics.count("samples_generated")
        self._metrics.count("sample_tokens", tokens)
        self._deliver(JobDone(running.job.ordinal, sample))
        self._dispatcher.wake_all()

    async def _check_stragglers(self, nursery: trio.Nursery) -> None:
        """Move or hedge samples that take too long; runs until cancelled."""
        while True:
            await trio.sleep(const.STRAGGLER_CHECK_INTERVAL_S)
            for running in list(self.running.values()):
                match self._decide_action(running):
                    case StragglerAction.MOVE:
                        await self._move_sample(running)
                    case StragglerAction.HEDGE:
                        self.hedged_tokens += self.order.max_tokens
                        self._metrics.count("hedges_started")
                        self._start_attempt(running, nursery)

    def _decide_action(self, running: RunningJob) -> StragglerAction:
        """Decide what to do about one running sample."""
        if not running.attempts:
            return StragglerAction.LEAVE
        started_at = running.attempts[0].started_at
        view = StragglerView(
            pending=len(self.pending),
            durations=self._durations,
            elapsed_s=trio.current_time() - started_at,
            attempts=len(running.attempts),
            moves=running.moves,
            ejected=self._dispatcher.is_ejected(running.attempts[0]),
            hedged_tokens=self.hedged_tokens,
            finished_tokens=self.finished_tokens,
            max_tokens=self.order.max_tokens,
        )
        return decide_straggler_action(view)

    async def _move_sample(self, running: RunningJob) -> None:
        """Reclaim a sample from its sampler, to continue at another."""
        attempt = running.attempts[0]
        if attempt.reclaimed:
            return
        running.moves += 1
        running.avoid.add(attempt.instance)
        attempt.reclaimed = True
        await self._dispatcher.reclaim(attempt)
