"""The holder's side of a pool: load, schedule and commit submissions."""

from random import Random

from result import Err
import trio

from . import const
from ..directory.coordinator import Directory
from ..directory.mirror import PrefixMirror
from ..forwarding.health import InstanceHealth
from ..limits.coordinator import InstanceLimits
from ..pool_holders.clock import Clocks
from ..pool_holders.models import Role
from ..ports.kv import KeyValue
from ..ports.kv import KvEvent
from ..ports.kv import KvFault
from ..ports.sampler import SamplerClient
from ..telemetry.containment import contain_errors
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from ..weight_versions.coordinator import VersionCoordinator
from ..weight_versions.decisions import ModelNeed
from .archive import Archive
from .archive import decode_head
from .checkpoints import CheckpointStore
from .checkpoints import Progress
from .checkpoints import restore_progress
from .checkpoints import snapshot_progress
from .commits import ResultCommitter
from .dispatch import ItemDispatcher
from .keys import parse_submission_key
from .registry import ItemPhase
from .registry import make_submission_state
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
        self._archive = archive
        self._directory = directory
        self._versions = versions
        self._clocks = clocks
        self._metrics = metrics
        self._rng = rng
        self._committer = ResultCommitter(
            kv, archive, self.registry, trio.current_time, metrics, rng
        )
        self._checkpoints = CheckpointStore(
            pool, kv, self.registry, archive.value_bytes, metrics
        )
        self._sweeper = Sweeper(
            kv, self.registry, retention_s, clocks.read_wall_s, metrics
        )
        self._stored_progress: dict[str, Progress] = {}
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
        self._seen_ends: set[str] = set()
        self._load_queue: trio.MemorySendChannel[KvEvent] | None = None

    async def run(self, role: Role) -> None:
        """Run the pool until cancelled because another gateway took over."""
        mirror = PrefixMirror(
            self._kv, const.PREFIX_SUBMISSIONS, self._apply_event, self._rng
        )
        send, receive = trio.open_memory_channel[KvEvent](100_000)
        self._load_queue = send
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(mirror.run)
                nursery.start_soon(self._directory.watch_operator_keys)
                nursery.start_soon(self._load_submissions, receive, role)
                nursery.start_soon(self._committer.run, role)
                nursery.start_soon(self._checkpoints.run, role)
                nursery.start_soon(self._sweeper.run, role)
                nursery.start_soon(self._schedule, role, nursery)
        finally:
            self._load_queue = None
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

    def _apply_event(self, event: KvEvent) -> None:
        """Apply a change of a submission's record or of its end mark."""
        submission, rest = parse_submission_key(event.key)
        if rest == const.SUFFIX_END:
            if event.value is not None:
                self.registry.end_submission(submission)
                log_event("submission_ended", submission=submission)
                # The end mark may arrive before the submission itself.
                self._seen_ends.add(submission)
            else:
                self._seen_ends.discard(submission)
        elif rest == "" and event.value is not None and self._load_queue:
            self._load_queue.send_nowait(event)
        elif rest == "":
            self.registry.end_submission(submission)
            self.registry.submissions.pop(submission, None)
            self._dispatcher.forget_submission(submission)

    async def _load_submissions(
        self, events: trio.MemoryReceiveChannel[KvEvent], role: Role
    ) -> None:
        """Read the checkpoint, then load submissions as they arrive."""
        while (stored := await self._checkpoints.load_checkpoint()) is None:
            await trio.sleep(const.RETRY_DELAY_S)
        self._stored_progress = stored
        limiter = trio.CapacityLimiter(const.MAX_CONCURRENT_LOADS)
        async with trio.open_nursery() as nursery:
            async for event in events:
                nursery.start_soon(self._load_until_done, event, role, limiter)

    async def _load_until_done(
        self, event: KvEvent, role: Role, limiter: trio.CapacityLimiter
    ) -> None:
        """Retry loading a submission until it succeeds."""
        submission, _ = parse_submission_key(event.key)
        if submission in self.registry.submissions:
            return
        async with limiter:
            # A record that can't be read must not hold up the others.
            with contain_errors("submission", submission=submission):
                while not await self.load_submission(submission, event, role):
                    await trio.sleep(const.RETRY_DELAY_S)

    async def load_submission(
        self, name: str, event: KvEvent, role: Role
    ) -> bool:
        """Load a submission and its results; return False to retry."""
        assert event.value is not None
        if not role.is_valid(self._clocks.read_boot_s()):
            # Another gateway may hold the pool by now and run the submission.
            return False
        head = decode_head(event.value)
        if self._find_pool(head.model) != self.pool:
            return True
        ended = name in self._seen_ends
        if ended and event.revision < role.fence:
            # Readers get its committed results from the durable record.
            self._sweeper.record_ended(name, head.arrived_s)
            return True
        record = await self._archive.read_parts(name, head.parts)
        if isinstance(record, Err):
            return False
        submission = record.ok_value
        table = self._directory.table
        route = table.find_route(submission.host, submission.path)
        state = make_submission_state(
            submission,
            trio.current_time(),
            self._clocks.read_wall_s(),
            route.result_due_s if route else 0.0,
            (route.max_age_s if route else 0.0) + const.CLOCK_SKEW_MARGIN_S,
        )
        # A submission newer than this role has no results yet.
        if event.revision < role.fence:
            results = await self._archive.load_results(name)
            if isinstance(results, Err):
                # A damaged record stays so; it must not hold up the others.
                return results.err_value.fault is KvFault.DAMAGED
            state.record_committed(0, results.ok_value)
        state.ended = ended or name in self._seen_ends
        self._restore_progress(state)
        self.registry.submissions[name] = state
        self._versions.demand.record_submission(
            submission.model, len(state.items)
        )
        log_event(
            "submission_loaded",
            submission=name,
            step=submission.step,
            model=submission.model,
            items=len(state.items),
            listed=len(state.committed),
            ended=state.ended,
        )
        self.registry.notify_changed()
        return True

    def _restore_progress(self, submission: SubmissionState) -> None:
        """Resume items from the checkpoint or from another submission.

        A later step may submit an item of an earlier one again.
        """
        min_version = submission.submission.min_version
        for state in submission.items.values():
            progress = self._stored_progress.pop(state.item.id, None)
            for other in self.registry.submissions.values():
                known = other.items.get(state.item.id)
                if known is not None and known.events:
                    progress = snapshot_progress(known)
            if progress is not None and state.phase is ItemPhase.WAITING:
                if restore_progress(state, progress, min_version):
                    self._metrics.count("items_adopted")

    def _find_pool(self, model: str) -> str:
        """Return the pool that serves a model; empty when none does."""
        for upstream in self._directory.table.list_pools():
            if model in upstream.models:
                return upstream.name
        return ""

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
