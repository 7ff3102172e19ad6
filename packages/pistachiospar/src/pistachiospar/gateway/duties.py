"""The duties that a gateway competes for, as its settings name them."""

from random import Random

import trio

from ..duties.const import DUTY_USAGE
from ..duties.models import DutySettings
from ..duties.models import make_duty_pool
from ..pool_holders.clock import Clocks
from ..pool_holders.coordinator import HolderCoordinator
from ..pool_holders.models import HolderRecord
from ..ports.duties import DutyClient
from ..ports.kv import KeyValue
from ..ports.peer_usage import PeerUsage
from ..telemetry.metrics import Metrics
from ..usage.coordinator import UsageCoordinator
from ..usage.messages import CountsMessage
from ..usage.messages import CountsReceipt
from ..usage.recorder import UsageRecorder


class GatewayDuties:
    """The duties of one gateway; without settings nothing runs.

    `usage` is None when usage isn't reported.
    """

    def __init__(
        self,
        own: HolderRecord,
        settings: DutySettings | None,
        lease_s: float,
        kv: KeyValue,
        holders: HolderCoordinator,
        peer: PeerUsage,
        client: DutyClient | None,
        clocks: Clocks,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Initialize; `own` is the record of this process."""
        self.usage: UsageCoordinator | None = None
        if settings and client and DUTY_USAGE in settings.names:
            self.usage = UsageCoordinator(
                own,
                settings,
                lease_s,
                kv,
                holders,
                peer,
                client,
                clocks,
                metrics,
                rng,
            )

    @property
    def recorder(self) -> UsageRecorder | None:
        """What counts callers' calls; None when usage isn't reported."""
        return self.usage.recorder if self.usage else None

    async def run(self) -> None:
        """Carry out the duties that are held here, until cancelled."""
        async with trio.open_nursery() as nursery:
            if self.usage is not None:
                nursery.start_soon(self.usage.run)

    async def finish(self) -> None:
        """Pass on the last counts, once all requests have ended."""
        if self.usage is not None:
            await self.usage.finish()

    def receive_counts(self, message: CountsMessage) -> CountsReceipt | None:
        """Take another gateway's counts; None unless they are wanted here."""
        return self.usage.receive(message) if self.usage else None

    def list_unsettled(self) -> set[str]:
        """Return the duties of which calls may still be carried out."""
        if self.usage is None or self.usage.guard.is_quiet():
            return set()
        return {make_duty_pool(DUTY_USAGE)}
