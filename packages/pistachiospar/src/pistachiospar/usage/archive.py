"""Stored counts of open windows, and the reports of fixed ones."""

from dataclasses import dataclass
from dataclasses import field

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from . import const
from ..pool_holders.models import Role
from ..ports.kv import KeyValue
from ..ports.kv import KvCheck
from ..ports.kv import KvError
from ..ports.kv import KvPut
from ..ports.kv import KvTransaction
from ..telemetry.metrics import Metrics
from .ledger import PartCounts


class Progress(msgspec.Struct):
    """Which reports were acknowledged: those up to a window, and others."""

    up_to: int = -1
    others: list[int] = []

    def includes(self, window: int) -> bool:
        """Return whether a report was acknowledged."""
        return window <= self.up_to or window in self.others

    def add(self, window: int, first: int) -> None:
        """Add a window; `first` is the first of all."""
        self.others.append(window)
        if self.up_to < 0:
            self.up_to = first - 1
        while self.up_to + 1 in self.others:
            self.up_to += 1
            self.others.remove(self.up_to)


@dataclass(slots=True)
class StoredUsage:
    """What the store holds: `parts` have the last window of each part.

    `reports` are the bytes of fixed windows.
    """

    reports: dict[int, bytes] = field(default_factory=dict)
    counts: list[PartCounts] = field(default_factory=list)
    parts: dict[str, int] = field(default_factory=dict)
    progress: Progress = field(default_factory=Progress)


@dataclass(frozen=True, slots=True)
class UsageWrite:
    """New counts and reports, and keys that are needed no longer."""

    counts: PartCounts
    reports: dict[int, bytes]
    progress: Progress | None
    removals: tuple[str, ...]


class UsageArchive:
    """Read and write usage in the store, under the fence of the duty."""

    def __init__(self, kv: KeyValue, metrics: Metrics) -> None:
        """Initialize; parts are numbered over all terms of this process."""
        self._kv = kv
        self._metrics = metrics
        self._part_number = 0

    async def load(self) -> Result[StoredUsage, KvError]:
        """Return what is stored; no other holder writes any more."""
        listing = await self._kv.list_items(const.PREFIX_USAGE)
        if isinstance(listing, Err):
            return listing
        stored = StoredUsage()
        for item in listing.ok_value[0]:
            if item.key.startswith(const.PREFIX_WINDOWS):
                window = int(item.key.removeprefix(const.PREFIX_WINDOWS))
                stored.reports[window] = item.value
            elif item.key.startswith(const.PREFIX_PARTS):
                counts = msgspec.msgpack.decode(item.value, type=PartCounts)
                stored.counts.append(counts)
                stored.parts[item.key] = find_last_window(counts)
            elif item.key == const.KEY_PROGRESS:
                stored.progress = msgspec.json.decode(
                    item.value, type=Progress
                )
        return Ok(stored)

    async def write(
        self, role: Role, fence: int, write: UsageWrite
    ) -> str | None:
        """Write; return the key of the new part, None when it failed.

        A call with an unknown outcome is repeated until that is known. It
        fails when the fence is no longer the holder's, or when a window is
        fixed already, maybe by an earlier try.
        """
        checks = [KvCheck(role.key, fence)]
        puts: list[KvPut] = []
        part_key = ""
        if write.counts:
            self._part_number += 1
            part_key = f"{const.PREFIX_PARTS}{fence}-{self._part_number}"
            puts.append(KvPut(part_key, msgspec.msgpack.encode(write.counts)))
        for window, report in write.reports.items():
            key = f"{const.PREFIX_WINDOWS}{window}"
            checks.append(KvCheck(key, 0))
            puts.append(KvPut(key, report))
        if write.progress is not None:
            value = msgspec.json.encode(write.progress)
            puts.append(KvPut(const.KEY_PROGRESS, value))
        transaction = KvTransaction(tuple(checks), tuple(puts), write.removals)
        while True:
            written = await self._kv.commit(transaction)
            if not isinstance(written, Err):
                return part_key if written.ok_value.won else None
            self._metrics.count("usage_write_faults")
            await trio.sleep(const.WRITE_RETRY_DELAY_S)


def find_last_window(counts: PartCounts) -> int:
    """Return the last window that a part has counts of."""
    return max((max(windows, default=0) for windows in counts.values()))
