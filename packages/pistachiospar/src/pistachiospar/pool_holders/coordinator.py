"""Holders of all pools, and the roles that this gateway holds."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from random import Random

import msgspec
import trio

from . import const
from ..directory.mirror import PrefixMirror
from ..ports.kv import KeyValue
from ..ports.kv import KvEvent
from ..telemetry.logs import log_event
from .models import HolderRecord
from .models import Role
from .role_lease import RoleLeaseManager

RoleTask = Callable[[Role], Awaitable[None]]


class HolderCoordinator:
    """Watch the holders of all pools and acquire vacant ones."""

    def __init__(
        self,
        kv: KeyValue,
        direct_kv: KeyValue,
        record: HolderRecord,
        role_leases: RoleLeaseManager,
        cpu_capacity: float,
        rng: Random,
    ) -> None:
        """Initialize; `cpu_capacity` is this gateway's, as in its settings.

        The mirror, which the watch relay keeps up to date, calls `direct_kv`.
        """
        self._cpu_capacity = cpu_capacity
        self._kv = kv
        self._direct_kv = direct_kv
        self._own_record = record
        self._role_leases = role_leases
        self._rng = rng
        self.holders: dict[str, HolderRecord] = {}
        self.roles: dict[str, Role] = {}
        self._revisions: dict[str, int] = {}
        self._changed = trio.Event()
        self._stopping = False
        self.mirror = PrefixMirror(
            direct_kv,
            const.PREFIX_GATEWAYS,
            self._apply_event,
            rng,
            const.BATCH_DELAY_S,
            const.WATCH_POLL_TIMEOUT_S,
            keep_history=True,
        )
        self._listeners: dict[str, Callable[[KvEvent], None]] = {}
        self._members: dict[str, HolderRecord] = {}
        self._member_lease = 0

    def subscribe(
        self, prefix: str, listener: Callable[[KvEvent], None]
    ) -> None:
        """Pass the changes of other keys that the watch covers on."""
        self._listeners[prefix] = listener

    def list_members(self) -> Mapping[str, HolderRecord]:
        """Return the records of all gateways that published one, by name."""
        return self._members

    async def renew_membership(self) -> bool:
        """Renew the lease of this gateway's address.

        Return whether the service itself responded to this gateway.
        """
        if not self._member_lease:
            return False
        renewed = await self._direct_kv.renew_lease(self._member_lease)
        return renewed.is_ok()

    def list_peers(self) -> list[str]:
        """Return the addresses of the other gateways."""
        return [
            record.peer
            for record in self._members.values()
            if record.gateway != self._own_record.gateway
        ]

    async def publish_address(self) -> None:
        """Store this gateway's address under a lease and keep renewing it."""
        key = const.PREFIX_MEMBERS + self._own_record.gateway
        value = msgspec.json.encode(self._own_record)
        while True:
            lease = (
                await self._kv.grant_lease(const.MEMBER_LEASE_S)
            ).unwrap_or(0)
            if (
                not lease
                or (await self._kv.put_item(key, value, lease)).is_err()
            ):
                await trio.sleep(const.RETRY_DELAY_S)
                continue
            self._member_lease = lease
            while (await self._kv.renew_lease(lease)).unwrap_or(1.0) > 0:
                await trio.sleep(
                    const.MEMBER_LEASE_S * const.RENEW_INTERVAL_SHARE
                )
            self._member_lease = 0

    def find_remote_holder(self, pool: str) -> HolderRecord | None:
        """Return the holder of a pool; None for this process or a vacancy."""
        record = self.holders.get(pool)
        if record is None or record.life == self._own_record.life:
            return None
        return record

    async def hold_pool(self, pool: str, task: RoleTask) -> None:
        """Acquire a pool whenever it is vacant, and run `task` as holder."""
        await self.mirror.synced.wait()
        while not self._stopping:
            await self._wait_for_vacancy(pool)
            if self._stopping:
                return
            role = await self._role_leases.acquire_role(
                pool, self._revisions.get(pool, 0)
            )
            if role is None:
                await trio.sleep(
                    const.RETRY_DELAY_S * (0.5 + self._rng.random())
                )
                continue
            await self._run_role(role, task)

    async def release(self, role: Role) -> None:
        """Release a role; this gateway may acquire it again."""
        await self._role_leases.release_role(role)
        self._notify_changed()

    async def stop(self, unsettled: Collection[str] = ()) -> None:
        """Release all roles and acquire none again.

        Those of `unsettled` pools end with their lease, since calls under
        their fence may still be carried out.
        """
        self._stopping = True
        self._notify_changed()
        for role in list(self.roles.values()):
            if role.pool in unsettled:
                role.lost = True
            else:
                await self._role_leases.release_role(role)

    async def wait_until_left(self, role: Role) -> None:
        """Wait until this gateway no longer holds a role."""
        while self.roles.get(role.pool) is role:
            await self._changed.wait()

    def _may_acquire(self, pool: str) -> bool:
        """Return whether this gateway may try to acquire a pool."""
        record = self.holders.get(pool)
        if record is None:
            return True
        # A record of its own is from an earlier incarnation, which has ended,
        # or from a write whose reply was lost.
        return (
            record.gateway == self._own_record.gateway
            and pool not in self.roles
        )

    async def _wait_for_vacancy(self, pool: str) -> None:
        """Wait until a pool is vacant and the candidacy delay is over."""
        while not self._stopping:
            while not self._may_acquire(pool) and not self._stopping:
                await self._changed.wait()
            if pool not in self.holders:
                outage_s = trio.current_time() - self.mirror.regained_at
                delay_s = choose_candidacy_delay_s(
                    self._cpu_capacity,
                    outage_s < const.OUTAGE_RECENT_S,
                    self._rng,
                )
                await trio.sleep(delay_s)
            if self._may_acquire(pool):
                return

    async def _run_role(self, role: Role, task: RoleTask) -> None:
        """Run the task of a role until another gateway took the pool.

        A role that is lost and acquired again keeps its task, and so what
        that knows of the pool, only if no other gateway held it in between.
        """
        self.roles[role.pool] = role
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(task, role)
                nursery.start_soon(
                    self._renew_until_deposed, role, nursery.cancel_scope
                )
        finally:
            del self.roles[role.pool]
            self._notify_changed()
        log_event("role_left", pool=role.pool, fence=role.fence)

    async def _renew_until_deposed(
        self, role: Role, scope: trio.CancelScope
    ) -> None:
        """Renew or reacquire a role; cancel its task once deposed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_or_reacquire, role)
            while not self._is_deposed(role):
                await self._changed.wait()
            nursery.cancel_scope.cancel()
        scope.cancel()

    async def _renew_or_reacquire(self, role: Role) -> None:
        """Renew a role; reacquire it if it was lost and is vacant."""
        while not self._stopping:
            await self._renew_until_lost(role)
            while role.lost and not self._stopping:
                record = self.holders.get(role.pool)
                if record is None or record.life == self._own_record.life:
                    await self._role_leases.reacquire_role(role)
                if role.superseded:
                    self._notify_changed()
                    return
                if role.lost:
                    await trio.sleep(const.RETRY_DELAY_S * self._rng.random())

    async def _renew_until_lost(self, role: Role) -> None:
        """Renew a role until its lease ends or its key is deleted."""
        async with trio.open_nursery() as nursery:

            async def renew() -> None:
                await self._role_leases.renew_until_lost(role)
                nursery.cancel_scope.cancel()

            nursery.start_soon(renew)
            while not role.lost:
                await self._changed.wait()
            nursery.cancel_scope.cancel()

    def _is_deposed(self, role: Role) -> bool:
        """Return whether another process acquired the pool since."""
        if role.superseded:
            return True
        record = self.holders.get(role.pool)
        if record is None or record.life == self._own_record.life:
            return False
        return self._revisions[role.pool] > role.fence

    def _apply_event(self, event: KvEvent) -> None:
        """Apply a change of a holder's key or of a gateway's address."""
        if event.key.startswith(const.PREFIX_MEMBERS):
            self._apply_member(event)
            return
        for prefix, listener in self._listeners.items():
            if event.key.startswith(prefix):
                listener(event)
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
        self._notify_changed()

    def _apply_member(self, event: KvEvent) -> None:
        """Apply a new or removed address of a gateway."""
        name = event.key.removeprefix(const.PREFIX_MEMBERS)
        if event.value is None:
            self._members.pop(name, None)
        else:
            record = msgspec.json.decode(event.value, type=HolderRecord)
            self._members[name] = record

    def _notify_changed(self) -> None:
        """Wake the tasks that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()


def choose_candidacy_delay_s(
    cpu_capacity: float, is_after_outage: bool, rng: Random
) -> float:
    """Return the seconds to wait before trying for a vacant pool.

    Gateways with more CPU go first, since all streams of a pool pass through
    its holder. After an outage all leave the last holder some time.
    """
    missing_share = max(0.0, 1.0 - cpu_capacity / const.NO_DELAY_CPU_CAPACITY)
    return (
        const.CANDIDACY_DELAY_S * missing_share
        + const.CANDIDACY_JITTER_S * rng.random()
        + const.LAST_HOLDER_DELAY_S * is_after_outage
    )
