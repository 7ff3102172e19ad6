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
from ..routing.instances import ListedInstance
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from ..versions.coordinator import VersionCoordinator
from ..versions.decisions import ModelNeed
from .archive import Archive
from .board import Board
from .board import ItemState
from .board import make_state
from .board import Phase
from .board import SubmissionState
from .checkpoints import adopt_progress
from .checkpoints import CheckpointKeeper
from .checkpoints import make_progress
from .checkpoints import Progress
from .commits import ResultCommitter
from .keys import read_submission_key
from .models import Submission
from .runner import give_up
from .runner import ItemRunner
from .scheduling import choose_moves
from .scheduling import choose_seat
from .scheduling import order_items
from .scheduling import Seat


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
        self._runner = runner
        self._versions = versions
        self._health = health
        self._clocks = clocks
        self._metrics = metrics
        self._rng = rng
        self._committer = ResultCommitter(
            kv, archive, self.board, trio.current_time, metrics, rng
        )
        self._checkpoints = CheckpointKeeper(
            pool, kv, self.board, archive.value_bytes, metrics
        )
        self._kept: dict[str, Progress] = {}
        self._in_flight: dict[str, int] = {}
        self._group_seats: dict[tuple[str, str], str] = {}
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
                nursery.start_soon(self._load_submissions, receive, role)
                nursery.start_soon(self._committer.run, role)
                nursery.start_soon(self._checkpoints.run, role)
                nursery.start_soon(self._schedule, role, nursery)
        finally:
            self._loads = None
            self.board.clear()
            self._in_flight.clear()
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
        elif rest == "" and event.value is not None and self._loads:
            self._loads.send_nowait(event)
        elif rest == "":
            self.board.end(submission)
            self.board.submissions.pop(submission, None)

    async def _load_submissions(
        self, events: trio.MemoryReceiveChannel[KvEvent], role: Role
    ) -> None:
        """Load submissions as they come; one task."""
        while (kept := await self._checkpoints.load()) is None:
            await trio.sleep(const.RETRY_S)
        self._kept = kept
        async for event in events:
            submission, _ = read_submission_key(event.key)
            if submission in self.board.submissions:
                continue
            while not await self._load(submission, event, role):
                await trio.sleep(const.RETRY_S)

    async def _load(self, name: str, event: KvEvent, role: Role) -> bool:
        """Load one submission and its results; False to try again."""
        assert event.value is not None
        if not role.is_valid(self._clocks.read_boot_s()):
            # It may be another gateway's to run.
            return False
        record = await self._archive.read_record(name, event.value)
        if isinstance(record, Err):
            return False
        submission = record.ok_value
        if self._find_pool(submission) != self.pool:
            return True
        ended = name in self._early_ends
        if ended and event.revision < role.fence:
            # What earlier holders listed of it is read from the record.
            return True
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

    def _find_pool(self, submission: Submission) -> str:
        """Return the pool that holds a submission's model."""
        for upstream in self._directory.table.find_pools():
            if submission.model in upstream.models:
                return upstream.name
        return ""

    async def _schedule(self, role: Role, nursery: trio.Nursery) -> None:
        """Start what may run, again after each change; one task."""
        self._directory.subscribe(self.board.wake)
        while True:
            woken = self.board.woken
            now = trio.current_time()
            instances = self._list_instances(now)
            policy = self._directory.table.upstreams.get(self.pool)
            models = list(policy.models) if policy else []
            self._versions.learn(list(instances.values()), models)
            if not self._start_items(instances, now, nursery):
                self._move_items(instances, now)
            free = {
                name: self._count_free(instance, now)
                for name, instance in instances.items()
            }
            needs = self._find_needs(models)
            self._versions.order_loads(
                role, instances, needs, free, nursery, self._wake
            )
            with trio.move_on_after(const.RETRY_S):
                await woken.wait()

    def _wake(self) -> None:
        """Look again at what may run."""
        self.board.wake()

    def _list_instances(self, now: float) -> dict[str, ListedInstance]:
        """Return the pool's instances that take new work."""
        found = self._directory.find_instances(self.pool, now)
        return {instance.name: instance for instance in found}

    def _start_items(
        self,
        instances: dict[str, ListedInstance],
        now: float,
        nursery: trio.Nursery,
    ) -> bool:
        """Start waiting items where there is room; tell if some wait on."""
        waits = False
        for submission, state in order_items(self.board.list_open(), now):
            if now >= submission.give_up_at:
                self._give_up(submission, state, now)
                continue
            model = submission.submission.model
            group = (submission.submission.id, state.item.group)
            seat = choose_seat(
                self._list_seats(instances, model, now),
                submission.submission.min_version,
                self._group_seats.get(group, ""),
                state.avoided,
            )
            if seat is None:
                waits = True
                continue
            log_event(
                "item_started",
                item=state.item.id,
                submission=submission.submission.id,
                instance=seat.instance,
                version=seat.version,
                free=seat.free,
                pace_s=round(seat.pace_s, 4),
                events=state.last_event,
            )
            self._group_seats[group] = seat.instance
            state.phase = Phase.RUNNING
            state.instance = seat.instance
            state.began_at = now
            self._in_flight[seat.instance] = (
                self._in_flight.get(seat.instance, 0) + 1
            )
            nursery.start_soon(
                self._run_item, submission, state, instances[seat.instance]
            )
        return waits

    def _move_items(
        self, instances: dict[str, ListedInstance], now: float
    ) -> None:
        """Move streams from slow instances to faster ones with room."""
        for submission in self.board.list_open():
            states = submission.items.values()
            running = [s for s in states if s.phase is Phase.RUNNING]
            model = submission.submission.model
            moves = choose_moves(
                running,
                self._list_seats(instances, model, now),
                submission.submission.min_version,
                now,
            )
            for state in moves:
                log_event(
                    "item_moved",
                    item=state.item.id,
                    instance=state.instance,
                    events=state.last_event,
                    pace_s=round(
                        self._runner.paces.find(state.instance, now), 4
                    ),
                )
                self._metrics.count("item_moves")
                state.avoided = state.instance
                if state.scope is not None:
                    state.scope.cancel()

    def _list_seats(
        self, instances: dict[str, ListedInstance], model: str, now: float
    ) -> list[Seat]:
        """Describe the instances for a model's items."""
        versions = self._versions
        seats: list[Seat] = []
        for name, instance in instances.items():
            load = versions.loading.get(name)
            if load is not None and load.model == model:
                continue
            seats.append(
                Seat(
                    name,
                    versions.find_version(name, model),
                    self._count_free(instance, now),
                    max(1, instance.slots),
                    self._runner.paces.find(name, now),
                    versions.assigned.get(name) == model,
                )
            )
        return seats

    def _count_free(self, instance: ListedInstance, now: float) -> int:
        """Return how many items may start at an instance now.

        One that failed gets nothing for a while, then one item to try.
        """
        state = self._health.find(instance.name)
        if now < state.avoided_until:
            return 0
        taken = self._in_flight.get(instance.name, 0)
        slots = 1 if state.avoided_until else instance.slots
        return slots - taken

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

    async def _run_item(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
    ) -> None:
        """Run an item once; one that brought no result waits again."""
        result = None
        route = self._directory.table.find_route(
            submission.submission.host, state.item.path
        )
        state.scope = trio.CancelScope()
        seated = True

        def leave() -> None:
            nonlocal seated
            if seated:
                seated = False
                self._in_flight[instance.name] -= 1
                self._versions.demand.note_item(
                    submission.submission.model,
                    trio.current_time() - state.began_at,
                )
                self.board.wake()

        with state.scope:
            try:
                if route is not None and not submission.ended:
                    result = await self._runner.run(
                        submission, state, instance, route, leave
                    )
            finally:
                leave()
                state.scope = None
        now = trio.current_time()
        if submission.ended:
            return
        if result is None:
            state.phase = Phase.WAITING
            state.instance = ""
        else:
            submission.finish(result, now)
        self.board.wake()

    def _give_up(
        self, submission: SubmissionState, state: ItemState, now: float
    ) -> None:
        """List an item as not done: its time is over."""
        submission.finish(give_up(state, "age"), now)
        self.board.wake()
