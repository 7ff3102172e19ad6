"""Support the work of a pool's holder: take, run, list submissions."""

from random import Random

from result import Err
import trio

from . import const
from ..directory.coordinator import Directory
from ..directory.mirror import PrefixMirror
from ..forwarding.health import InstanceHealth
from ..holding.clock import Clocks
from ..holding.models import Role
from ..ports.kv import KeyValue
from ..ports.kv import KvEvent
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from ..versions.coordinator import VersionCoordinator
from ..versions.decisions import ModelNeed
from .archive import Archive
from .archive import decode_head
from .board import Board
from .board import make_state
from .board import Phase
from .board import SubmissionState
from .checkpoints import adopt_progress
from .checkpoints import CheckpointKeeper
from .checkpoints import make_progress
from .checkpoints import Progress
from .commits import ResultCommitter
from .dispatch import ItemDispatcher
from .keys import read_submission_key
from .runner import ItemRunner
from .sweeping import Sweeper


class PoolCoordinator:
    """Work on the submissions of one pool while its role is held."""

    def __init__(
        self,
        pool: str,
        kv: KeyValue,
        archive: Archive,
        directory: Directory,
        runner: ItemRunner,
        versions: VersionCoordinator,
        health: InstanceHealth,
        keep_s: float,
        clocks: Clocks,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Begin with no submission."""
        self.pool = pool
        self.board = Board()
        self._kv = kv
        self._archive = archive
        self._directory = directory
        self._versions = versions
        self._clocks = clocks
        self._metrics = metrics
        self._rng = rng
        self._committer = ResultCommitter(
            kv, archive, self.board, trio.current_time, metrics, rng
        )
        self._checkpoints = CheckpointKeeper(
            pool, kv, self.board, archive.value_bytes, metrics
        )
        self._sweeper = Sweeper(
            kv, self.board, keep_s, clocks.read_wall_s, metrics
        )
        self._kept: dict[str, Progress] = {}
        self._dispatcher = ItemDispatcher(
            self.board, directory, runner, versions, health, metrics
        )
        self._early_ends: set[str] = set()
        self._loads: trio.MemorySendChannel[KvEvent] | None = None

    async def work(self, role: Role) -> None:
        """Work until cancelled, that is until another gateway took over."""
        mirror = PrefixMirror(
            self._kv, const.PREFIX_SUBMISSIONS, self._take_event, self._rng
        )
        send, receive = trio.open_memory_channel[KvEvent](100_000)
        self._loads = send
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
            self._loads = None
            self.board.clear()
            self._dispatcher.clear()
            self._versions.loading.clear()

    async def flush(self, role: Role) -> None:
        """Make durable what there is, before the role is given back."""
        await self._committer.flush(role)
        await self._checkpoints.write(role)

    def _take_event(self, event: KvEvent) -> None:
        """Take over a submission, or its end."""
        submission, rest = read_submission_key(event.key)
        if rest == const.SUFFIX_END:
            if event.value is not None:
                self.board.end(submission)
                log_event("submission_ended", submission=submission)
                # It may come before the submission that it ends.
                self._early_ends.add(submission)
            else:
                self._early_ends.discard(submission)
        elif rest == "" and event.value is not None and self._loads:
            self._loads.send_nowait(event)
        elif rest == "":
            self.board.end(submission)
            self.board.submissions.pop(submission, None)
            self._dispatcher.forget(submission)

    async def _load_submissions(
        self, events: trio.MemoryReceiveChannel[KvEvent], role: Role
    ) -> None:
        """Load submissions as they come; one task."""
        while (kept := await self._checkpoints.load()) is None:
            await trio.sleep(const.RETRY_S)
        self._kept = kept
        limiter = trio.CapacityLimiter(const.LOADS_AT_ONCE)
        async with trio.open_nursery() as nursery:
            async for event in events:
                nursery.start_soon(self._load_one, event, role, limiter)

    async def _load_one(
        self, event: KvEvent, role: Role, limiter: trio.CapacityLimiter
    ) -> None:
        """Load a submission; one task each until it is done."""
        submission, _ = read_submission_key(event.key)
        if submission in self.board.submissions:
            return
        async with limiter:
            while not await self.load(submission, event, role):
                await trio.sleep(const.RETRY_S)

    async def load(self, name: str, event: KvEvent, role: Role) -> bool:
        """Load one submission and its results; False to try again."""
        assert event.value is not None
        if not role.is_valid(self._clocks.read_boot_s()):
            # It may be another gateway's to run.
            return False
        head = decode_head(event.value)
        if self._find_pool(head.model) != self.pool:
            return True
        ended = name in self._early_ends
        if ended and event.revision < role.fence:
            # What earlier holders listed of it is read from the record.
            self._sweeper.note_ended(name, head.arrived_s)
            return True
        record = await self._archive.read_parts(name, head.parts)
        if isinstance(record, Err):
            return False
        submission = record.ok_value
        table = self._directory.table
        route = table.find_route(submission.host, submission.path)
        state = make_state(
            submission,
            trio.current_time(),
            self._clocks.read_wall_s(),
            route.due_s if route else 0.0,
            (route.give_up_s if route else 0.0) + const.CLOCK_SLACK_S,
        )
        # What came after this role began has no earlier results.
        if event.revision < role.fence:
            results = await self._archive.load_results(name)
            if isinstance(results, Err):
                return False
            state.list_results(results.ok_value)
        state.ended = ended or name in self._early_ends
        self._adopt(state)
        self.board.submissions[name] = state
        self._versions.demand.note_submission(
            submission.model, len(state.items)
        )
        log_event(
            "submission_loaded",
            submission=name,
            step=submission.step,
            model=submission.model,
            items=len(state.items),
            listed=len(state.listed),
            ended=state.ended,
        )
        self.board.wake()
        return True

    def _adopt(self, submission: SubmissionState) -> None:
        """Go on from what is stored of the items, under whichever step."""
        min_version = submission.submission.min_version
        for state in submission.items.values():
            progress = self._kept.pop(state.item.id, None)
            for other in self.board.submissions.values():
                known = other.items.get(state.item.id)
                if known is not None and known.events:
                    progress = make_progress(known)
            if progress is not None and state.phase is Phase.WAITING:
                if adopt_progress(state, progress, min_version):
                    self._metrics.count("items_adopted")

    def _find_pool(self, model: str) -> str:
        """Return the pool that holds a model."""
        for upstream in self._directory.table.find_pools():
            if model in upstream.models:
                return upstream.name
        return ""

    async def _schedule(self, role: Role, nursery: trio.Nursery) -> None:
        """Start what may run, again after each change; one task."""
        self._directory.subscribe(self.board.wake)
        while True:
            woken = self.board.woken
            now = trio.current_time()
            found = self._directory.find_instances(self.pool, now)
            instances = {instance.name: instance for instance in found}
            policy = self._directory.table.upstreams.get(self.pool)
            models = list(policy.models) if policy else []
            self._versions.learn(found, models)
            free = self._dispatcher.dispatch(
                instances,
                models,
                now,
                nursery,
                role.is_awake(self._clocks.read_boot_s()),
            )
            needs = self._find_needs(models)
            self._versions.order_loads(
                role, instances, needs, free, nursery, self.board.wake
            )
            await trio.sleep(const.LOOK_PAUSE_S)
            with trio.move_on_after(const.RETRY_S):
                await woken.wait()

    def _find_needs(self, models: list[str]) -> dict[str, ModelNeed]:
        """Say what the work of each model needs of its instances."""
        needs: dict[str, ModelNeed] = {}
        opened = self.board.list_open()
        for model in models:
            mine = [s for s in opened if s.submission.model == model]
            states = [state for s in mine for state in s.items.values()]
            busy = frozenset(
                state.instance
                for state in states
                if state.phase is Phase.RUNNING
            )
            waiting = sum(s.phase is Phase.WAITING for s in states)
            item_s = self._versions.demand.find(model).item_s
            required = max((s.submission.min_version for s in mine), default=0)
            named = self._directory.named_versions.get(model, 1)
            needs[model] = ModelNeed(named, required, waiting * item_s, busy)
        return needs
