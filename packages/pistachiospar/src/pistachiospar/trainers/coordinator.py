"""Trainers' steps at an entry: accepted, run and pulled."""

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
from ..live_state.coordinator import LiveCoordinator
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from ..weight_announcements.coordinator import WeightsAnnouncer
from .cursor import decode_cursor
from .cursor import encode_cursor
from .dispatch import SampleDispatcher
from .models import PullResponse
from .models import SampleJob
from .models import StepBody
from .runner import JobRunner
from .scatter import Scatterer
from .steps import OwnedStep
from .storage import StepStorage


class StepCoordinator:
    """Run the steps that this entry owns and answer their trainers.

    `steps` and `runners` are by trainer and step.
    """

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
        """Subscribe to changes of weights and bundles."""
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
        live.subscribe(self._handle_change)

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
        """Start a task beside the steps' tasks.

        Raises RuntimeError if run() is not active.
        """
        if self._nursery is None:
            raise RuntimeError("the coordinator's tasks are not running")
        self._nursery.start_soon(task, *arguments)

    async def put_step(
        self, trainer: str, step: str, data: bytes
    ) -> Result[bool, Problem]:
        """Accept a step; return whether it is new.

        Idempotent for the same body; another body is a step-conflict.
        """
        body = self._check_step(trainer, data)
        if isinstance(body, Err):
            return body
        known_step = self.steps.get((trainer, step))
        now = trio.current_time()
        new_step = OwnedStep(trainer, step, body.ok_value, now)
        if known_step is None:
            stored = await self._storage.find_definition(trainer, step)
            if stored is not None:
                known_step = OwnedStep(trainer, step, stored, now)
        if known_step is not None and known_step.digest != new_step.digest:
            detail = f"step {step!r} was put with another body"
            return Err(refuse_input("step-conflict", detail, 409))
        if (trainer, step) in self.steps:
            return Ok(False)
        owner = await self._storage.claim_step(trainer, step, new_step.body)
        if owner is None and (trainer, step) not in self.steps:
            self._start_step(new_step)
        return Ok(known_step is None)

    async def pull_samples(
        self,
        trainer: str,
        step: str,
        cursor: str,
        wait_ms: int,
        max_samples: int,
        target: str,
    ) -> Result[PullResponse | HttpResponse, Problem]:
        """Return the next samples, waiting up to `wait_ms` for the first.

        A step that another entry owns is pulled there by forwarding `target`,
        or taken over if its owner can't be reached.
        """
        owned = self.steps.get((trainer, step))
        if owned is None:
            found = await self._forward_or_take_over(trainer, step, target)
            if not isinstance(found, OwnedStep):
                return found
            owned = found
        received = decode_cursor(cursor, owned.digest, len(owned.jobs))
        if isinstance(received, Err):
            return Err(refuse_input("bad-cursor", received.err_value))
        owned.pull_count += 1
        pull_number = owned.pull_count
        now = trio.current_time()
        owned.last_used_at = now
        deadline = now + wait_ms / MS_PER_S
        self._rerun_samples(owned, owned.discard_received(received.ok_value))
        with trio.move_on_at(deadline):
            while pull_number == owned.pull_count:
                self._drop_stale(owned)
                response = owned.collect_batch(received.ok_value, max_samples)
                if response is not None:
                    if await self._has_newer_weights(owned.trainer):
                        continue
                    self._metrics.count("samples_sent", len(response.samples))
                    return Ok(response)
                await owned.changed.wait()
        if pull_number != owned.pull_count:
            detail = "a newer pull of the step is in progress"
            return Err(refuse_input("superseded-pull", detail, 409))
        unchanged_cursor = cursor or encode_cursor(
            owned.digest, received.ok_value
        )
        return Ok(PullResponse([], unchanged_cursor, False))

    async def _forward_or_take_over(
        self, trainer: str, step: str, target: str
    ) -> OwnedStep | Result[PullResponse | HttpResponse, Problem]:
        """Forward a pull to the step's owner, or take the step over."""
        definition = await self._storage.find_definition(trainer, step)
        if definition is None:
            return Err(self._refuse_unknown_step(step))
        owner = await self._storage.claim_step(trainer, step, definition)
        if owner is not None:
            response = await self._scatterer.forward_pull(owner, target)
            if isinstance(response, Ok):
                return Ok(response.ok_value)
            await self._storage.take_over_step(trainer, step, owner)
        if (trainer, step) in self.steps:
            return self.steps[(trainer, step)]
        log_event("step_taken_over", trainer=trainer, step=step)
        self._metrics.count("steps_taken_over")
        owned = OwnedStep(trainer, step, definition, trio.current_time())
        self._start_step(owned)
        return owned

    def _refuse_unknown_step(self, step: str) -> Problem:
        """Return the problem that asks the trainer to put a step again."""
        detail = f"step {step!r} is not known here; put it again"
        if self._storage.available:
            return refuse_input("unknown-step", detail, 404)
        return refuse_not_run("unknown-step", detail, 0.5)

    def _check_step(
        self, trainer_name: str, data: bytes
    ) -> Result[StepBody, Problem]:
        """Parse a step's body and check it against the bundle in force."""
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
            return Err(refuse_input("bad-json", "duplicate group name"))
        total = sum(group.samples for group in body.groups)
        if total > const.MAX_SAMPLES:
            detail = f"over {const.MAX_SAMPLES} samples"
            return Err(refuse_input("oversized-body", detail, 413))
        return Ok(body)

    def _start_step(self, owned: OwnedStep) -> None:
        """Start running a step."""
        self.start_task(self._run_step, owned)
        self.steps[(owned.trainer, owned.step)] = owned
        self._cancel_old_steps(owned.trainer)
        log_event(
            "step_started",
            trainer=owned.trainer,
            step=owned.step,
            samples=len(owned.jobs),
        )

    async def _run_step(self, owned: OwnedStep) -> None:
        """Run a step's samples at this entry and at peers."""
        key = (owned.trainer, owned.step)
        assignment = self._scatterer.assign(owned)
        runner = JobRunner(
            owned.make_order(assignment.local),
            self._dispatcher,
            self._metrics,
            self._rng,
            owned.add_sample,
        )
        self.runners[key] = runner
        with owned.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(runner.run)
                for entry, jobs in assignment.remote.items():
                    nursery.start_soon(
                        self._scatterer.run_remote,
                        owned,
                        entry,
                        jobs,
                        runner,
                    )
        self.runners.pop(key, None)

    def _rerun_samples(self, owned: OwnedStep, jobs: list[SampleJob]) -> None:
        """Queue samples to be generated again."""
        if not jobs:
            return
        self._metrics.count("samples_run_again", len(jobs))
        runner = self.runners.get((owned.trainer, owned.step))
        if runner is not None:
            runner.add_jobs(jobs)

    def _drop_stale(self, owned: OwnedStep) -> None:
        """Drop samples that exceed the staleness bound now."""
        min_version = self._dispatcher.find_min_version(owned.make_order([]))
        if min_version is not None:
            self._rerun_samples(owned, owned.drop_stale(min_version))

    async def _has_newer_weights(self, trainer: str) -> bool:
        """Return whether newer weights were announced through any entry.

        Checked before each delivery, so that staleness counts from the newest
        version that any entry accepted. A slow key-value service is not
        waited for.
        """
        before = self._live.find_newest_version(trainer)
        with trio.move_on_after(const.WEIGHTS_REFRESH_TIMEOUT_S):
            await self._announcer.refresh_weights(trainer)
        return self._live.find_newest_version(trainer) > before

    def _cancel_old_steps(self, trainer: str) -> None:
        """Cancel a trainer's least recently used steps over the limit."""
        steps_of_trainer = [
            s for s in self.steps.values() if s.trainer == trainer
        ]
        steps_of_trainer.sort(key=lambda owned: owned.last_used_at)
        for owned in steps_of_trainer[: -const.MAX_STEPS_PER_TRAINER]:
            owned.scope.cancel()
            del self.steps[(owned.trainer, owned.step)]

    def _handle_change(self) -> None:
        """Cancel attempts that new weights or a new bundle made too old."""
        for runner in self.runners.values():
            runner.cancel_outdated()
