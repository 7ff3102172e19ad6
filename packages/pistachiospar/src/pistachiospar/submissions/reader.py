"""Reads of submissions at any gateway.

Results come from the holder's memory, otherwise from the durable record.
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
from ..duties.models import is_duty
from ..organisations.decisions import may_access
from ..pool_holders.coordinator import HolderCoordinator
from ..ports.kv import KvError
from ..ports.submissions import SubmissionPeer
from .archive import Archive
from .archive import measure_result
from .models import ResultPage
from .models import SampleResult
from .models import Submission
from .registry import SubmissionState

FindState = Callable[[str], SubmissionState | None]


@dataclass(slots=True)
class CachedSubmission:
    """A submission and its results as last read; results never change."""

    submission: Submission
    pool: str = ""
    results: list[SampleResult] = field(default_factory=list)


class SubmissionReader:
    """Read submissions, their results and item bodies for callers."""

    def __init__(
        self,
        archive: Archive,
        holders: HolderCoordinator,
        find_state: FindState,
        peer: SubmissionPeer,
        read_configuration: Callable[[], int],
    ) -> None:
        """Initialize; `read_configuration` returns the version in force."""
        self._read_configuration = read_configuration
        self._archive = archive
        self._holders = holders
        self._find_state = find_state
        self._peer = peer
        self._cache: OrderedDict[str, CachedSubmission] = OrderedDict()

    async def read_local(
        self,
        submission: str,
        after: int,
        wait_s: float,
        organisation: str | None,
    ) -> ResultPage | None:
        """Return results from memory; None when it is not loaded here.

        Also None, at once, when it is another organisation's, or when a
        result before `after` isn't known, which another holder listed. Waits
        for a result at position `after` or later for up to `wait_s`, at most
        MAX_LONG_POLL_S.
        """
        state = self._find_state(submission)
        if state is None:
            return None
        owner = state.submission.organisation
        if not may_access(owner, organisation):
            return None
        if after > len(state.committed):
            return None
        with trio.move_on_after(min(wait_s, const.MAX_LONG_POLL_S)):
            while len(state.committed) <= after and state.is_open():
                await state.results_changed.wait()
        if state.released:
            return None
        page = make_page(state.committed, after)
        configuration = self._read_configuration()
        return ResultPage(len(state.items), page, owner, configuration)

    def _read_local_body(
        self, submission: str, item: str, organisation: str | None
    ) -> bytes | None:
        """Return an item's body from memory; None when it is not there."""
        state = self._find_state(submission)
        if state is None or not may_access(
            state.submission.organisation, organisation
        ):
            return None
        found = state.items.get(item)
        return found.item.body if found is not None else None

    async def read(
        self,
        submission: str,
        after: int,
        wait_s: float,
        organisation: str | None,
    ) -> Result[ResultPage | None, KvError]:
        """Return results.

        None when the submission certainly doesn't exist or is another
        organisation's.
        """
        page = await self.read_local(submission, after, wait_s, organisation)
        if page is None:
            page = await self._query_holders(
                submission, after, wait_s, organisation
            )
        if page is not None:
            return Ok(page)
        return await self._read_record(submission, after, organisation)

    async def _read_record(
        self, submission: str, after: int, organisation: str | None
    ) -> Result[ResultPage | None, KvError]:
        """Return results from the durable record."""
        loaded = await self._load_cached(submission, organisation)
        if isinstance(loaded, Err):
            return loaded
        if loaded.ok_value is None:
            return Ok(None)
        cached = loaded.ok_value
        if len(cached.results) <= after:
            results = await self._archive.load_results(submission)
            if isinstance(results, Err):
                return results
            if len(results.ok_value) > len(cached.results):
                cached.results = results.ok_value
        total = len(cached.submission.items)
        owner = cached.submission.organisation
        return Ok(ResultPage(total, make_page(cached.results, after), owner))

    async def read_body(
        self, submission: str, item: str, organisation: str | None
    ) -> Result[bytes | None, KvError]:
        """Return an item's body.

        None when it certainly does not exist or is another organisation's.
        """
        body = self._read_local_body(submission, item, organisation)
        if body is not None:
            return Ok(body)
        loaded = await self._load_cached(submission, organisation)
        if isinstance(loaded, Err):
            return loaded
        if loaded.ok_value is None:
            return Ok(None)
        for found in loaded.ok_value.submission.items:
            if found.id == item:
                return Ok(found.body)
        return Ok(None)

    async def exists(
        self, submission: str, organisation: str | None
    ) -> Result[bool, KvError]:
        """Return whether a submission is held by a gateway or stored.

        Another organisation's doesn't exist.
        """
        state = self._find_state(submission)
        if state is not None:
            owner = state.submission.organisation
            return Ok(may_access(owner, organisation))
        if submission not in self._cache:
            page = await self._query_holders(submission, 0, 0.0, organisation)
            if page is not None:
                return Ok(True)
        loaded = await self._load_cached(submission, organisation)
        return loaded.map(lambda found: found is not None)

    def cache_submission(self, submission: Submission) -> None:
        """Cache a submission, evicting the oldest beyond the limit."""
        self._cache[submission.id] = CachedSubmission(submission)
        while len(self._cache) > const.MAX_CACHED_SUBMISSIONS:
            self._cache.popitem(last=False)

    async def _query_holders(
        self,
        submission: str,
        after: int,
        wait_s: float,
        organisation: str | None,
    ) -> ResultPage | None:
        """Read results from the other gateways that hold a pool.

        A page whose organisation isn't known is of an older build, which
        doesn't check it: the record decides. So it does where the holder
        lacks a configuration that this gateway has: another pool may own the
        submission by now.
        """
        for pool in list(self._holders.holders):
            record = self._holders.find_remote_holder(pool)
            if record is None or is_duty(pool):
                continue
            page = await self._peer.fetch_results(
                record.peer, submission, after, wait_s, organisation
            )
            if page is None or (
                page.configuration is not None
                and page.configuration < self._read_configuration()
            ):
                continue
            if organisation is None or (
                page.organisation is not None
                and may_access(page.organisation, organisation)
            ):
                return page
        return None

    async def _load_cached(
        self, submission: str, organisation: str | None
    ) -> Result[CachedSubmission | None, KvError]:
        """Return a submission from the cache, otherwise from the store.

        None for another organisation's.
        """
        loaded = await self._load_any_cached(submission)
        return loaded.map(
            lambda found: (
                found
                if found is not None
                and may_access(found.submission.organisation, organisation)
                else None
            )
        )

    async def _load_any_cached(
        self, submission: str
    ) -> Result[CachedSubmission | None, KvError]:
        """Return any organisation's submission."""
        cached = self._cache.get(submission)
        if cached is not None:
            return Ok(cached)
        record = await self._archive.load_submission(submission)
        if isinstance(record, Err):
            return record
        if record.ok_value is None:
            return Ok(None)
        self.cache_submission(record.ok_value)
        return Ok(self._cache[submission])


def make_page(results: list[SampleResult], after: int) -> list[SampleResult]:
    """Return the results from a position on that fit into one page.

    A page has at least one result, however large.
    """
    page: list[SampleResult] = []
    size = 0
    for result in results[after:]:
        size += measure_result(result)
        if page and size > const.MAX_PAGE_BYTES:
            break
        page.append(result)
    return page
