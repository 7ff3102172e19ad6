"""Support silent connections: attempts that hear nothing are asked after.

The heartbeat names the attempts that have been quiet; the status says how
far the sidecar has come with each. An attempt that received less than was
sent, or that the sidecar never saw, hangs on a connection that lost its way.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

import trio

from ..link.messages import RequestProgress
from .const import QUIET_S


@dataclass(slots=True, eq=False)
class Attempt:
    """Hold one order that is under way on a link."""

    request_id: str
    heard_at: float
    received: int = 0
    suspected: bool = False
    silent: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def hear(self, amount: int, now: float) -> None:
        """Note that bytes came."""
        self.received += amount
        self.heard_at = now
        self.suspected = False


def find_quiet(attempts: Iterable[Attempt], now: float) -> list[Attempt]:
    """Return the attempts to ask after."""
    return [a for a in attempts if now - a.heard_at >= QUIET_S]


def decide_silent(attempt: Attempt, progress: RequestProgress) -> bool:
    """Return whether an attempt's connection has gone silent.

    It must look so at two heartbeats running, so that bytes under way are
    not taken for lost ones.
    """
    behind = (
        not progress.known
        or progress.ended
        or progress.sent_bytes > attempt.received
    )
    silent = behind and attempt.suspected
    attempt.suspected = behind
    return silent
