"""Support reading submissions at any gateway.

The pool's holder answers from memory; else the durable record does.
"""

from collections.abc import Callable
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field

from result import Err
from result import Ok
from result import Result
import trio

from . import const
from ..holding.coordinator import HolderCoordinator
from ..ports.kv import KvError
from ..ports.submissions import SubmissionPeer
from .archive import Archive
from .board import SubmissionState
from .models import ResultPage
from .models import SampleResult
from .models import Submission

FindState = Callable[[str], SubmissionState | None]


@dataclass(slots=True)
class CachedSubmission:
    """Hold what was read of a submission; results never change."""

    submission: Submission
    pool: str = ""
    results: list[SampleResult] = field(default_factory=list)


class SubmissionReader:
    """Answer what callers ask of a submission."""

    def __init__(
        self,
        archive: Archive,
        holders: HolderCoordinator,
        find_state: FindState,
        peer: SubmissionPeer,
    ) -> None:
        """Begin with nothing read."""
        self._archive = archive
        self._holders = holders
        self._find_state = find_state
        self._peer = peer
        self._cache: OrderedDict[str, CachedSubmission] = OrderedDict()

    async def read_here(
        self, submission: str, after: int, wait_s: float
    ) -> ResultPage | None:
        """Return results from the holder's memory; None when not here."""
        state = self._find_state(submission)
        if state is None:
            return None
        with trio.move_on_after(min(wait_s, const.MOST_WAIT_S)):
            while len(state.listed) <= after and state.is_open():
                await state.grown.wait()
        return ResultPage(len(state.items), cut_page(state.listed, after))

    def read_body_here(self, submission: str, item: str) -> bytes | None:
        """Return an item's body from the holder's memory."""
        state = self._find_state(submission)
        found = state.items.get(item) if state is not None else None
        return found.item.body if found is not None else None

    async def read(
        self, submission: str, after: int, wait_s: float
    ) -> Result[ResultPage | None, KvError]:
        """Return results; None when there certainly is no such thing."""
        page = await self.read_here(submission, after, wait_s)
        if page is None:
            page = await self._ask_holders(submission, after, wait_s)
        if page is not None:
            return Ok(page)
        return await self._read_record(submission, after)

    async def _read_record(
        self, submission: str, after: int
    ) -> Result[ResultPage | None, KvError]:
        """Return results from the durable record."""
        known = await self._load(submission)
        if isinstance(known, Err):
            return known
        if known.ok_value is None:
            return Ok(None)
        cached = known.ok_value
        if len(cached.results) <= after:
            results = await self._archive.load_results(submission)
            if isinstance(results, Err):
                return results
            if len(results.ok_value) > len(cached.results):
                cached.results = results.ok_value
        total = len(cached.submission.items)
        return Ok(ResultPage(total, cut_page(cached.results, after)))

    async def read_body(
        self, submission: str, item: str
    ) -> Result[bytes | None, KvError]:
        """Return an item's body; None when there certainly is none."""
        body = self.read_body_here(submission, item)
        if body is not None:
            return Ok(body)
        known = await self._load(submission)
        if isinstance(known, Err):
            return known
        if known.ok_value is None:
            return Ok(None)
        for found in known.ok_value.submission.items:
            if found.id == item:
                return Ok(found.body)
        return Ok(None)

    async def exists(self, submission: str) -> Result[bool, KvError]:
        """Return whether there is such a submission."""
        if self._find_state(submission) is not None:
            return Ok(True)
        if submission not in self._cache:
            page = await self._ask_holders(submission, 0, 0.0)
            if page is not None:
                return Ok(True)
        known = await self._load(submission)
        return known.map(lambda found: found is not None)

    def remember(self, submission: Submission) -> None:
        """Keep a submission that was just accepted at hand."""
        self._cache[submission.id] = CachedSubmission(submission)
        while len(self._cache) > const.CACHED_SUBMISSIONS:
            self._cache.popitem(last=False)

    async def _ask_holders(
        self, submission: str, after: int, wait_s: float
    ) -> ResultPage | None:
        """Ask the holders of all pools."""
        for pool in list(self._holders.holders):
            record = self._holders.find_peer(pool)
            if record is None:
                continue
            page = await self._peer.fetch_results(
                record.peer, submission, after, wait_s
            )
            if page is not None:
                return page
        return None

    async def _load(
        self, submission: str
    ) -> Result[CachedSubmission | None, KvError]:
        """Return a submission's record, read once."""
        cached = self._cache.get(submission)
        if cached is not None:
            return Ok(cached)
        record = await self._archive.load(submission)
        if isinstance(record, Err):
            return record
        if record.ok_value is None:
            return Ok(None)
        self.remember(record.ok_value)
        return Ok(self._cache[submission])


def cut_page(results: list[SampleResult], after: int) -> list[SampleResult]:
    """Return the results from a position on that fit into one answer."""
    page: list[SampleResult] = []
    size = 0
    for result in results[after:]:
        size += len(result.text) + 200
        if page and size > const.PAGE_BYTES:
            break
        page.append(result)
    return page
