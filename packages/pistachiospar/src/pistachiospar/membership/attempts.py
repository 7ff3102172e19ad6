"""Detection of attempts that are stalled on a dead connection.

A heartbeat queries the attempts that received nothing for a while; the status
reports the sidecar's progress with each. The connection of an attempt that
received less than the sidecar sent, or that the sidecar doesn't know, is dead.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

import trio

from ..link.messages import RequestProgress
from .const import ATTEMPT_IDLE_TIMEOUT_S


@dataclass(slots=True, eq=False)
class Attempt:
    """One run order in progress on a link; cancelled through `scope`.

    `last_received_at` is monotonic seconds. `stalled` says that the scope was
    cancelled because the connection or the sidecar is lost.
    """

    request_id: str
    last_received_at: float
    received_bytes: int = 0
    suspected_stalled: bool = False
    stalled: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def record_received(self, byte_count: int, now: float) -> None:
        """Count received bytes and clear the suspicion of a stall."""
        self.received_bytes += byte_count
        self.last_received_at = now
        self.suspected_stalled = False


def find_idle_attempts(
    attempts: Iterable[Attempt], now: float
) -> list[Attempt]:
    """Return the attempts that received nothing for the idle timeout."""
    return [
        a
        for a in attempts
        if now - a.last_received_at >= ATTEMPT_IDLE_TIMEOUT_S
    ]


def check_stalled(attempt: Attempt, progress: RequestProgress) -> bool:
    """Return whether an attempt's connection is dead, from its progress.

    True needs two consecutive reports, so that bytes still in transit don't
    count as lost.
    """
    behind = (
        not progress.known
        or progress.ended
        or progress.sent_bytes > attempt.received_bytes
    )
    stalled = behind and attempt.suspected_stalled
    attempt.suspected_stalled = behind
    return stalled
