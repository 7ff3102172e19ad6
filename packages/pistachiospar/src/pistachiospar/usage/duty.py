"""The duty of usage reports at the gateway that holds it."""

from collections.abc import Callable
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
from ..duties.terms import DutyTerms
from ..pool_holders.coordinator import HolderCoordinator
from ..pool_holders.models import HolderRecord
from ..pool_holders.models import Role
from ..ports.duties import DutyClient
from ..ports.kv import KeyValue
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .archive import UsageArchive
from .holder import UsageTerm
from .holder import UsageTools
from .ledger import LateCount


class UsageDuty:
    """Carry out the duty, term by term; `term` is None between two."""

    def __init__(
        self,
        own: HolderRecord,
        settings: DutySettings,
        kv: KeyValue,
        holders: HolderCoordinator,
        guard: DutyGuard,
        client: DutyClient,
        read_now_s: Callable[[], float],
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Initialize; `read_now_s` returns Unix time."""
        self._settings = settings
        self._holders = holders
        self._guard = guard
        self._terms = DutyTerms(kv, DUTY_USAGE, own.gateway, own.life, guard)
        calls_per_s = settings.calls_per_s / len(set(settings.names))
        self._tools = UsageTools(
            UsageArchive(kv, metrics),
            DutyCaller(DUTY_USAGE, guard, calls_per_s, metrics),
            client,
            self._list_lives,
            read_now_s,
            metrics,
            rng,
            deque(maxlen=const.KEPT_LATE_COUNTS),
        )
        self.term: UsageTerm | None = None

    async def hold(self, role: Role) -> None:
        """Carry out the duty while this gateway holds it."""
        while True:
            fence = role.fence
            if not role.lost and await self._terms.begin(role, fence):
                await self._run_term(role, fence)
            await trio.sleep(TERM_CHECK_INTERVAL_S)

    def list_late(self) -> list[LateCount]:
        """Return the last counts that came too late here."""
        return list(self._tools.late)

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
                    if self._guard.is_refused():
                        log_event("duty_fence_refused", fence=fence)
                        await self._holders.release(role)
                        await trio.sleep(REFUSED_DELAY_S)
                        break
                    await trio.sleep(TERM_CHECK_INTERVAL_S)
                nursery.cancel_scope.cancel()
        finally:
            self.term = None
            self._guard.end_term()

    def _list_lives(self) -> list[str]:
        """Return the processes of all listed gateways."""
        members = self._holders.list_members().values()
        return [member.life for member in members]
