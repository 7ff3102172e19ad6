"""Submissions that a pool owns, as the holder of its role loads them."""

from collections.abc import Callable

from result import Err
from result import Ok
import trio

from . import const
from ..directory.coordinator import Directory
from ..pool_holders.clock import Clocks
from ..pool_holders.models import Role
from ..ports.kv import KvEvent
from ..ports.kv import KvFault
from ..telemetry.containment import contain_errors
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from ..weight_versions.demand import DemandTracker
from .archive import Archive
from .archive import decode_head
from .archive import decode_owner
from .checkpoints import CheckpointStore
from .checkpoints import Progress
from .checkpoints import restore_progress
from .checkpoints import snapshot_progress
from .keys import parse_submission_key
from .models import OwnerRecord
from .ownership import decide_step
from .ownership import is_moving
from .ownership import KnownSubmission
from .ownership import OwnerStep
from .registry import ItemPhase
from .registry import make_submission_state
from .registry import SubmissionRegistry
from .registry import SubmissionState
from .retention import Sweeper


class SubmissionLoader:
    """Claim and load the submissions of a pool, release those that move.

    It knows the heads and owners of all submissions, since each change of the
    configuration may make any of them the pool's.
    """

    def __init__(
        self,
        pool: str,
        archive: Archive,
        directory: Directory,
        registry: SubmissionRegistry,
        checkpoints: CheckpointStore,
        sweeper: Sweeper,
        demand: DemandTracker,
        forget_submission: Callable[[str], None],
        clocks: Clocks,
        metrics: Metrics,
    ) -> None:
        """Initialize; `forget_submission` is called for each dropped one."""
        self._pool = pool
        self._archive = archive
        self._directory = directory
        self._registry = registry
        self._checkpoints = checkpoints
        self._sweeper = sweeper
        self._demand = demand
        self._forget_submission = forget_submission
        self._clocks = clocks
        self._metrics = metrics
        self._stored_progress: dict[str, Progress] = {}
        self._known: dict[str, KnownSubmission] = {}
        self._ended: set[str] = set()
        # Submissions that are ended or damaged: nothing of them runs.
        self._set_aside: set[str] = set()
        # Submissions whose owner has to be read before anything else.
        self._unconfirmed: set[str] = set()
        self._reloaded: set[str] = set()
        self._pending: dict[str, None] = {}
        self._settling: set[str] = set()
        self._changed = trio.Event()
        directory.subscribe(self._notify_changed)

    def clear(self) -> None:
        """Drop all state, once this gateway lost the role."""
        self._stored_progress = {}
        self._known.clear()
        self._ended.clear()
        self._set_aside.clear()
        self._unconfirmed.clear()
        self._reloaded.clear()
        self._pending.clear()
        self._settling.clear()

    def find_state(self, name: str) -> SubmissionState | None:
        """Return a submission that this pool certainly owns, or None."""
        state = self._registry.submissions.get(name)
        known = self._known.get(name)
        if state is None or known is None:
            return None
        table = self._directory.table
        return None if is_moving(table, self._pool, name, known) else state

    def apply_event(self, event: KvEvent) -> None:
        """Apply a change of a submission's head, owner or end mark."""
        name, rest = parse_submission_key(event.key)
        match rest:
            case "" if event.value is None:
                self._forget(name)
            case "":
                with contain_errors("submission", submission=name):
                    head = decode_head(event.value or b"")
                    self._known[name] = KnownSubmission(
                        head, event.revision, head.owner
                    )
                    self._set_pending(name)
            case const.SUFFIX_OWNER if event.value is not None:
                owner = decode_owner(event.value)
                self._apply_owner(name, owner, event.revision)
            case const.SUFFIX_END if event.value is not None:
                # The end mark may arrive before the submission itself.
                self._ended.add(name)
                self._registry.end_submission(name)
                log_event("submission_ended", submission=name)
            case const.SUFFIX_END:
                self._ended.discard(name)

    def reload(self, name: str) -> None:
        """Drop a submission whose record isn't as expected, and read it."""
        self._metrics.count("submissions_reloaded")
        log_event("submission_reloaded", submission=name)
        self._unconfirmed.add(name)
        self._reloaded.add(name)
        self._release(name)
        self._set_pending(name)

    async def run(self, role: Role, synced: trio.Event) -> None:
        """Load and release submissions until cancelled.

        `synced` is set once all records are known.
        """
        while (stored := await self._checkpoints.load_checkpoint()) is None:
            await trio.sleep(const.RETRY_DELAY_S)
        self._stored_progress = stored
        await synced.wait()
        limiter = trio.CapacityLimiter(const.MAX_CONCURRENT_LOADS)
        version = self._directory.table.version
        async with trio.open_nursery() as nursery:
            while True:
                if self._directory.table.version != version:
                    version = self._directory.table.version
                    self._pending.update(dict.fromkeys(self._known))
                for name in self._pending:
                    if name in self._settling:
                        continue
                    if self._decide(name) is OwnerStep.KEEP:
                        continue
                    self._settling.add(name)
                    nursery.start_soon(
                        self._settle_contained, name, role, limiter
                    )
                self._pending.clear()
                await self._changed.wait()

    async def _settle_contained(
        self, name: str, role: Role, limiter: trio.CapacityLimiter
    ) -> None:
        """Settle a submission; one that fails must not hold up the others."""
        try:
            async with limiter:
                with contain_errors("submission", submission=name):
                    await self._settle(name, role)
        finally:
            self._settling.discard(name)

    async def _settle(self, name: str, role: Role) -> None:
        """Take steps with a submission until there is none to take."""
        while (step := self._decide(name)) is not OwnerStep.KEEP:
            if not await self.take_step(name, step, role):
                await trio.sleep(const.RETRY_DELAY_S)

    def _decide(self, name: str) -> OwnerStep:
        """Return the next step with a submission."""
        known = self._known.get(name)
        if known is None or name in self._set_aside:
            return OwnerStep.KEEP
        return decide_step(
            self._directory.table,
            self._pool,
            name,
            known,
            name in self._registry.submissions,
        )

    async def take_step(self, name: str, step: OwnerStep, role: Role) -> bool:
        """Take a step with a submission; return False to retry."""
        if step is OwnerStep.RELEASE:
            self._release(name)
            return True
        if not role.is_valid(self._clocks.read_boot_s()):
            # Another gateway may hold the pool by now and run the submission.
            return False
        known = self._known[name]
        if name in self._ended:
            # Readers get its committed results from the durable record.
            self._sweeper.record_ended(name, known.head.arrived_s)
            self._set_aside.add(name)
            return True
        if name in self._unconfirmed:
            return await self._confirm_owner(name)
        if step is OwnerStep.CLAIM:
            return await self._claim(name, known, role)
        return await self._load(name, known, role)

    async def _confirm_owner(self, name: str) -> bool:
        """Read the owner from the store; return whether that worked."""
        stored = await self._archive.read_owner(name)
        if isinstance(stored, Err):
            return False
        self._unconfirmed.discard(name)
        if stored.ok_value is not None:
            self._apply_owner(name, *stored.ok_value)
        return True

    async def _claim(
        self, name: str, known: KnownSubmission, role: Role
    ) -> bool:
        """Make this pool a submission's owner; return whether it is."""
        owner = OwnerRecord(self._pool, self._directory.table.version)
        claimed = await self._archive.claim_submission(
            name, owner, role, known.head_revision, known.owner_revision
        )
        if isinstance(claimed, Ok) and claimed.ok_value:
            self._metrics.count("submissions_claimed")
            log_event(
                "submission_claimed",
                submission=name,
                pool=self._pool,
                before=known.owner.pool,
                configuration=owner.configuration,
            )
            self._apply_owner(name, owner, claimed.ok_value)
            return True
        # It lost, or won and its reply was lost.
        self._unconfirmed.add(name)
        return False

    async def _load(
        self, name: str, known: KnownSubmission, role: Role
    ) -> bool:
        """Load a submission and its results; return False to retry."""
        owner_revision = known.owner_revision
        record = await self._archive.read_parts(name, known.head.parts)
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
        # A submission newer than this role has no results yet, unless this
        # holder or an earlier owner listed some.
        if (
            known.head_revision < role.fence
            or owner_revision
            or name in self._reloaded
        ):
            results = await self._archive.load_results(name)
            if isinstance(results, Err):
                # A damaged record stays so; it must not hold up the others.
                if results.err_value.fault is KvFault.DAMAGED:
                    self._set_aside.add(name)
                    return True
                return False
            state.record_committed(0, results.ok_value)
        is_current = self._known.get(name) is known
        if not is_current or known.owner_revision != owner_revision:
            return True
        state.owner_revision = owner_revision
        state.ended = name in self._ended
        self._restore_progress(state)
        self._registry.submissions[name] = state
        self._demand.record_submission(submission.model, len(state.items))
        log_event(
            "submission_loaded",
            submission=name,
            step=submission.step,
            model=submission.model,
            pool=self._pool,
            items=len(state.items),
            listed=len(state.committed),
            ended=state.ended,
        )
        self._registry.notify_changed()
        return True

    def _restore_progress(self, submission: SubmissionState) -> None:
        """Resume items from the checkpoint or from another submission.

        A later step may submit an item of an earlier one again.
        """
        min_version = submission.submission.min_version
        for state in submission.items.values():
            progress = self._stored_progress.pop(state.item.id, None)
            for other in self._registry.submissions.values():
                known = other.items.get(state.item.id)
                if known is not None and known.events:
                    progress = snapshot_progress(known)
            if progress is not None and state.phase is ItemPhase.WAITING:
                if restore_progress(state, progress, min_version):
                    self._metrics.count("items_adopted")

    def _apply_owner(
        self, name: str, owner: OwnerRecord, revision: int
    ) -> None:
        """Record a submission's owner; release it if it was replaced."""
        known = self._known.get(name)
        if known is None or revision <= known.owner_revision:
            return
        known.owner, known.owner_revision = owner, revision
        self._set_aside.discard(name)
        self._release(name)
        self._set_pending(name)

    def _release(self, name: str) -> None:
        """Drop a submission that is loaded."""
        state = self._registry.submissions.get(name)
        if state is None:
            return
        self._metrics.count("submissions_released")
        log_event(
            "submission_released",
            submission=name,
            pool=self._pool,
            listed=len(state.committed),
            unlisted=len(state.uncommitted),
        )
        self._registry.release_submission(name)
        self._forget_submission(name)

    def _forget(self, name: str) -> None:
        """Forget a submission whose record was removed."""
        self._registry.end_submission(name)
        self._registry.submissions.pop(name, None)
        self._forget_submission(name)
        self._known.pop(name, None)
        self._set_aside.discard(name)
        self._unconfirmed.discard(name)
        self._reloaded.discard(name)

    def _set_pending(self, name: str) -> None:
        """Have the next step with a submission decided."""
        self._pending[name] = None
        self._notify_changed()

    def _notify_changed(self) -> None:
        """Wake `run`."""
        self._changed.set()
        self._changed = trio.Event()
