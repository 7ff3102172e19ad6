"""Support making results durable, in batches, under the holder's fence."""

from collections.abc import Callable
from random import Random

from result import Err
import trio

from . import const
from ..holding.models import Role
from ..ports.kv import KeyValue
from ..ports.kv import KvCheck
from ..ports.kv import KvPut
from ..ports.kv import KvTransaction
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .archive import Archive
from .archive import encode_results
from .board import Board
from .board import SubmissionState
from .keys import make_results_key
from .models import SampleResult

Batch = list[tuple[SubmissionState, list[SampleResult]]]


class ResultCommitter:
    """Write finished results; only then they are listed."""

    def __init__(
        self,
        kv: KeyValue,
        archive: Archive,
        board: Board,
        read_now: Callable[[], float],
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Take the board whose results are written."""
        self._kv = kv
        self._archive = archive
        self._board = board
        self._read_now = read_now
        self._metrics = metrics
        self._rng = rng

    async def run(self, role: Role) -> None:
        """Write batches until cancelled; one task."""
        while True:
            woken = self._board.woken
            states = list(self._board.submissions.values())
            due_at = find_due(states, self._read_now())
            if due_at > self._read_now():
                with trio.move_on_at(due_at):
                    await woken.wait()
                continue
            await trio.sleep(const.GATHER_S)
            await self._write(role, choose_batch(states))

    async def flush(self, role: Role) -> None:
        """Write all that is finished, before the role is given back."""
        states = list(self._board.submissions.values())
        batch = choose_batch(states)
        if batch:
            await self._write(role, batch)

    async def _write(self, role: Role, batch: Batch) -> None:
        """Write one batch; repeated until its outcome is certain."""
        if not batch:
            return
        fence = role.fence
        checks = [KvCheck(role.key, fence)]
        puts: list[KvPut] = []
        for state, results in batch:
            position = len(state.listed)
            key = make_results_key(state.submission.id, position)
            checks.append(KvCheck(key, 0))
            puts.append(KvPut(key, encode_results(results)))
        transaction = KvTransaction(tuple(checks), tuple(puts))
        began_at = self._read_now()
        while True:
            written = await self._kv.commit(transaction)
            if not isinstance(written, Err):
                break
            self._metrics.count("commit_faults")
            await trio.sleep(const.COMMIT_RETRY_S * (0.5 + self._rng.random()))
        self._metrics.count("commits")
        self._metrics.observe("commit", self._read_now() - began_at)
        if written.ok_value.won:
            for state, results in batch:
                self._list(state, results)
        else:
            await self._settle(batch)

    async def _settle(self, batch: Batch) -> None:
        """Read back what stands after a transaction that did not win.

        Its reply may have been lost, or another holder wrote.
        """
        for state, _ in batch:
            stored = await self._archive.load_results(state.submission.id)
            if isinstance(stored, Err):
                continue
            results = stored.ok_value[len(state.listed) :]
            if results:
                self._list(state, results)
        log_event("commit_settled", submissions=len(batch))
        await trio.sleep(const.COMMIT_RETRY_S)

    def _list(
        self, state: SubmissionState, results: list[SampleResult]
    ) -> None:
        """List durable results."""
        ids = {result.id for result in results}
        state.finished = [r for r in state.finished if r.id not in ids]
        state.finished_at = self._read_now()
        state.group_whole = False
        state.list_results(results)
        self._board.wake()


def find_due(states: list[SubmissionState], now: float) -> float:
    """Return when the next batch is due, in seconds; far off for none."""
    due_at = now + 3600.0
    for state in states:
        if not state.finished or state.ended:
            continue
        unlisted = len(state.items) - len(state.listed)
        if state.group_whole or len(state.finished) == unlisted:
            return now
        due_at = min(due_at, state.finished_at + const.LINGER_S)
    return due_at


def choose_batch(states: list[SubmissionState]) -> Batch:
    """Return what goes into the next transaction, within its limits."""
    batch: Batch = []
    size = 0
    for state in states:
        if not state.finished or state.ended:
            continue
        if len(batch) >= const.COMMIT_ROWS or size > const.COMMIT_BYTES:
            break
        results: list[SampleResult] = []
        for result in state.finished:
            if size > const.COMMIT_BYTES:
                break
            results.append(result)
            size += len(result.text)
        if results:
            batch.append((state, results))
    return batch
