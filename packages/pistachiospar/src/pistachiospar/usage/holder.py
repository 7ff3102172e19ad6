"""The holder's side of usage reports: one term with one fence."""

from collections.abc import Callable
from collections.abc import Collection
from collections import deque
from dataclasses import dataclass
from random import Random

import trio

from . import const
from ..duties.calls import DutyCaller
from ..duties.const import RETRY_INITIAL_S
from ..duties.const import RETRY_MAX_S
from ..duties.models import DutyOutcome
from ..helpers.backoff import Backoff
from ..pool_holders.models import Role
from ..ports.duties import DutyClient
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .archive import StoredUsage
from .archive import UsageArchive
from .archive import UsageWrite
from .ledger import LateCount
from .ledger import UsageLedger
from .messages import CountsMessage
from .messages import CountsReceipt

RETRY_BACKOFF = Backoff(RETRY_INITIAL_S, RETRY_MAX_S)


@dataclass(slots=True)
class PendingReport:
    """A fixed window whose report was not acknowledged yet."""

    body: bytes
    attempts: int = 0
    next_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class FixedWindow:
    """A window as it was fixed."""

    window: int
    calls: int
    organisations: int


@dataclass(frozen=True, slots=True)
class UsageTools:
    """What all terms of a process share."""

    archive: UsageArchive
    caller: DutyCaller
    client: DutyClient
    list_lives: Callable[[], Collection[str]]
    read_now_s: Callable[[], float]
    metrics: Metrics
    rng: Random
    late: deque[LateCount]


class UsageTerm:
    """Collect counts, fix windows and report them under one fence."""

    def __init__(
        self,
        role: Role,
        fence: int,
        stored: StoredUsage,
        window_s: float,
        report_due_s: float,
        tools: UsageTools,
    ) -> None:
        """Continue with what is stored."""
        self._role = role
        self._fence = fence
        self._tools = tools
        now_s = tools.read_now_s()
        self.is_first = not stored.reports
        self.ledger = UsageLedger(
            window_s,
            report_due_s,
            max(stored.reports, default=int(now_s // window_s) - 1) + 1,
            now_s + const.COLLECT_S,
        )
        for counts in stored.counts:
            self.ledger.merge_part(counts)
        self.progress = stored.progress
        self._progress_changed = False
        self._parts = dict(stored.parts)
        self._kept = set(stored.reports)
        self.pending = {
            window: PendingReport(body)
            for window, body in sorted(stored.reports.items())
            if not stored.progress.includes(window)
        }
        self.fixed: list[FixedWindow] = []

    def receive(self, message: CountsMessage) -> CountsReceipt:
        """Merge a gateway's counts; return which of them are durable."""
        self.ledger.receive(message, self._tools.read_now_s())
        durable = self.ledger.durable_sequences.get(message.life, 0)
        return CountsReceipt(durable)

    async def run(self) -> None:
        """Store counts, fix and report windows until a write fails."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report_windows)
            while await self._write_changes():
                await self._wait_for_changes()
            nursery.cancel_scope.cancel()

    async def _wait_for_changes(self) -> None:
        """Wait until the next write is due."""
        if self.ledger.has_dirty():
            return
        due_in_s = self.ledger.find_due_time() - self._tools.read_now_s()
        await trio.sleep(min(max(due_in_s, 0.0), const.SEND_INTERVAL_S))

    async def _write_changes(self) -> bool:
        """Store new counts and fix windows; False when that failed."""
        for late in self.ledger.take_late():
            self._tools.late.append(late)
            self._tools.metrics.count("usage_late_counts", late.number)
            log_event(
                "usage_count_late",
                window=late.window,
                organisation=late.organisation,
                number=late.number,
                certain=late.certain,
            )
        if self.is_first:
            self.ledger.extend_back()
        sequences = self.ledger.read_sequences()
        counts = self.ledger.take_dirty()
        complete = not self.ledger.has_dirty()
        reports = self._choose_reports() if complete else {}
        if counts or reports:
            written = await self._write(counts, reports)
            if not written:
                return False
        if complete:
            self.ledger.record_durable(sequences)
        return True

    def _choose_reports(self) -> dict[int, bytes]:
        """Return the reports of the windows to be fixed now."""
        tools = self._tools
        due = self.ledger.choose_due(tools.list_lives(), tools.read_now_s())
        self.fixed += [
            FixedWindow(window, sum(counts.values()), len(counts))
            for window, counts in due
        ]
        del self.fixed[: -const.KEPT_WINDOWS]
        return {w: tools.client.encode_usage(w, counts) for w, counts in due}

    async def _write(
        self,
        counts: dict[str, dict[int, dict[str, int]]],
        reports: dict[int, bytes],
    ) -> bool:
        """Write counts and reports; False when that failed."""
        removals = self._choose_removals()
        progress = self.progress if self._progress_changed else None
        self._progress_changed = False
        write = UsageWrite(counts, reports, progress, removals)
        part_key = await self._tools.archive.write(
            self._role, self._fence, write
        )
        if part_key is None:
            log_event("usage_write_refused", fence=self._fence)
            return False
        if part_key:
            self._parts[part_key] = max(max(c) for c in counts.values())
        for key in removals:
            self._parts.pop(key, None)
            self._kept.discard(_read_window(key))
        if reports:
            self._record_fixed(reports)
        return True

    def _record_fixed(self, reports: dict[int, bytes]) -> None:
        """Record that windows are fixed, and have them reported."""
        self.is_first = False
        self.ledger.record_fixed(reports)
        self._kept.update(reports)
        self._tools.metrics.count("usage_windows_fixed", len(reports))
        for window, body in reports.items():
            self.pending[window] = PendingReport(body)
            log_event(
                "usage_window_fixed",
                window=window,
                fence=self._fence,
                calls=sum(f.calls for f in self.fixed if f.window == window),
                bytes=len(body),
            )

    def _choose_removals(self) -> tuple[str, ...]:
        """Return keys that neither this holder nor the next one needs."""
        part_limit = self.ledger.next_window - const.KEPT_PART_WINDOWS
        limit = self.ledger.next_window - const.KEPT_WINDOWS
        keys = [k for k, last in self._parts.items() if last < part_limit]
        keys += [
            f"{const.PREFIX_WINDOWS}{window}"
            for window in self._kept
            if window < limit and self.progress.includes(window)
        ]
        return tuple(keys[: const.MAX_REMOVALS_PER_WRITE])

    async def _report_windows(self) -> None:
        """Report fixed windows until cancelled."""
        while True:
            now = trio.current_time()
            due = [w for w, p in self.pending.items() if p.next_at <= now]
            if not due or not await self._report(min(due)):
                await trio.sleep(const.REPORT_POLL_INTERVAL_S)

    async def _report(self, window: int) -> bool:
        """Report one window; return whether a call was made.

        Its bytes are those that the store has confirmed.
        """
        tools = self._tools
        report = self.pending[window]
        outcome = await tools.caller.call(
            lambda fence: tools.client.report_usage(fence, report.body)
        )
        if outcome is None:
            return False
        if outcome is not DutyOutcome.DONE:
            delay_s = RETRY_BACKOFF.draw_delay_s(report.attempts, tools.rng)
            report.attempts += 1
            report.next_at = trio.current_time() + delay_s
            return True
        del self.pending[window]
        first = min([window, *self.pending, *self._kept])
        self.progress.add(window, first)
        self._progress_changed = True
        tools.metrics.count("usage_windows_reported")
        log_event("usage_window_reported", window=window, fence=self._fence)
        return True


def _read_window(key: str) -> int:
    """Return the window of a report's key, -1 for other keys."""
    if not key.startswith(const.PREFIX_WINDOWS):
        return -1
    return int(key.removeprefix(const.PREFIX_WINDOWS))
