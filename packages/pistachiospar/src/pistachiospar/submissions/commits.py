"""Commits of finished results, in batches fenced by the holder's role."""

from collections.abc import Callable
from random import Random

from result import Err
import trio

from . import const
from ..pool_holders.models import Role
from ..ports.kv import KeyValue
from ..ports.kv import KvCheck
from ..ports.kv import KvFault
from ..ports.kv import KvPut
from ..ports.kv import KvTransaction
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .archive import Archive
from .archive import encode_results
from .archive import measure_result
from .keys import make_owner_key
from .keys import make_results_key
from .models import SampleResult
from .registry import SubmissionRegistry
from .registry import SubmissionState
from .runner import fail_item

Batch = list[tuple[SubmissionState, list[SampleResult]]]


class ResultCommitter:
    """Write finished results; readers see them only once committed.

    One batch is written at a time: the next one's positions follow from what
    is stored.
    """

    def __init__(
        self,
        kv: KeyValue,
        archive: Archive,
        registry: SubmissionRegistry,
        reload_submission: Callable[[str], None],
        read_now: Callable[[], float],
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Initialize; `reload_submission` gets those to read anew."""
        self._reload_submission = reload_submission
        self._kv = kv
        self._archive = archive
        self._registry = registry
        self._read_now = read_now
        self._metrics = metrics
        self._rng = rng
        self._writing = trio.Lock()

    async def run(self, role: Role) -> None:
        """Commit batches as they become due, until cancelled."""
        while True:
            changed = self._registry.changed
            states = list(self._registry.submissions.values())
            commit_at = find_commit_time(states, self._read_now())
            if commit_at > self._read_now():
                with trio.move_on_at(commit_at):
                    await changed.wait()
                continue
            await trio.sleep(const.COALESCE_DELAY_S)
            await self._commit_next_batch(role)

    async def flush(self, role: Role) -> None:
        """Commit what is finished, before the role is released.

        Repeat until nothing is left: a batch may be too large for all, and
        the role may be lost and acquired again meanwhile.
        """
        while await self._commit_next_batch(role):
            pass

    async def _commit_next_batch(self, role: Role) -> bool:
        """Commit what is finished; return whether there was anything."""
        async with self._writing:
            batch = choose_batch(list(self._registry.submissions.values()))
            if batch:
                await self._commit_batch(role, batch)
        return bool(batch)

    async def _commit_batch(self, role: Role, batch: Batch) -> None:
        """Commit one batch, retrying until its outcome is known.

        One that the service doesn't take is committed in parts.
        """
        fence = role.fence
        checks = [KvCheck(role.key, fence)]
        puts: list[KvPut] = []
        positions = [len(state.committed) for state, _ in batch]
        for position, (state, results) in zip(positions, batch, strict=True):
            name = state.submission.id
            key = make_results_key(name, position)
            checks.append(KvCheck(key, 0))
            checks.append(KvCheck(make_owner_key(name), state.owner_revision))
            puts.append(KvPut(key, encode_results(results)))
        transaction = KvTransaction(tuple(checks), tuple(puts))
        started_at = self._read_now()
        while True:
            written = await self._kv.commit(transaction)
            if not isinstance(written, Err):
                break
            if written.err_value.fault is KvFault.REFUSED:
                detail = written.err_value.detail
                await self._commit_parts(role, batch, detail)
                return
            self._metrics.count("commit_faults")
            await trio.sleep(
                const.COMMIT_RETRY_DELAY_S * (0.5 + self._rng.random())
            )
        self._metrics.count("commits")
        self._metrics.observe("commit", self._read_now() - started_at)
        if written.ok_value.won:
            for position, (state, results) in zip(
                positions, batch, strict=True
            ):
                self._record_committed(state, position, results)
        else:
            await self._read_back_batch(batch)

    async def _commit_parts(
        self, role: Role, batch: Batch, detail: str
    ) -> None:
        """Commit the halves of a batch that the service doesn't take.

        A result that isn't taken by itself becomes a failed one; if that
        isn't either, the item stays unlisted.
        """
        log_event("commit_refused", submissions=len(batch), error=detail)
        self._metrics.count("commits_refused")
        if len(batch) > 1:
            middle = len(batch) // 2
            await self._commit_batch(role, batch[:middle])
            await self._commit_batch(role, batch[middle:])
            return
        state, results = batch[0]
        if len(results) > 1:
            middle = len(results) // 2
            await self._commit_batch(role, [(state, results[:middle])])
            await self._commit_batch(role, [(state, results[middle:])])
            return
        result = results[0]
        state.uncommitted = [r for r in state.uncommitted if r != result]
        if result.completed:
            item = state.items[result.id]
            failed = fail_item(item, "unstorable", detail)
            state.finish_item(failed, self._read_now())
            await self._commit_batch(role, [(state, [failed])])
            return
        self._metrics.count("results_unstorable")
        log_event(
            "result_unstorable",
            submission=state.submission.id,
            item=result.id,
            error=detail,
        )

    async def _read_back_batch(self, batch: Batch) -> None:
        """Take over the stored results after a transaction that did not win.

        Either it won earlier and the reply was lost, or another holder wrote,
        or a submission has another owner by now. It is dropped then, since it
        would hold up the results of all others.
        """
        for state, _ in batch:
            name = state.submission.id
            stored = await self._archive.load_results(name)
            if isinstance(stored, Err):
                continue
            position = len(state.committed)
            results = stored.ok_value[position:]
            if results:
                self._record_committed(state, position, results)
            elif await self._has_moved(state):
                self._reload_submission(name)
        log_event("commit_settled", submissions=len(batch))
        await trio.sleep(const.COMMIT_RETRY_DELAY_S)

    async def _has_moved(self, state: SubmissionState) -> bool:
        """Return whether a submission certainly has another owner."""
        owner = await self._archive.read_owner(state.submission.id)
        if isinstance(owner, Err):
            return False
        revision = owner.ok_value[1] if owner.ok_value is not None else 0
        return revision != state.owner_revision

    def _record_committed(
        self,
        state: SubmissionState,
        position: int,
        results: list[SampleResult],
    ) -> None:
        """Move results from the uncommitted to the committed ones."""
        known = len(state.committed)
        if not state.record_committed(position, results):
            self._metrics.count("results_out_of_place")
            log_event(
                "results_out_of_place",
                submission=state.submission.id,
                position=position,
                known=known,
                results=len(results),
            )
            self._reload_submission(state.submission.id)
            return
        ids = {result.id for result in results}
        state.uncommitted = [r for r in state.uncommitted if r.id not in ids]
        state.uncommitted_since = self._read_now()
        state.has_complete_group = False
        self._registry.notify_changed()


def find_commit_time(states: list[SubmissionState], now: float) -> float:
    """Return when to commit the next batch; an hour ahead without results."""
    commit_at = now + 3600.0
    for state in states:
        if not state.uncommitted or state.is_stopped:
            continue
        remaining = len(state.items) - len(state.committed)
        if state.has_complete_group or len(state.uncommitted) == remaining:
            return now
        commit_at = min(
            commit_at, state.uncommitted_since + const.BATCH_DELAY_S
        )
    return commit_at


def choose_batch(states: list[SubmissionState]) -> Batch:
    """Return the results of the next transaction, within its limits."""
    batch: Batch = []
    size = 0
    for state in states:
        if not state.uncommitted or state.is_stopped:
            continue
        if (
            len(batch) >= const.MAX_COMMIT_SUBMISSIONS
            or size > const.MAX_COMMIT_BYTES
        ):
            break
        results: list[SampleResult] = []
        for result in state.uncommitted:
            size += measure_result(result)
            if size > const.MAX_COMMIT_BYTES and (batch or results):
                break
            results.append(result)
        if results:
            batch.append((state, results))
    return batch
