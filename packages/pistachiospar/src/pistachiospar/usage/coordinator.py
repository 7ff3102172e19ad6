"""Usage reports at one gateway: its own counts, and the duty if it holds it.

Pattern: gateways die, hang and lose messages at any time. Each one sends what
isn't durable again, and every step of the holder is stored before it counts.
"""

from random import Random
from typing import TYPE_CHECKING

import trio

from . import const
from ..duties.const import DUTY_USAGE
from ..duties.guard import DutyGuard
from ..duties.models import DutySettings
from ..duties.models import make_duty_pool
from ..pool_holders.clock import Clocks
from ..pool_holders.coordinator import HolderCoordinator
from ..pool_holders.models import HolderRecord
from ..pool_holders.models import Role
from ..ports.duties import DutyClient
from ..ports.kv import KeyValue
from ..ports.peer_usage import PeerUsage
from ..telemetry.metrics import Metrics
from .clock import SteadyClock
from .messages import CountsMessage
from .messages import CountsReceipt
from .recorder import UsageRecorder

if TYPE_CHECKING:
    from .duty import UsageDuty
    from .holder import UsageTerm
    from .ledger import LateCount

POOL = make_duty_pool(DUTY_USAGE)


class UsageCoordinator:
    """Count calls, send the counts to the holder, and hold the duty."""

    def __init__(
        self,
        own: HolderRecord,
        settings: DutySettings,
        lease_s: float,
        kv: KeyValue,
        holders: HolderCoordinator,
        peer: PeerUsage,
        client: DutyClient,
        clocks: Clocks,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Initialize; `own` is the record of this process."""
        self._own = own
        self._settings = settings
        self._holders = holders
        self._peer = peer
        self.clock = SteadyClock(clocks.read_wall_s, clocks.read_boot_s)
        self.recorder = UsageRecorder(settings.window_s, self.clock.read_s)
        self.guard = DutyGuard(lease_s, clocks.read_boot_s)
        self._kv = kv
        self._client = client
        self._rng = rng
        self._duty: "UsageDuty | None" = None
        self._metrics = metrics

    @property
    def term(self) -> "UsageTerm | None":
        """The present term; None unless this gateway has the duty."""
        return self._duty.term if self._duty else None

    async def run(self) -> None:
        """Send counts and compete for the duty until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_counts)
            nursery.start_soon(self._holders.hold_pool, POOL, self._hold)

    async def finish(self) -> None:
        """Make the last counts durable before the process ends."""
        with trio.move_on_after(const.FINISH_TIMEOUT_S):
            while self.recorder.has_unconfirmed():
                await self._send_once()
                await trio.sleep(const.WRITE_RETRY_DELAY_S)

    def find_holder(self) -> str:
        """Return the gateway that holds the duty, empty without one."""
        holder = self._holders.holders.get(POOL)
        return holder.gateway if holder else ""

    def list_late(self) -> "list[LateCount]":
        """Return the last counts that came too late here."""
        return self._duty.list_late() if self._duty else []

    def receive(self, message: CountsMessage) -> CountsReceipt | None:
        """Take a gateway's counts; None unless this one has the duty."""
        return None if self.term is None else self.term.receive(message)

    async def _send_counts(self) -> None:
        """Send new counts each second until cancelled."""
        while True:
            await trio.sleep(const.SEND_INTERVAL_S)
            self.clock.sample()
            now_s = self.clock.read_s()
            self.recorder.settle_long_calls(now_s)
            if self.recorder.has_unconfirmed():
                await self._send_once()
            self.recorder.drop_old(now_s)

    async def _send_once(self) -> None:
        """Send what isn't durable to the holder."""
        holder = self._holders.holders.get(POOL)
        if holder is None:
            return
        message = self.recorder.make_message(self._own.gateway, self._own.life)
        receipt: CountsReceipt | None = None
        if holder.life == self._own.life:
            receipt = self.receive(message)
        else:
            with trio.move_on_after(const.SEND_TIMEOUT_S):
                receipt = await self._peer.send_counts(holder.peer, message)
        if receipt is None:
            self._metrics.count("usage_sends_failed")
        else:
            self.recorder.confirm(receipt.durable_sequence)

    async def _hold(self, role: Role) -> None:
        """Carry out the duty while this gateway holds it."""
        if self._duty is None:
            # The other gateways start sooner without its modules.
            from . import duty

            self._duty = duty.UsageDuty(
                self._own,
                self._settings,
                self._kv,
                self._holders,
                self.guard,
                self._client,
                self.clock.read_s,
                self._metrics,
                self._rng,
            )
        await self._duty.hold(role)
