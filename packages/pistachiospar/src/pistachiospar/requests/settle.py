"""Settlement: finding out whether an attempt with a lost response was run."""

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
from ..membership.sidecar_peer import SidecarPeer
from .models import CallerRequest
from .models import Lost
from .models import NotRun


def classify_settlement(
    order: RunOrder, reply: Result[Settlement, str]
) -> NotRun | Lost | None:
    """Return the result of an attempt as far as the settlement decides it.

    None means that the sidecar has a record of the request: its response
    can be fetched with the same key. A restarted sidecar has lost its
    records and can't tell.
    """
    if isinstance(reply, Err):
        return Lost(f"sidecar not reached: {reply.err_value}")
    settlement = reply.ok_value
    if settlement.incarnation != order.incarnation:
        return Lost("the sidecar restarted since the request", True)
    if settlement.outcome is SettlementOutcome.NOT_RUN:
        return NotRun("not run; the sidecar tombstoned the request", 0.1)
    return None


class Settler:
    """Settlement of attempts, retried over fresh links until the deadline."""

    def __init__(self, rng: Random) -> None:
        """Use `rng` for the jitter of retries."""
        self._rng = rng
        self._backoff = Backoff(
            const.SETTLE_RETRY_INITIAL_S, const.SETTLE_RETRY_MAX_S
        )

    async def settle(
        self, peer: SidecarPeer, order: RunOrder, request: CallerRequest
    ) -> NotRun | Lost | None:
        """Query the sidecar until it replies, at least once."""
        settle_order = SettleOrder(order.request_id, order.caller, order.key)
        attempts = 0
        while True:
            reply = await peer.link.settle(settle_order)
            outcome = classify_settlement(order, reply)
            if reply.is_ok():
                return outcome
            delay_s = self._backoff.draw_delay_s(attempts, self._rng)
            attempts += 1
            if trio.current_time() + delay_s >= request.deadline:
                return outcome
            await trio.sleep(delay_s)
