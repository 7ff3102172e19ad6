"""Support keeping what is generated but not listed yet.

A holder that dies, or is cut off, loses at most the time between two
checkpoints: the next holder goes on from the last one.
"""

import zlib

import msgspec
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
from .board import Board
from .board import ItemState
from .board import Phase


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Hold what was generated of an item, and by which weights."""

    item: str
    events: list[str]
    versions: list[int]
    whole: bool = False


class CheckpointKeeper:
    """Write and read a pool's checkpoints."""

    def __init__(
        self,
        pool: str,
        kv: KeyValue,
        board: Board,
        value_bytes: int,
        metrics: Metrics,
    ) -> None:
        """Take the board whose progress is kept."""
        self._key = const.PREFIX_PROGRESS + pool
        self._kv = kv
        self._board = board
        self._most_bytes = value_bytes * 2 // 3
        self._metrics = metrics
        self._last = b""

    async def run(self, role: Role) -> None:
        """Write a checkpoint each second while there is work; one task."""
        while True:
            await trio.sleep(const.CHECKPOINT_S)
            await self.write(role)

    async def write(self, role: Role) -> None:
        """Write a checkpoint if anything changed."""
        value = self._encode()
        if value == self._last or len(value) > self._most_bytes:
            return
        transaction = KvTransaction(
            (KvCheck(role.key, role.fence),), (KvPut(self._key, value),)
        )
        written = await self._kv.commit(transaction)
        if isinstance(written, Err):
            log_event("checkpoint_lost", error=written.err_value.detail)
            return
        self._metrics.count("checkpoints")
        self._last = value

    async def load(self) -> dict[str, Progress] | None:
        """Return the progress that the last holder kept; None to retry."""
        item = await self._kv.get_item(self._key)
        if isinstance(item, Err):
            return None
        if item.ok_value is None:
            return {}
        encoded = zlib.decompress(item.ok_value.value)
        kept = msgspec.msgpack.decode(encoded, type=list[Progress])
        return {progress.item: progress for progress in kept}

    def _encode(self) -> bytes:
        """Encode the progress of all items that are not listed."""
        kept = [
            make_progress(state)
            for submission in self._board.list_open()
            for state in submission.items.values()
            if state.events and state.phase is not Phase.LISTED
        ]
        return zlib.compress(msgspec.msgpack.encode(kept), 1)


def make_progress(state: ItemState) -> Progress:
    """Return what was generated of an item."""
    return Progress(state.item.id, state.events, state.versions, state.whole)


def adopt_progress(
    state: ItemState, progress: Progress, min_version: int
) -> bool:
    """Go on from kept progress if its weights are new enough."""
    if not progress.events or min(progress.versions) < min_version:
        return False
    state.events = list(progress.events)
    state.versions = list(progress.versions)
    state.last_event = len(progress.events)
    state.whole = progress.whole
    return True
