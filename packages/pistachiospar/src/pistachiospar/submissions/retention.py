"""Removal of ended submissions after their retention time."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err
import trio

from . import const
from ..pool_holders.models import Role
from ..ports.kv import KeyValue
from ..ports.kv import KvCheck
from ..ports.kv import KvTransaction
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .keys import make_parts_prefix
from .keys import make_results_prefix
from .keys import make_submission_key
from .registry import SubmissionRegistry


@dataclass(frozen=True, slots=True)
class EndedSubmission:
    """An ended submission and its arrival, in wall-clock seconds."""

    submission: str
    arrived_s: float


class Sweeper:
    """Remove the records of ended submissions once they are too old."""

    def __init__(
        self,
        kv: KeyValue,
        registry: SubmissionRegistry,
        retention_s: float,
        read_wall_s: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        """Initialize; `retention_s` counts from a submission's arrival."""
        self._kv = kv
        self._registry = registry
        self._retention_s = retention_s + const.CLOCK_SKEW_MARGIN_S
        self._read_wall_s = read_wall_s
        self._metrics = metrics
        self._ended: dict[str, EndedSubmission] = {}

    def record_ended(self, submission: str, arrived_s: float) -> None:
        """Record an ended submission that is not in the registry."""
        self._ended[submission] = EndedSubmission(submission, arrived_s)

    async def run(self, role: Role) -> None:
        """Remove expired submissions at a fixed interval until cancelled."""
        while True:
            await trio.sleep(const.SWEEP_INTERVAL_S)
            for expired in self.find_expired(self._read_wall_s()):
                await self._remove_submission(role, expired.submission)

    def find_expired(self, wall_s: float) -> list[EndedSubmission]:
        """Return the ended submissions past their retention time."""
        ended = [
            EndedSubmission(name, state.submission.arrived_s)
            for name, state in self._registry.submissions.items()
            if state.ended
        ]
        return [
            expired
            for expired in [*ended, *self._ended.values()]
            if wall_s - expired.arrived_s > self._retention_s
        ]

    async def _remove_submission(self, role: Role, submission: str) -> None:
        """Remove a submission's keys, its head last.

        Stops at the first failed call; the next sweep tries again.
        """
        key = make_submission_key(submission)
        keys: list[str] = []
        for prefix in (
            make_results_prefix(submission),
            make_parts_prefix(submission),
            key + "/",
        ):
            listed = await self._kv.list_items(prefix)
            if isinstance(listed, Err):
                return
            keys.extend(item.key for item in listed.ok_value[0])
        keys.append(key)
        for start in range(0, len(keys), const.MAX_SWEEP_ROWS):
            removals = tuple(keys[start : start + const.MAX_SWEEP_ROWS])
            check = KvCheck(role.key, role.fence)
            done = await self._kv.commit(
                KvTransaction((check,), removals=removals)
            )
            if isinstance(done, Err) or not done.ok_value.won:
                return
        self._ended.pop(submission, None)
        self._registry.submissions.pop(submission, None)
        self._metrics.count("submissions_swept")
        log_event("submission_swept", submission=submission)
