"""Memory of samplers, in tokens, and what items need of it.

Pattern: items run side by side while their texts grow. Where two long ones
run and one fits, the sampler has to drop one of them.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections import deque
from dataclasses import dataclass
import math

from . import const
from ..costs.decisions import LogAverage
from ..costs.decisions import record_value
from ..ports.sampler import SamplerReport
from ..routing.instances import ListedInstance
from .models import Item
from .registry import ItemState


@dataclass(frozen=True, slots=True)
class MemoryNeed:
    """Tokens that an item needs: for its prompt, and for all of its text."""

    prompt: int
    total: int


NO_NEED = MemoryNeed(0, 0)


@dataclass(frozen=True, slots=True)
class MemoryReport:
    """The memory of an instance and what others than this holder use of it.

    `total` is None where the instance doesn't tell. `started_ms` is the
    lifetime that it was fetched for, `at` in monotonic seconds. `has_failed`
    is set when it couldn't be fetched.
    """

    started_ms: int
    at: float
    total: int | None = None
    others: int = 0
    has_failed: bool = False


class MemoryTable:
    """Memory of a pool's instances, and what running items take of it."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, MemoryReport] = {}
        # By id() of the item's state: two steps may have the same item.
        self._running: dict[str, dict[int, tuple[ItemState, MemoryNeed]]] = {}
        self._lengths: dict[str, LogAverage] = {}
        self._fetched_at: deque[float] = deque(
            maxlen=const.MEMORY_REPORTS_PER_S
        )

    def clear(self) -> None:
        """Drop what runs, once this gateway lost the role."""
        self._running.clear()

    def retain_only(self, instances: Collection[str]) -> None:
        """Drop the reports of all other instances."""
        for name in [n for n in self._reports if n not in instances]:
            del self._reports[name]

    def estimate_need(self, model: str, item: Item) -> MemoryNeed:
        """Return what an item needs, nothing when it doesn't tell.

        The margin on top of its expected output covers nearly all texts, by
        how far those of the model were from what was expected.
        """
        if not item.prompt_tokens:
            return NO_NEED
        average = self._lengths.get(model)
        spread = average.spread if average else const.INITIAL_LENGTH_SPREAD
        margin = math.exp(const.LENGTH_MARGIN_SPREADS * spread)
        output = item.expected_tokens * margin
        if item.max_tokens:
            output = min(output, item.max_tokens)
        return MemoryNeed(
            item.prompt_tokens, item.prompt_tokens + math.ceil(output)
        )

    def record_length(self, model: str, state: ItemState, now: float) -> None:
        """Record how long a complete text became."""
        expected = state.item.expected_tokens
        if expected and state.last_event and state.item.prompt_tokens:
            self._lengths[model] = record_value(
                self._lengths.get(model), state.last_event / expected, now
            )

    def start_item(
        self, instance: str, state: ItemState, need: MemoryNeed
    ) -> None:
        """Reserve an item's memory at an instance."""
        items = self._running.setdefault(instance, {})
        items[id(state)] = (state, need)

    def end_item(self, instance: str, state: ItemState) -> None:
        """Release an item's memory."""
        items = self._running.get(instance, {})
        items.pop(id(state), None)
        if not items:
            self._running.pop(instance, None)

    def record_report(
        self,
        instance: ListedInstance,
        report: SamplerReport | None,
        now: float,
    ) -> None:
        """Store an instance's report, None when it couldn't be fetched."""
        total = report.kv_total if report else None
        used = (report.kv_used if report else None) or 0
        own = sum(
            need.prompt + state.last_event
            for state, need in self._running.get(instance.name, {}).values()
        )
        known = self._reports.get(instance.name)
        if report is None and known is not None:
            total = known.total
        self._reports[instance.name] = MemoryReport(
            instance.started_ms,
            now,
            total or None,
            max(0, used - own),
            report is None,
        )

    def list_due(
        self,
        instances: Iterable[ListedInstance],
        is_awaited: bool,
        now: float,
    ) -> list[ListedInstance]:
        """Return the instances to fetch a report from now.

        All are asked once in their lifetime; those that told of their memory
        again while items run there, or all while `is_awaited` is set, since
        an item waits for memory.
        """
        due: list[tuple[float, ListedInstance]] = []
        for instance in instances:
            report = self._reports.get(instance.name)
            if report is None or report.started_ms != instance.started_ms:
                due.append((-math.inf, instance))
                continue
            interval_s = const.MEMORY_REPORT_INTERVAL_S
            if report.has_failed:
                interval_s = const.MEMORY_RETRY_INTERVAL_S
            elif report.total is None or not (
                is_awaited or instance.name in self._running
            ):
                continue
            if now - report.at >= interval_s:
                due.append((report.at, instance))
        due.sort(key=lambda found: found[0])
        chosen: list[ListedInstance] = []
        for _, instance in due:
            recent = self._fetched_at
            if len(recent) == recent.maxlen and now - recent[0] < 1.0:
                break
            recent.append(now)
            chosen.append(instance)
            # Not due again while this report is fetched.
            known = self._reports.get(instance.name)
            self._reports[instance.name] = MemoryReport(
                instance.started_ms,
                now,
                known.total if known else None,
                known.others if known else 0,
            )
        return chosen

    def may_lay(
        self, instance: str, need: MemoryNeed, largest: int, now: float
    ) -> bool:
        """Return whether an item fits beside what runs at an instance.

        True where that isn't known. `largest` is the most that any instance
        has for it: an item that needs more runs alone where its prompt fits.
        """
        report = self._reports.get(instance)
        if report is None or report.total is None or not need.prompt:
            return True
        free = self.count_free(instance, now)
        if need.total > largest:
            return not self._running.get(instance) and need.prompt < free
        return need.total <= free

    def count_free(self, instance: str, now: float) -> int:
        """Return the memory that nothing needs at an instance."""
        report = self._reports.get(instance)
        if report is None:
            return 0
        running = self._running.get(instance, {})
        needed = sum(need.total for _, need in running.values())
        return self._count_usable(report, now) - needed

    def may_become_free(
        self, instance: str, need: MemoryNeed, now: float
    ) -> bool:
        """Return whether an item fits once the holder's others there ended."""
        report = self._reports.get(instance)
        return report is not None and need.total <= self._count_usable(
            report, now
        )

    def find_largest(self, instances: Iterable[str], now: float) -> int:
        """Return the most memory that an item could have at an instance."""
        reports = [self._reports.get(name) for name in instances]
        return max(
            (
                self._count_usable(report, now)
                for report in reports
                if report is not None and report.total is not None
            ),
            default=0,
        )

    def find_max_prompt(self, instances: Iterable[str]) -> float:
        """Return the length from which a prompt fits nowhere.

        That is infinite while the memory of one instance isn't known.
        """
        longest = 0
        for name in instances:
            report = self._reports.get(name)
            if report is None or report.total is None:
                return math.inf
            longest = max(longest, report.total)
        return longest or math.inf

    def _count_usable(self, report: MemoryReport, now: float) -> int:
        """Return the memory that others leave to this holder's items."""
        is_recent = now - report.at < const.MEMORY_REPORT_MAX_AGE_S
        return (report.total or 0) - report.others * is_recent
