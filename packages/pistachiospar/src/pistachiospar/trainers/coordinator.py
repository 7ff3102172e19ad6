"""Support trainers' steps at an entry: put, run, pull."""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ..adapters.http.models import HttpResponse
from ..bundle.coordinator import BundleKeeper
from . import const
from ..const import MS_PER_S
from ..helpers.problems import Problem
from ..helpers.problems import refuse_input
from ..helpers.problems import refuse_not_run
from ..live.coordinator import LiveCoordinator
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from ..weights.coordinator import WeightsAnnouncer
from .cursor import decode_cursor
from .cursor import encode_cursor
from .dispatch import SampleDispatcher
from .models import PullAnswer
from .models import SampleJob
from .models import StepBody
from .runner import JobRunner
from .scatter import Scatterer
from .steps import OwnedStep
from .storage import StepStorage


class StepCoordinator:
    """Own steps and answer their trainers."""

    def __init__(
        self,
        keeper: BundleKeeper,
        live: LiveCoordinator,
        dispatcher: SampleDispatcher,
        scatterer: Scatterer,
        storage: StepStorage,
        announcer: WeightsAnnouncer,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Begin with no step."""
        self._keeper = keeper
        self._live = live
        self._dispatcher = dispatcher
        self._scatterer = scatterer
        self._storage = storage
        self._announcer = announcer
        self._metrics = metrics
        self._rng = rng
        self._nursery: trio.Nursery | None = None
        self.steps: dict[tuple[str, str], OwnedStep] = {}
        self.runners: dict[tuple[str, str], JobRunner] = {}
        live.subscribe(self._note_change)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the steps' tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def start_task(
        self, task: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Run a task among the steps' tasks; raises RuntimeError."""
        if self._nursery is None:
            raise RuntimeError("the coordinator's tasks are not running")
        self._nursery.start_soon(task, *arguments)

    async def put_step(
        self, trainer: str, step: str, data: bytes
    ) -> Result[bool, Problem]:
        """Take a step; return whether it is new. Idempotent."""
        body = self._check_step(trainer, data)
        if isinstance(body, Err):
            return body
        known = self.steps.get((trainer, step))
        now = trio.current_time()
        made = OwnedStep(trainer, step, body.ok_value, now)
        if known is None:
            stored = await self._storage.find_definition(trainer, step)
            if stored is not None:
                known = OwnedStep(trainer, step, stored, now)
        if known is not None and known.digest != made.digest:
            detail = f"step {step!r} was put with another body"
            return Err(refuse_input("step-conflict", detail, 409))
        if (trainer, step) in self.steps:
            return Ok(False)
        owner = await self._storage.claim(trainer, step, made.body)
        if owner is None and (trainer, step) not in self.steps:
            self._start(made)
        return Ok(known is None)

    async def pull(
        self,
        trainer: str,
        step: str,
        cursor: str,
        wait_ms: int,
        most: int,
        target: str,
    ) -> Result[PullAnswer | HttpResponse, Problem]:
        """Return the next samples, waiting for some at most `wait_ms`."""
        owned = self.steps.get((trainer, step))
        if owned is None:
            found = await self._find_elsewhere(trainer, step, target)
            if not isinstance(found, OwnedStep):
                return found
            owned = found
        taken = decode_cursor(cursor, owned.digest, len(owned.jobs))
        if isinstance(taken, Err):
            return Err(refuse_input("bad-cursor", taken.err_value))
        owned.pulls += 1
        turn = owned.pulls
        now = trio.current_time()
        owned.used_at = now
        deadline = now + wait_ms / MS_PER_S
        self._run_again(owned, owned.free_taken(taken.ok_value))
        with trio.move_on_at(deadline):
            while turn == owned.pulls:
                self._drop_stale(owned)
                answer = owned.collect(taken.ok_value, most)
                if answer is not None:
                    if await self._learn_newer(owned.trainer):
                        continue
                    self._metrics.count("samples_sent", len(answer.samples))
                    return Ok(answer)
                await owned.changed.wait()
        if turn != owned.pulls:
            detail = "a newer pull of the step is under way"
            return Err(refuse_input("superseded-pull", detail, 409))
        again = cursor or encode_cursor(owned.digest, taken.ok_value)
        return Ok(PullAnswer([], again, False))

    async def _find_elsewhere(
        self, trainer: str, step: str, target: str
    ) -> OwnedStep | Result[PullAnswer | HttpResponse, Problem]:
        """Ask the step's owner, or take the step over."""
        found = await self._storage.find_definition(trainer, step)
        if found is None:
            return Err(self._refuse_unknown_step(step))
        owner = await self._storage.claim(trainer, step, found)
        if owner is not None:
            answer = await self._scatterer.forward(owner, target)
            if isinstance(answer, Ok):
                return Ok(answer.ok_value)
            await self._storage.take_over(trainer, step, owner)
        if (trainer, step) in self.steps:
            return self.steps[(trainer, step)]
        log_event("step_taken_over", trainer=trainer, step=step)
        self._metrics.count("steps_taken_over")
        owned = OwnedStep(trainer, step, found, trio.current_time())
        self._start(owned)
        return owned

    def _refuse_unknown_step(self, step: str) -> Problem:
        """Tell that a step must be put again."""
        detail = f"step {step!r} is not known here; put it again"
        if self._storage.available:
            return refuse_input("unknown-step", detail, 404)
        return refuse_not_run("unknown-step", detail, 0.5)

    def _check_step(
        self, trainer_name: str, data: bytes
    ) -> Result[StepBody, Problem]:
        """Check a step against the bundle in force."""
        bundle = self._keeper.get_bundle()
        trainer = bundle.find_trainer(trainer_name) if bundle else None
        if trainer is None:
            detail = f"no trainer {trainer_name!r}"
            return Err(refuse_input("unknown-trainer", detail, 404))
        try:
            body = msgspec.json.decode(data, type=StepBody)
        except msgspec.MsgspecError as error:
            return Err(refuse_input("bad-json", str(error)))
        if body.upstream != trainer.upstream:
            detail = f"trainer {trainer_name!r} uses {trainer.upstream!r}"
            return Err(refuse_input("unknown-upstream", detail))
        names = {group.group for group in body.groups}
        if len(names) != len(body.groups):
            return Err(refuse_input("bad-json", "a group stands twice"))
        total = sum(group.samples for group in body.groups)
        if total > const.MAX_SAMPLES:
            detail = f"over {const.MAX_SAMPLES} samples"
            return Err(refuse_input("oversized-body", detail, 413))
        return Ok(body)

    def _start(self, owned: OwnedStep) -> None:
        """Start to run a step."""
        self.start_task(self._run_step, owned)
        self.steps[(owned.trainer, owned.step)] = owned
        self._forget_old(owned.trainer)
        log_event(
            "step_started",
            trainer=owned.trainer,
            step=owned.step,
            samples=len(owned.jobs),
        )

    async def _run_step(self, owned: OwnedStep) -> None:
        """Run a step's samples here and at peers."""
        key = (owned.trainer, owned.step)
        shares = self._scatterer.assign(owned)
        runner = JobRunner(
            owned.make_order(shares.local),
            self._dispatcher,
            self._metrics,
            self._rng,
            owned.take_sample,
        )
        self.runners[key] = runner
        with owned.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(runner.run)
                for entry, jobs in shares.remote.items():
                    nursery.start_soon(
                        self._scatterer.run_remote,
                        owned,
                        entry,
                        jobs,
                        runner,
                    )
        self.runners.pop(key, None)

    def _run_again(self, owned: OwnedStep, jobs: list[SampleJob]) -> None:
        """Run samples again that were dropped."""
        if not jobs:
            return
        self._metrics.count("samples_run_again", len(jobs))
        runner = self.runners.get((owned.trainer, owned.step))
        if runner is not None:
            runner.add_jobs(jobs)

    def _drop_stale(self, owned: OwnedStep) -> None:
        """Drop samples past the staleness bound, judged now."""
        floor = self._dispatcher.find_floor(owned.make_order([]))
        if floor is not None:
            self._run_again(owned, owned.drop_stale(floor))

    async def _learn_newer(self, trainer: str) -> bool:
        """Ask whether newer weights were announced elsewhere.

        Asked before each delivery, so that staleness is judged by what was
        accepted through any entry; a service that is slow is not waited for.
        """
        before = self._live.find_newest_version(trainer)
        with trio.move_on_after(const.REFRESH_S):
            await self._announcer.refresh(trainer)
        return self._live.find_newest_version(trainer) > before

    def _forget_old(self, trainer: str) -> None:
        """End the steps of a trainer that were used longest ago."""
        mine = [s for s in self.steps.values() if s.trainer == trainer]
        mine.sort(key=lambda owned: owned.used_at)
        for owned in mine[: -const.MAX_STEPS_KEPT]:
            owned.scope.cancel()
            del self.steps[(owned.trainer, owned.step)]

    def _note_change(self) -> None:
        """Look again at what is too old after weights or bundles changed."""
        for runner in self.runners.values():
            runner.cancel_hopeless()
