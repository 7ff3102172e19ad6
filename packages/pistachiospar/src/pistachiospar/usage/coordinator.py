"""Usage reports at one gateway: its own counts, and the duty if it holds it.

Pattern: gateways die, hang and lose messages at any time. Each one sends what
isn't durable again, and every step of the holder is stored before it counts.
"""

from collections import deque
from random import Random

from result import Err
import trio

from . import const
from ..duties.calls import DutyCaller
from ..duties.const import DUTY_USAGE
from ..duties.const import REFUSED_DELAY_S
from ..duties.const import TERM_CHECK_INTERVAL_S
from ..duties.guard import DutyGuard
from ..duties.models import DutySettings
from ..duties.models import make_duty_pool
from ..duties.terms import DutyTerms
from ..pool_holders.clock import Clocks
from ..pool_holders.coordinator import HolderCoordinator
from ..pool_holders.models import HolderRecord
from ..pool_holders.models import Role
from ..ports.duties import DutyClient
from ..ports.kv import KeyValue
from ..ports.peer_usage import PeerUsage
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .archive import UsageArchive
from .clock import SteadyClock
from .holder import UsageTerm
from .holder import UsageTools
from .ledger import LateCount
from .messages import CountsMessage
from .messages import CountsReceipt
from .recorder import UsageRecorder

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
        self._terms = DutyTerms(
            kv, DUTY_USAGE, own.gateway, own.life, self.guard
        )
        calls_per_s = settings.calls_per_s / len(set(settings.names))
        self._tools = UsageTools(
            UsageArchive(kv, metrics),
            DutyCaller(DUTY_USAGE, self.guard, calls_per_s, metrics),
            client,
            self._list_lives,
            self.clock.read_s,
            metrics,
            rng,
            deque(maxlen=const.KEPT_LATE_COUNTS),
        )
        self._metrics = metrics
        self.term: UsageTerm | None = None

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

    def list_late(self) -> list[LateCount]:
        """Return the last counts that came too late here."""
        return list(self._tools.late)

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
        while True:
            fence = role.fence
            if not role.lost and await self._terms.begin(role, fence):
                await self._run_term(role, fence)
            await trio.sleep(TERM_CHECK_INTERVAL_S)

    async def _run_term(self, role: Role, fence: int) -> None:
        """Carry out the duty under one fence.

        A refused fence is released, so that a holder gets a new one.
        """
        stored = await self._tools.archive.load()
        if isinstance(stored, Err):
            return
        term = UsageTerm(
            role,
            fence,
            stored.ok_value,
            self._settings.window_s,
            self._settings.report_due_s,
            self._tools,
        )
        self.term = term
        try:
            async with trio.open_nursery() as nursery:

                async def run() -> None:
                    await term.run()
                    nursery.cancel_scope.cancel()

                nursery.start_soon(run)
                while role.fence == fence and not role.lost:
                    if self.guard.is_refused():
                        log_event("duty_fence_refused", fence=fence)
                        await self._holders.release(role)
                        await trio.sleep(REFUSED_DELAY_S)
                        break
                    await trio.sleep(TERM_CHECK_INTERVAL_S)
                nursery.cancel_scope.cancel()
        finally:
            self.term = None
            self.guard.end_term()

    def _list_lives(self) -> list[str]:
        """Return the processes of all listed gateways."""
        members = self._holders.list_members().values()
        return [member.life for member in members]
