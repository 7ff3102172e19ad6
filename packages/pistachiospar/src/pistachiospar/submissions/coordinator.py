"""The holder's side of a pool: load, schedule and commit submissions."""

from random import Random

import trio

from . import const
from ..directory.coordinator import Directory
from ..directory.mirror import PrefixMirror
from ..forwarding.health import InstanceHealth
from ..limits.coordinator import InstanceLimits
from ..pool_holders.clock import Clocks
from ..pool_holders.models import Role
from ..ports.kv import KeyValue
from ..ports.sampler import SamplerClient
from ..telemetry.metrics import Metrics
from ..weight_versions.coordinator import VersionCoordinator
from ..weight_versions.decisions import ModelNeed
from .archive import Archive
from .checkpoints import CheckpointStore
from .commits import ResultCommitter
from .dispatch import ItemDispatcher
from .loading import SubmissionLoader
from .registry import ItemPhase
from .registry import SubmissionRegistry
from .registry import SubmissionState
from .retention import Sweeper
from .runner import ItemRunner


class PoolCoordinator:
    """Run the submissions of one pool while this gateway holds its role."""

    def __init__(
        self,
        pool: str,
        kv: KeyValue,
        archive: Archive,
        directory: Directory,
        runner: ItemRunner,
        samplers: SamplerClient,
        versions: VersionCoordinator,
        health: InstanceHealth,
        limits: InstanceLimits,
        retention_s: float,
        clocks: Clocks,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Initialize; `retention_s` is how long ended submissions stay."""
        self.pool = pool
        self.registry = SubmissionRegistry()
        self._kv = kv
        self._directory = directory
        self._versions = versions
        self._clocks = clocks
        self._rng = rng
        self._checkpoints = CheckpointStore(
            pool, kv, self.registry, archive.value_bytes, metrics
        )
        self._sweeper = Sweeper(
            kv, self.registry, retention_s, clocks.read_wall_s, metrics
        )
        self._dispatcher = ItemDispatcher(
            pool,
            self.registry,
            directory,
            runner,
            samplers,
            versions,
            health,
            limits,
            metrics,
        )
        self.loader = SubmissionLoader(
            pool,
            archive,
            directory,
            self.registry,
            self._checkpoints,
            self._sweeper,
            versions.demand,
            self._dispatcher.forget_submission,
            clocks,
            metrics,
        )
        self._committer = ResultCommitter(
            kv,
            archive,
            self.registry,
            self.loader.reload,
            trio.current_time,
            metrics,
            rng,
        )

    async def run(self, role: Role) -> None:
        """Run the pool until cancelled because another gateway took over."""
        mirror = PrefixMirror(
            self._kv,
            const.PREFIX_SUBMISSIONS,
            self.loader.apply_event,
            self._rng,
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(mirror.run)
                nursery.start_soon(self._directory.watch_operator_keys)
                nursery.start_soon(self.loader.run, role, mirror.synced)
                nursery.start_soon(self._committer.run, role)
                nursery.start_soon(self._checkpoints.run, role)
                nursery.start_soon(self._sweeper.run, role)
                nursery.start_soon(self._schedule, role, nursery)
        finally:
            self.loader.clear()
            self.registry.clear()
            self._dispatcher.clear()
            self._versions.loading.clear()

    async def flush(self, role: Role) -> None:
        """Commit results and write a checkpoint, before a release.

        Repeat until both succeeded, as after an outage of the store.
        """
        await self._committer.flush(role)
        while not await self._checkpoints.write_checkpoint(role):
            await trio.sleep(const.RETRY_DELAY_S)
            await self._committer.flush(role)

    def find_submission(self, submission: str) -> SubmissionState | None:
        """Return a submission that this pool certainly owns, or None."""
        return self.loader.find_state(submission)

    async def _schedule(self, role: Role, nursery: trio.Nursery) -> None:
        """Start items and weight loads after each change, until cancelled."""
        self._directory.subscribe(self.registry.notify_changed)
        while True:
            changed = self.registry.changed
            now = trio.current_time()
            found = self._directory.find_instances(self.pool, now)
            instances = {instance.name: instance for instance in found}
            pool_config = self._directory.table.upstreams.get(self.pool)
            models = list(pool_config.models) if pool_config else []
            self._versions.update_instances(found, models)
            free = self._dispatcher.dispatch(
                instances,
                models,
                now,
                nursery,
                role.may_start_work(self._clocks.read_boot_s()),
            )
            needs = self._find_needs(models)
            self._versions.start_loads(
                role,
                instances,
                needs,
                free,
                nursery,
                self.registry.notify_changed,
            )
            await trio.sleep(const.SCHEDULE_DELAY_S)
            with trio.move_on_after(const.RETRY_DELAY_S):
                await changed.wait()

    def _find_needs(self, models: list[str]) -> dict[str, ModelNeed]:
        """Return what the open submissions of each model need.

        Items without a route don't count as waiting.
        """
        needs: dict[str, ModelNeed] = {}
        open_submissions = self.registry.list_open()
        for model in models:
            of_model = [
                s for s in open_submissions if s.submission.model == model
            ]
            busy = frozenset(
                state.instance
                for s in of_model
                for state in s.items.values()
                if state.phase is ItemPhase.RUNNING
            )
            waiting = sum(self._count_waiting(s) for s in of_model)
            item_s = self._versions.demand.find_demand(model).item_s
            required_version = max(
                (s.submission.min_version for s in of_model), default=0
            )
            named_version = self._directory.named_versions.get(model, 1)
            needs[model] = ModelNeed(
                named_version, required_version, waiting * item_s, busy
            )
        return needs

    def _count_waiting(self, submission: SubmissionState) -> int:
        """Return how many items wait for a slot."""
        unrouted = self._dispatcher.find_unrouted(submission)
        return sum(
            state.phase is ItemPhase.WAITING and name not in unrouted
            for name, state in submission.items.items()
        )
