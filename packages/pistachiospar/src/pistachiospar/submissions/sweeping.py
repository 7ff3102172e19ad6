"""Support removing the records of submissions that nobody asks for."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err
import trio

from . import const
from ..holding.models import Role
from ..ports.kv import KeyValue
from ..ports.kv import KvCheck
from ..ports.kv import KvTransaction
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .board import Board
from .keys import make_parts_prefix
from .keys import make_results_prefix
from .keys import make_submission_key


@dataclass(frozen=True, slots=True)
class Remains:
    """Hold when a submission arrived, in wall-clock seconds."""

    submission: str
    arrived_s: float


class Sweeper:
    """Remove ended submissions some time after they arrived."""

    def __init__(
        self,
        kv: KeyValue,
        board: Board,
        keep_s: float,
        read_wall_s: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        """Take how long a submission is kept, in seconds."""
        self._kv = kv
        self._board = board
        self._keep_s = keep_s + const.CLOCK_SLACK_S
        self._read_wall_s = read_wall_s
        self._metrics = metrics
        self._remains: dict[str, Remains] = {}

    def note_ended(self, submission: str, arrived_s: float) -> None:
        """Note an ended submission that is not on the board."""
        self._remains[submission] = Remains(submission, arrived_s)

    async def run(self, role: Role) -> None:
        """Sweep now and then; one task."""
        while True:
            await trio.sleep(const.SWEEP_S)
            for remains in self.find_due(self._read_wall_s()):
                await self._remove(role, remains.submission)

    def find_due(self, wall_s: float) -> list[Remains]:
        """Return the ended submissions whose time is over."""
        ended = [
            Remains(name, state.submission.arrived_s)
            for name, state in self._board.submissions.items()
            if state.ended
        ]
        return [
            remains
            for remains in [*ended, *self._remains.values()]
            if wall_s - remains.arrived_s > self._keep_s
        ]

    async def _remove(self, role: Role, submission: str) -> None:
        """Remove a submission's keys, its own record last."""
        key = make_submission_key(submission)
        names: list[str] = []
        for prefix in (
            make_results_prefix(submission),
            make_parts_prefix(submission),
            key + "/",
        ):
            listed = await self._kv.list_items(prefix)
            if isinstance(listed, Err):
                return
            names.extend(item.key for item in listed.ok_value[0])
        names.append(key)
        for at in range(0, len(names), const.SWEEP_ROWS):
            removals = tuple(names[at : at + const.SWEEP_ROWS])
            check = KvCheck(role.key, role.fence)
            done = await self._kv.commit(
                KvTransaction((check,), removals=removals)
            )
            if isinstance(done, Err) or not done.ok_value.won:
                return
        self._remains.pop(submission, None)
        self._board.submissions.pop(submission, None)
        self._metrics.count("submissions_swept")
        log_event("submission_swept", submission=submission)
