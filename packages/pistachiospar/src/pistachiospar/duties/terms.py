"""Terms of a duty's holder, as stored."""

import msgspec
from result import Err

from . import const
from ..pool_holders.models import Role
from ..ports.kv import KeyValue
from ..ports.kv import KvCheck
from ..ports.kv import KvPut
from ..ports.kv import KvTransaction
from ..telemetry.logs import log_event
from .guard import DutyGuard
from .models import DutyTerm


class DutyTerms:
    """Begin the terms of one duty at this gateway."""

    def __init__(
        self,
        kv: KeyValue,
        duty: str,
        gateway: str,
        life: str,
        guard: DutyGuard,
    ) -> None:
        """Initialize; `life` is the incarnation of this process."""
        self._kv = kv
        self._key = const.PREFIX_TERMS + duty
        self._duty = duty
        self._gateway = gateway
        self._life = life
        self._guard = guard

    async def begin(self, role: Role, fence: int) -> bool:
        """Begin a term; False when it can't be recorded.

        It is recorded before the first call. The role's key guarantees that
        no holder before it records one after that.
        """
        read = await self._kv.get_item(self._key)
        if isinstance(read, Err):
            return False
        previous: DutyTerm | None = None
        if read.ok_value is not None:
            previous = msgspec.json.decode(read.ok_value.value, type=DutyTerm)
        value = msgspec.json.encode(DutyTerm(self._gateway, self._life, fence))
        written = await self._kv.commit(
            KvTransaction(
                (KvCheck(role.key, fence),), (KvPut(self._key, value),)
            )
        )
        if isinstance(written, Err) or not written.ok_value.won:
            return False
        self._guard.begin_term(role, fence, previous, self._life)
        log_event(
            "duty_term_began",
            duty=self._duty,
            fence=fence,
            previous=previous.gateway if previous else "",
            previous_fence=previous.fence if previous else 0,
        )
        return True
