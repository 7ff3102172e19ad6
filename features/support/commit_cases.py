"""Commits of results that overlap, as when a holder stops during one.

Pattern: the stopping holder flushes its results while a commit of the same
results is still under way, and the replies of the store arrive in any order.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

import msgspec
from pistachiospar.const import MEBIBYTE
from pistachiospar.platform.callers import encode_results as encode_page
from pistachiospar.pool_holders.models import Role
from pistachiospar.submissions.archive import Archive
from pistachiospar.submissions.archive import encode_results
from pistachiospar.submissions.commits import ResultCommitter
from pistachiospar.submissions.const import BATCH_DELAY_S
from pistachiospar.submissions.keys import make_owner_key
from pistachiospar.submissions.keys import make_results_key
from pistachiospar.submissions.models import Item
from pistachiospar.submissions.models import OwnerRecord
from pistachiospar.submissions.models import ResultPage
from pistachiospar.submissions.models import SampleResult
from pistachiospar.submissions.models import Submission
from pistachiospar.submissions.reader import make_page
from pistachiospar.submissions.registry import make_submission_state
from pistachiospar.submissions.registry import SubmissionRegistry
from pistachiospar.telemetry.metrics import Metrics
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import MAX_VALUE_BYTES
from pistachiospar_standins.fakes.kv import FakeKeyValue
from pistachiospar_standins.fakes.kv import KvFaultSet
from pistachiospar_standins.kv.store import Store
import trio

ROLE_KEY = "holder-key"
ITEM_COUNT = 12
GEORGIAN = "\u10d0"
SEEDS_PER_CASE = 200
COMMIT_TIMEOUT_S = 60.0


class CommitRun:
    """A committer over a store whose replies take random times."""

    def __init__(self, seed: int) -> None:
        """Create a submission with results that are still to be committed."""
        self.rng = Random(seed)
        self.store = Store()
        self.store.write(ROLE_KEY, b"", 0, 0.0)
        self.faults = KvFaultSet()
        self.kv = FakeKeyValue(self.store, self.faults)
        self.metrics = Metrics()
        self.archive = Archive(self.kv, MAX_VALUE_BYTES, self.metrics)
        self.role = Role(ROLE_KEY, ROLE_KEY, self.store.revision, 0, 1e9)
        items = [
            Item(f"i{n}", "/p", [], b"", f"g{n // 3}", 9.0)
            for n in range(ITEM_COUNT)
        ]
        submission = Submission("sub", "h", "/", "m", 1, 1, 1, items, 0.0)
        self.state = make_submission_state(submission, 0.0, 0.0, 9.0, 99.0)
        self.registry = SubmissionRegistry()
        self.reloaded: list[str] = []
        self.committer = self.make_committer()

    def make_committer(self) -> ResultCommitter:
        """Return the committer of a holder that runs the submission."""
        self.registry.submissions[self.state.submission.id] = self.state
        return ResultCommitter(
            self.kv,
            self.archive,
            self.registry,
            self._reload,
            trio.current_time,
            self.metrics,
            Random(self.rng.random()),
        )

    def _reload(self, name: str) -> None:
        """Record and drop a submission that is to be loaded anew."""
        self.reloaded.append(name)
        self.registry.release_submission(name)

    async def finish_items(self) -> None:
        """Finish the items one by one, at random times."""
        for name in self.state.items:
            await trio.sleep(self.rng.uniform(0.0, 0.3))
            result = SampleResult(name, True, name, [1], "")
            self.state.finish_item(result, trio.current_time())
            self.registry.notify_changed()

    async def is_whole(self) -> bool:
        """Return whether the stored results are those in memory, once each."""
        self.faults.draw_delay_s = None
        self.faults.lose_reply_every = 0
        stored = await self.archive.load_results("sub")
        if stored.is_err():
            return False
        names = [result.id for result in stored.unwrap()]
        known = [result.id for result in self.state.committed]
        in_order = not (
            self.reloaded or self.metrics.counts["results_out_of_place"]
        )
        complete = sorted(names) == sorted(self.state.items)
        return complete and names == known and in_order


async def run_overlapping_commits(seed: int, lose_replies: bool) -> bool:
    """Commit and flush at the same time; return whether nothing is lost."""
    run = CommitRun(seed)
    run.faults.draw_delay_s = lambda: run.rng.expovariate(10.0)
    run.faults.lose_reply_every = run.rng.choice([2, 3]) * lose_replies
    with trio.move_on_after(COMMIT_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run.committer.run, run.role)
            nursery.start_soon(run.finish_items)
            for _ in range(6):
                await trio.sleep(run.rng.uniform(0.0, 0.8))
                nursery.start_soon(run.committer.flush, run.role)
            while len(run.state.committed) < ITEM_COUNT:
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
    return await run.is_whole()


async def check_late_replies() -> bool:
    """Replies that arrive in another order than the writes took effect."""
    return await check_seeds(lose_replies=False)


async def check_lost_replies() -> bool:
    """Some replies are lost, and their commits are repeated."""
    return await check_seeds(lose_replies=True)


async def check_seeds(lose_replies: bool) -> bool:
    """Return whether no seed loses or repeats a result."""
    failed = [
        seed
        for seed in range(SEEDS_PER_CASE)
        if not await run_overlapping_commits(seed, lose_replies)
    ]
    if failed:
        print(f"commit seeds failed: {failed[:10]}, {len(failed)} in all")
    return not failed


async def check_stopped_commit() -> bool:
    """A commit whose reply never arrived; the next holder goes on."""
    run = CommitRun(1)
    for name in list(run.state.items)[:5]:
        run.state.finish_item(SampleResult(name, True, name, [1], ""), 0.0)
    run.faults.lose_reply_every = 1
    with trio.move_on_after(1.0):
        await run.committer.flush(run.role)
    run.faults.lose_reply_every = 0
    first, run.state = (
        run.state,
        make_submission_state(run.state.submission, 0.0, 0.0, 9.0, 99.0),
    )
    stored = (await run.archive.load_results("sub")).unwrap()
    run.state.record_committed(0, stored)
    successor = run.make_committer()
    for name in list(first.items)[5:]:
        result = SampleResult(name, True, name, [1], "")
        run.state.finish_item(result, BATCH_DELAY_S)
    await successor.flush(run.role)
    return len(stored) == 5 and await run.is_whole()


async def check_repeated_results() -> bool:
    """Results that are known already are refused, and change nothing."""
    run = CommitRun(1)
    results = [SampleResult(n, True, n, [1], "") for n in ("i0", "i1")]
    first = run.state.record_committed(0, results)
    again = run.state.record_committed(0, results)
    ahead = run.state.record_committed(3, results)
    repeated = run.state.record_committed(2, results)
    known = [result.id for result in run.state.committed]
    return first and not (again or ahead or repeated) and known == ["i0", "i1"]


async def check_beside_other(
    key: str, value: bytes, is_listed: bool
) -> tuple[bool, CommitRun]:
    """Commit beside a submission that somebody else wrote a key for.

    `is_listed` is set when its first result is listed. Returns whether the
    others' results are stored.
    """
    run = CommitRun(1)
    submission = msgspec.structs.replace(run.state.submission, id="moved")
    moved = make_submission_state(submission, 0.0, 0.0, 9.0, 99.0)
    run.registry.submissions["moved"] = moved
    first = SampleResult("i0", True, "i0", [1], "")
    if is_listed:
        moved.record_committed(0, [first])
        stored_key = make_results_key("moved", 0)
        run.store.write(stored_key, encode_results([first]), 0, 0.0)
    run.store.write(key, value, 0, 0.0)
    for state in (moved, run.state):
        for name in state.items:
            state.finish_item(SampleResult(name, True, name, [1], ""), 0.0)
    with trio.move_on_after(COMMIT_TIMEOUT_S):
        await run.committer.flush(run.role)
    found = (await run.archive.load_results("sub")).unwrap()
    return len(found) == ITEM_COUNT, run


async def check_beside_moved() -> bool:
    """Guard: one that moved stopped the results of all others."""
    owner = msgspec.msgpack.encode(OwnerRecord("other", 2))
    key = make_owner_key("moved")
    is_stored, run = await check_beside_other(key, owner, False)
    others = (await run.archive.load_results("moved")).unwrap()
    return is_stored and run.reloaded == ["moved"] and not others


async def check_beside_contradiction() -> bool:
    """Guard: a batch that the record contradicts was written forever."""
    result = SampleResult("i0", True, "i0", [1], "")
    key = make_results_key("moved", 1)
    value = encode_results([result])
    is_stored, run = await check_beside_other(key, value, True)
    return is_stored and run.reloaded == ["moved"]


async def commit_texts(texts: list[str]) -> CommitRun:
    """Commit an item of each text at once."""
    run = CommitRun(1)
    for name, text in zip(run.state.items, texts, strict=True):
        run.state.finish_item(SampleResult(name, True, text, [1], ""), 0.0)
    with trio.move_on_after(COMMIT_TIMEOUT_S):
        await run.committer.flush(run.role)
    return run


async def check_wide_letters() -> bool:
    """Guard: a batch was bounded in letters, a value is in bytes."""
    run = await commit_texts([GEORGIAN * 60_000] * ITEM_COUNT)
    return await run.is_whole()


async def check_large_text() -> bool:
    """Guard: a value that is refused for good was written again forever."""
    large = GEORGIAN * 400_000
    run = await commit_texts([large] + ["short"] * (ITEM_COUNT - 1))
    completed = [r.completed for r in run.state.committed if r.id == "i0"]
    return completed == [False] and await run.is_whole()


async def check_long_key() -> bool:
    """Guard: a key that is refused for good stopped all others."""
    run = CommitRun(1)
    name = "x" * 190
    submission = msgspec.structs.replace(run.state.submission, id=name)
    other = make_submission_state(submission, 0.0, 0.0, 9.0, 99.0)
    run.registry.submissions[name] = other
    for state in (other, run.state):
        for item in state.items:
            state.finish_item(SampleResult(item, True, item, [1], ""), 0.0)
    with trio.move_on_after(COMMIT_TIMEOUT_S):
        await run.committer.flush(run.role)
    return not other.committed and await run.is_whole()


async def check_pages() -> bool:
    """Guard: a page was bounded in letters, a response is in bytes."""
    results = [
        SampleResult(str(n), True, GEORGIAN * 90_000, [1], "")
        for n in range(9)
    ]
    page = ResultPage(9, make_page(results, 0))
    return len(encode_page(page, 0)) <= MEBIBYTE and len(page.results) > 1


CASES: dict[str, Callable[[], Awaitable[bool]]] = {
    "replies arrive late and out of order": check_late_replies,
    "replies are lost": check_lost_replies,
    "the next holder goes on after a commit without reply": (
        check_stopped_commit
    ),
    "results that are known already are refused": check_repeated_results,
    "texts have three bytes a letter": check_wide_letters,
    "a text is larger than a value": check_large_text,
    "another submission's keys are too long": check_long_key,
    "a page has three bytes a letter": check_pages,
    "another submission has another owner": check_beside_moved,
    "another one's record isn't as expected": check_beside_contradiction,
}


def run_case(name: str) -> bool:
    """Run a case in virtual time."""
    return run_virtual(CASES[name], 1, 60_000.0)
