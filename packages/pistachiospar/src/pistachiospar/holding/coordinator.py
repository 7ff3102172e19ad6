"""Support who holds which pool, and the work of those held here."""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

import msgspec
import trio

from . import const
from ..directory.mirror import PrefixMirror
from ..ports.kv import KeyValue
from ..ports.kv import KvEvent
from ..telemetry.logs import log_event
from .lease import RoleKeeper
from .models import HolderRecord
from .models import Role

Work = Callable[[Role], Awaitable[None]]


class HolderCoordinator:
    """Follow the holders of all pools and hold those that are vacant."""

    def __init__(
        self,
        kv: KeyValue,
        record: HolderRecord,
        keeper: RoleKeeper,
        processor: float,
        rng: Random,
    ) -> None:
        """Begin with nothing known."""
        self._processor = processor
        self._kv = kv
        self._record = record
        self._keeper = keeper
        self._rng = rng
        self.holders: dict[str, HolderRecord] = {}
        self.roles: dict[str, Role] = {}
        self._revisions: dict[str, int] = {}
        self._changed = trio.Event()
        self._stopping = False
        self.mirror = PrefixMirror(
            kv,
            const.PREFIX_GATEWAYS,
            self._take_event,
            rng,
            wait_s=const.WATCH_WAIT_S,
        )
        self._members: dict[str, HolderRecord] = {}

    async def run(self) -> None:
        """Follow the holders and tell this gateway's address."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.mirror.run)
            nursery.start_soon(self._register)

    def list_peers(self) -> list[str]:
        """Return the addresses of the other gateways."""
        return [
            record.peer
            for record in self._members.values()
            if record.gateway != self._record.gateway
        ]

    async def _register(self) -> None:
        """Keep this gateway's address written for its peers; one task."""
        key = const.PREFIX_MEMBERS + self._record.gateway
        value = msgspec.json.encode(self._record)
        while True:
            lease = (await self._kv.grant_lease(const.MEMBER_S)).unwrap_or(0)
            if (
                not lease
                or (await self._kv.put_item(key, value, lease)).is_err()
            ):
                await trio.sleep(const.RETRY_S)
                continue
            while (await self._kv.renew_lease(lease)).unwrap_or(1.0) > 0:
                await trio.sleep(const.MEMBER_S * const.RENEW_SHARE)

    def find_peer(self, pool: str) -> HolderRecord | None:
        """Return the gateway that holds a pool, unless it is this one."""
        record = self.holders.get(pool)
        if record is None or record.life == self._record.life:
            return None
        return record

    async def hold(self, pool: str, work: Work) -> None:
        """Hold a pool whenever it is vacant, and do its work meanwhile."""
        await self.mirror.synced.wait()
        while not self._stopping:
            await self._wait_for_vacancy(pool)
            if self._stopping:
                return
            role = await self._keeper.take(pool, self._revisions.get(pool, 0))
            if role is None:
                await trio.sleep(const.RETRY_S * (0.5 + self._rng.random()))
                continue
            await self._work(role, work)

    async def stop(self) -> None:
        """Give all roles back."""
        self._stopping = True
        self._tell()
        for role in list(self.roles.values()):
            await self._keeper.give_back(role)

    def _is_vacant(self, pool: str) -> bool:
        """Return whether this gateway may try to take a pool."""
        record = self.holders.get(pool)
        if record is None:
            return True
        # Its own earlier life is certainly over; so is a taking whose reply
        # was lost.
        return (
            record.gateway == self._record.gateway and pool not in self.roles
        )

    async def _wait_for_vacancy(self, pool: str) -> None:
        """Wait until a pool is vacant and it is this gateway's turn."""
        while not self._stopping:
            while not self._is_vacant(pool) and not self._stopping:
                await self._changed.wait()
            if pool not in self.holders:
                await trio.sleep(choose_turn(self._processor, self._rng))
            if self._is_vacant(pool):
                return

    async def _work(self, role: Role, work: Work) -> None:
        """Work as holder until another gateway took the role."""
        self.roles[role.pool] = role
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(work, role)
                nursery.start_soon(self._keep, role, nursery.cancel_scope)
        finally:
            del self.roles[role.pool]
        log_event("role_left", pool=role.pool, fence=role.fence)

    async def _keep(self, role: Role, scope: trio.CancelScope) -> None:
        """Renew a role, take it anew when it lapsed, end when deposed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_or_retake, role)
            while not self._is_deposed(role):
                await self._changed.wait()
            nursery.cancel_scope.cancel()
        scope.cancel()

    async def _renew_or_retake(self, role: Role) -> None:
        """Renew a role; one that lapsed and is vacant is taken again."""
        while not self._stopping:
            await self._keeper.renew(role)
            while role.lost and not self._stopping:
                await trio.sleep(const.RETRY_S * self._rng.random())
                if self.holders.get(role.pool) is not None:
                    continue
                again = await self._keeper.take(role.pool, 0)
                if again is not None:
                    role.fence, role.lease = again.fence, again.lease
                    role.valid_until, role.lost = again.valid_until, False

    def _is_deposed(self, role: Role) -> bool:
        """Return whether another gateway took the pool since."""
        record = self.holders.get(role.pool)
        if record is None or record.life == self._record.life:
            return False
        return self._revisions[role.pool] > role.fence

    def _take_event(self, event: KvEvent) -> None:
        """Take over a holder that came or went."""
        if event.key.startswith(const.PREFIX_MEMBERS):
            self._take_member(event)
            return
        pool = event.key.removeprefix(const.PREFIX_HOLDERS)
        if event.value is None:
            self.holders.pop(pool, None)
            self._revisions.pop(pool, None)
            role = self.roles.get(pool)
            if role is not None and event.revision > role.fence:
                role.lost = True
        else:
            record = msgspec.json.decode(event.value, type=HolderRecord)
            self.holders[pool] = record
            self._revisions[pool] = event.revision
        log_event(
            "holder_changed",
            pool=pool,
            gateway=self.holders[pool].gateway if event.value else "",
            revision=event.revision,
        )
        self._tell()

    def _take_member(self, event: KvEvent) -> None:
        """Take over a gateway's address."""
        name = event.key.removeprefix(const.PREFIX_MEMBERS)
        if event.value is None:
            self._members.pop(name, None)
        else:
            record = msgspec.json.decode(event.value, type=HolderRecord)
            self._members[name] = record

    def _tell(self) -> None:
        """Wake what waits for a change."""
        self._changed.set()
        self._changed = trio.Event()


def choose_turn(processor: float, rng: Random) -> float:
    """Return the seconds to wait before trying for a vacant pool.

    Gateways with more of a core go first: a pool's streams all pass its
    holder.
    """
    weakness = max(0.0, 1.0 - processor / const.STRONG_PROCESSOR)
    return const.TURN_S * weakness + const.TURN_JITTER_S * rng.random()
