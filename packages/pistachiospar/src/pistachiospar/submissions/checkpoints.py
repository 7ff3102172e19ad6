"""Checkpoints of generated events whose results are not committed yet.

The next holder resumes from the last checkpoint, so a holder that crashes or
is partitioned loses at most the work of one checkpoint interval.

Pattern: many long items run at once, and their events don't fit into one
value of the store. A checkpoint has as many parts as it needs, each readable
by itself and all written in one transaction.
"""

import zlib

import msgspec
from result import Err
import trio

from . import const
from ..helpers.decoding import DECODE_ERRORS
from ..helpers.text import count_bytes
from ..pool_holders.models import Role
from ..ports.kv import KeyValue
from ..ports.kv import KvCheck
from ..ports.kv import KvPut
from ..ports.kv import KvTransaction
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .registry import ItemPhase
from .registry import ItemState
from .registry import SubmissionRegistry


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Events of an item so far and the weight versions behind them.

    `software` is the software version of the instances; builds before this
    one don't write it.
    """

    item: str
    events: list[str]
    versions: list[int]
    complete: bool = False
    software: str | None = None


class CheckpointStore:
    """Read and write the checkpoint of a pool.

    The first part has the key of the pool, the others keys below it.
    """

    def __init__(
        self,
        pool: str,
        kv: KeyValue,
        registry: SubmissionRegistry,
        value_bytes: int,
        metrics: Metrics,
    ) -> None:
        """Initialize; `value_bytes` is the largest value the service takes."""
        self._key = const.PREFIX_PROGRESS + pool
        self._kv = kv
        self._registry = registry
        self._max_part_bytes = value_bytes * 2 // 3
        self._metrics = metrics
        self._last_written: list[bytes] = []
        self._stored_parts = 0
        self._writing = trio.Lock()

    async def run(self, role: Role) -> None:
        """Write checkpoints until cancelled, each after an interval."""
        took_s = 0.0
        while True:
            await trio.sleep(choose_interval_s(took_s))
            started_at = trio.current_time()
            is_written = await self.write_checkpoint(role)
            # A failed write says how long the store is silent.
            took_s = trio.current_time() - started_at if is_written else 0.0

    async def write_checkpoint(self, role: Role) -> bool:
        """Write a checkpoint if it changed.

        Return False when it should be written and was not. Checkpoints are
        written one at a time, so that an older one can't replace a newer one.
        """
        async with self._writing:
            return await self._write_parts(role, self._encode_parts())

    async def _write_parts(self, role: Role, parts: list[bytes]) -> bool:
        """Write the parts of a checkpoint if they changed."""
        if parts == self._last_written:
            return True
        # Parts that an earlier, larger checkpoint left are emptied.
        empty = _encode_progress([])
        padding = [empty] * (self._stored_parts - len(parts))
        # A write whose reply is lost may have stored its parts.
        self._stored_parts = max(self._stored_parts, len(parts))
        puts = [
            KvPut(self._make_part_key(number), part)
            for number, part in enumerate(parts + padding)
        ]
        transaction = KvTransaction(
            (KvCheck(role.key, role.fence),), tuple(puts)
        )
        written = await self._kv.commit(transaction)
        if isinstance(written, Err):
            log_event(
                "checkpoint_write_failed", error=written.err_value.detail
            )
            return False
        if not written.ok_value.won:
            return False
        self._metrics.count("checkpoints")
        self._last_written = parts
        self._stored_parts = len(parts)
        return True

    async def load_checkpoint(self) -> dict[str, Progress] | None:
        """Return the last checkpoint by item id; None on a failed read."""
        first = await self._kv.get_item(self._key)
        others = await self._kv.list_items(self._key + "/")
        if isinstance(first, Err) or isinstance(others, Err):
            return None
        found = [first.ok_value] if first.ok_value is not None else []
        found += others.ok_value[0]
        self._last_written = []
        self._stored_parts = len(found)
        progress: dict[str, Progress] = {}
        for item in found:
            try:
                decoded = _decode_progress(item.value)
            except (zlib.error, *DECODE_ERRORS) as error:
                # Its items are generated again.
                self._metrics.count("checkpoints_unreadable")
                log_event(
                    "checkpoint_unreadable", key=item.key, error=str(error)
                )
                continue
            progress.update((p.item, p) for p in decoded)
        return progress

    def _encode_parts(self) -> list[bytes]:
        """Encode the progress of all items without a committed result.

        Items of the steps that are due first come first. What doesn't fit
        into MAX_PARTS parts is left out, logged and counted.
        """
        parts: list[list[Progress]] = [[]]
        size = 0
        left_out = 0
        for submission in self._registry.list_open():
            for state in submission.items.values():
                if not state.events or state.phase is ItemPhase.COMMITTED:
                    continue
                progress = snapshot_progress(state)
                item_size = measure_progress(progress)
                if size + item_size > self._max_part_bytes and parts[-1]:
                    if len(parts) == const.MAX_PARTS:
                        left_out += 1
                        continue
                    parts.append([])
                    size = 0
                parts[-1].append(progress)
                size += item_size
        if left_out:
            self._metrics.count("checkpoint_items_left_out", left_out)
            log_event("checkpoint_items_left_out", items=left_out)
        return [_encode_progress(part) for part in parts]

    def _make_part_key(self, number: int) -> str:
        """Return the key of a part, counted from 0."""
        return f"{self._key}/{number}" if number else self._key


def choose_interval_s(write_took_s: float) -> float:
    """Return how long to wait after a checkpoint that took a while to write.

    A large checkpoint, or one on a slow link, takes at most a share of the
    time, so that items and readers keep the rest of the link.
    """
    return max(
        const.CHECKPOINT_INTERVAL_S,
        write_took_s / const.CHECKPOINT_MAX_TIME_SHARE,
    )


def _encode_progress(progress: list[Progress]) -> bytes:
    """Encode one part of a checkpoint."""
    return zlib.compress(msgspec.msgpack.encode(progress), 1)


def _decode_progress(value: bytes) -> list[Progress]:
    """Decode one part of a checkpoint."""
    encoded = zlib.decompress(value)
    return msgspec.msgpack.decode(encoded, type=list[Progress])


def measure_progress(progress: Progress) -> int:
    """Return about how many bytes an item's progress takes, not compressed."""
    events = sum(
        count_bytes(event) + const.EVENT_OVERHEAD_BYTES
        for event in progress.events
    )
    return const.ITEM_OVERHEAD_BYTES + count_bytes(progress.item) + events


def snapshot_progress(state: ItemState) -> Progress:
    """Return an item's progress as it is stored."""
    return Progress(
        state.item.id,
        state.events,
        state.versions,
        state.complete,
        state.software,
    )


def restore_progress(
    state: ItemState, progress: Progress, min_version: int
) -> bool:
    """Resume an item from stored progress.

    Returns False, and changes nothing, without events or when any of them
    was generated by weights older than `min_version`.
    """
    if not progress.events or not progress.versions:
        return False
    if min(progress.versions) < min_version:
        return False
    state.events = list(progress.events)
    state.versions = list(progress.versions)
    state.last_event = len(progress.events)
    state.complete = progress.complete
    state.software = progress.software
    return True
