"""Support settling: what became of an attempt whose answer was lost."""

from random import Random

from result import Err
from result import Result
import trio

from . import const
from ..helpers.backoff import Backoff
from ..link.messages import RunOrder
from ..link.messages import Settlement
from ..link.messages import SettlementOutcome
from ..link.messages import SettleOrder
from ..membership.peer import SidecarPeer
from .models import CallerRequest
from .models import Lost
from .models import NotRun


def judge_settlement(
    order: RunOrder, answer: Result[Settlement, str]
) -> NotRun | Lost | None:
    """Return what is certain after a settlement.

    None means that the sidecar holds the request: its answer can be had
    with the same key. A sidecar that restarted can't know.
    """
    if isinstance(answer, Err):
        return Lost(f"sidecar not reached: {answer.err_value}")
    settlement = answer.ok_value
    if settlement.incarnation != order.incarnation:
        return Lost("the sidecar restarted after the request", True)
    if settlement.outcome is SettlementOutcome.NOT_RUN:
        return NotRun("lost on the way and tombstoned", 0.1)
    return None


class Settler:
    """Settle attempts over fresh links until their deadline."""

    def __init__(self, rng: Random) -> None:
        """Take the source of jitter."""
        self._rng = rng
        self._backoff = Backoff(const.SETTLE_FIRST_S, const.SETTLE_MOST_S)

    async def settle(
        self, peer: SidecarPeer, order: RunOrder, request: CallerRequest
    ) -> NotRun | Lost | None:
        """Ask until the sidecar answers, at least once."""
        ask = SettleOrder(order.request_id, order.caller, order.key)
        tries = 0
        while True:
            answer = await peer.link.settle(ask)
            verdict = judge_settlement(order, answer)
            if answer.is_ok():
                return verdict
            delay_s = self._backoff.draw_delay_s(tries, self._rng)
            tries += 1
            if trio.current_time() + delay_s >= request.deadline:
                return verdict
            await trio.sleep(delay_s)
