"""When the holder of a duty may make a call."""

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager

from . import const
from ..pool_holders.models import Role
from .models import DutyOutcome
from .models import DutyTerm


def choose_start(
    previous: DutyTerm | None,
    own_life: str,
    unanswered_at: float,
    lease_s: float,
    now: float,
) -> float:
    """Return from when a holder may make calls, on the boot clock.

    Calls of the holder before it may be carried out seconds after they were
    sent, so it waits one lease. Without a holder in between, only its own
    calls without a response matter, the last one sent at `unanswered_at`.
    """
    if previous is None:
        return now
    if previous.life == own_life:
        return max(now, unanswered_at + lease_s)
    return now + lease_s


class DutyGuard:
    """Decide whether this gateway may make a call for a duty now.

    `fence` is that of the present term, 0 without one.
    """

    def __init__(
        self, lease_s: float, read_boot_s: Callable[[], float]
    ) -> None:
        """Start without a term."""
        self._lease_s = lease_s
        self._read_boot_s = read_boot_s
        self._role: Role | None = None
        self._refused_fence = 0
        self._in_flight = 0
        self.fence = 0
        self.starts_at = 0.0
        # When the last call without a response was sent.
        self.unanswered_at = float("-inf")

    def begin_term(
        self, role: Role, fence: int, previous: DutyTerm | None, life: str
    ) -> None:
        """Begin a term with the fence that the role had when it was read."""
        self._role, self.fence = role, fence
        if previous is not None and previous.fence <= self._refused_fence:
            # A higher fence was seen than the last one that is recorded.
            life = ""
        self.starts_at = choose_start(
            previous,
            life,
            self.unanswered_at,
            self._lease_s,
            self._read_boot_s(),
        )

    def end_term(self) -> None:
        """Allow no call until the next term."""
        self._role, self.fence = None, 0

    def explain_refusal(self) -> str:
        """Return why no call may be made now, empty when one may."""
        now = self._read_boot_s()
        role = self._role
        if role is None or role.lost or role.fence != self.fence:
            return "not the holder"
        if self.fence <= self._refused_fence:
            return "the fence was refused"
        if now < self.starts_at:
            return "waits for calls of the holder before"
        if role.valid_until - now <= const.CALL_TIMEOUT_S:
            return "the lease isn't certain"
        return ""

    @contextmanager
    def track_call(self) -> Iterator[list[DutyOutcome]]:
        """Track a call; its outcome is appended to the list.

        A refused fence isn't used again. A call that is cancelled has no
        response.
        """
        fence, sent_at = self.fence, self._read_boot_s()
        outcomes: list[DutyOutcome] = []
        self._in_flight += 1
        try:
            yield outcomes
        finally:
            self._in_flight -= 1
            if not outcomes or outcomes[0] is DutyOutcome.FAILED:
                self.unanswered_at = sent_at
            elif outcomes[0] is DutyOutcome.FENCED:
                self._refused_fence = max(self._refused_fence, fence)

    def is_refused(self) -> bool:
        """Return whether the present fence was refused."""
        return 0 < self.fence <= self._refused_fence

    def is_quiet(self) -> bool:
        """Return whether no call of this gateway may still be carried out."""
        if self._in_flight:
            return False
        return self._read_boot_s() >= self.unanswered_at + 2 * self._lease_s
