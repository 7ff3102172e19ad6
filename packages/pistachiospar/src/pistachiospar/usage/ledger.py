"""Counts of all gateways, and the windows that are fixed.

Pattern: each process counts up, and its counts come again and in any order.
The largest count of a process for a window and organisation is the newest, so
they are merged by maximum. Windows are fixed in order.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from . import const
from .messages import CountsMessage
from .messages import WindowCounts

# Counts by process, then window, then organisation, as they are stored.
PartCounts = dict[str, WindowCounts]
Entry = tuple[str, int, str]


@dataclass(frozen=True, slots=True)
class LateCount:
    """Calls that became known after their window was fixed.

    `certain` is False when the counts that the window was fixed with are no
    longer known by process, so that these calls may be among them.
    """

    window: int
    organisation: str
    number: int
    certain: bool


class UsageLedger:
    """Merged counts by window, process and organisation.

    All windows below `next_window` are fixed. Nothing is fixed before
    `collect_until_s`.
    """

    def __init__(
        self,
        window_s: float,
        report_due_s: float,
        next_window: int,
        collect_until_s: float,
    ) -> None:
        """Start empty; times are Unix time in seconds."""
        self.window_s = window_s
        self._fix_after_s = report_due_s * const.FIX_SHARE
        self._fix_complete_after_s = report_due_s * const.FIX_COMPLETE_SHARE
        self.next_window = next_window
        # A write that fixes the windows below this one may be under way.
        self._closed_below = next_window
        self._known_from = next_window - const.KEPT_PART_WINDOWS
        self._late: list[LateCount] = []
        self._collect_until_s = collect_until_s
        self._counts: dict[int, dict[str, dict[str, int]]] = {}
        self._dirty: dict[Entry, None] = {}
        self._complete_until_s: dict[str, float] = {}
        self._sequences: dict[str, int] = {}
        self.durable_sequences: dict[str, int] = {}

    def merge_part(self, part: PartCounts) -> None:
        """Merge stored counts."""
        for life, windows in part.items():
            for window, counts in windows.items():
                self._merge(life, window, counts)

    def receive(self, message: CountsMessage, now_s: float) -> None:
        """Merge a gateway's counts; those that are new are to be stored."""
        life = message.life
        last = int((now_s + const.MAX_AHEAD_S) // self.window_s)
        for window, counts in message.counts.items():
            if window > last:
                continue
            for organisation, added in self._merge(life, window, counts):
                if window >= self._closed_below:
                    self._dirty[life, window, organisation] = None
                    continue
                certain = window >= self._known_from
                self._late.append(
                    LateCount(window, organisation, added, certain)
                )
        known_s = self._complete_until_s.get(life, 0.0)
        self._complete_until_s[life] = max(known_s, message.complete_until_s)
        known = self._sequences.get(life, 0)
        self._sequences[life] = max(known, message.sequence)

    def extend_back(self) -> None:
        """Begin with the first window that has counts, if it is recent."""
        oldest = self.next_window - const.KEPT_WINDOWS
        recent = [window for window in self._counts if window >= oldest]
        self.next_window = min([self.next_window, *recent])
        self._closed_below = min(self._closed_below, self.next_window)

    def take_late(self) -> list[LateCount]:
        """Return the counts that came too late since the last time."""
        late, self._late = self._late, []
        return late

    def take_dirty(self) -> PartCounts:
        """Return new counts to be stored."""
        part: PartCounts = {}
        for entry in list(self._dirty)[: const.MAX_ENTRIES_PER_PART]:
            del self._dirty[entry]
            life, window, organisation = entry
            count = self._counts[window][life][organisation]
            windows = part.setdefault(life, {})
            windows.setdefault(window, {})[organisation] = count
        return part

    def has_dirty(self) -> bool:
        """Return whether there are counts to be stored."""
        return bool(self._dirty)

    def read_sequences(self) -> dict[str, int]:
        """Return the last message received from each process."""
        return dict(self._sequences)

    def choose_due(
        self, lives: Collection[str], now_s: float
    ) -> list[tuple[int, dict[str, int]]]:
        """Return the next windows to be fixed, with their counts.

        `lives` are the processes of all listed gateways.
        """
        due: list[tuple[int, dict[str, int]]] = []
        window = self.next_window
        while len(due) < const.MAX_WINDOWS_PER_WRITE and self._is_due(
            window, lives, now_s
        ):
            due.append((window, self.sum_counts(window)))
            window += 1
        self._closed_below = window
        return due

    def find_due_time(self) -> float:
        """Return when the next window is fixed at the latest."""
        end_s = (self.next_window + 1) * self.window_s
        return max(self._collect_until_s, end_s + self._fix_after_s)

    def sum_counts(self, window: int) -> dict[str, int]:
        """Return the calls of a window by organisation."""
        total: dict[str, int] = {}
        for counts in self._counts.get(window, {}).values():
            for organisation, count in counts.items():
                total[organisation] = total.get(organisation, 0) + count
        return total

    def record_fixed(self, windows: Iterable[int]) -> None:
        """Record that windows are fixed, and forget old ones."""
        self.next_window = max([self.next_window, *(w + 1 for w in windows)])
        oldest = self.next_window - const.KEPT_WINDOWS
        for window in [w for w in self._counts if w < oldest]:
            del self._counts[window]

    def record_durable(self, sequences: Mapping[str, int]) -> None:
        """Record that the counts of these messages are stored."""
        self.durable_sequences.update(sequences)

    def _is_due(
        self, window: int, lives: Collection[str], now_s: float
    ) -> bool:
        """Return whether a window may be fixed."""
        end_s = (window + 1) * self.window_s
        if now_s < self._collect_until_s:
            return False
        if now_s >= end_s + self._fix_after_s:
            return True
        return now_s >= end_s + self._fix_complete_after_s and all(
            self._complete_until_s.get(life, 0.0) >= end_s for life in lives
        )

    def _merge(
        self, life: str, window: int, counts: Mapping[str, int]
    ) -> list[tuple[str, int]]:
        """Merge counts by maximum; return what was added by organisation."""
        merged = self._counts.setdefault(window, {}).setdefault(life, {})
        changed: list[tuple[str, int]] = []
        for organisation, count in counts.items():
            known = merged.get(organisation, 0)
            if count > known:
                merged[organisation] = count
                changed.append((organisation, count - known))
        return changed
