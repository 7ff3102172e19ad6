"""Acquisition, renewal and release of the role of a pool's holder."""

from collections.abc import Callable

import msgspec
from result import Err
import trio

from . import const
from ..ports.kv import KeyValue
from ..ports.kv import KvCheck
from ..ports.kv import KvFault
from ..ports.kv import KvPut
from ..ports.kv import KvTransaction
from ..telemetry.logs import log_event
from .models import HolderRecord
from .models import Role


class RoleLeaseManager:
    """Write a holder's key under a lease, and renew the lease."""

    def __init__(
        self,
        kv: KeyValue,
        record: HolderRecord,
        lease_s: float,
        read_boot_s: Callable[[], float],
    ) -> None:
        """Initialize; `record` is the value of the holder's key."""
        self._kv = kv
        self._record = record
        self._lease_s = lease_s
        self._read_boot_s = read_boot_s

    async def acquire_role(
        self, pool: str, expected_revision: int
    ) -> Role | None:
        """Write the holder's key; return None if that failed.

        `expected_revision` is 0 for a vacant pool, otherwise the revision
        that an earlier incarnation of this gateway wrote.
        """
        key = const.PREFIX_HOLDERS + pool
        return await self._write_key(pool, (KvCheck(key, expected_revision),))

    async def reacquire_role(self, role: Role) -> None:
        """Acquire a lost role again unless another gateway held the pool.

        The holders' mirror can't tell: a holder in between may have come and
        gone before this process reads the changes. Sets `superseded` when
        there may have been one; the role stays lost when a call failed.
        """
        last_key = const.PREFIX_LAST_HOLDERS + role.pool
        read = await self._kv.get_item(last_key)
        if isinstance(read, Err):
            return
        last = read.ok_value
        if last is None or last.revision > role.fence:
            role.superseded = True
            log_event(
                "role_superseded",
                pool=role.pool,
                fence=role.fence,
                last_fence=last.revision if last is not None else 0,
            )
            return
        found = await self._write_key(
            role.pool,
            (KvCheck(role.key, 0), KvCheck(last_key, last.revision)),
        )
        if found is None:
            return
        log_event(
            "role_reacquired",
            pool=role.pool,
            fence=found.fence,
            fence_before=role.fence,
        )
        role.fence, role.lease = found.fence, found.lease
        role.valid_until, role.lost = found.valid_until, False

    async def _write_key(
        self, pool: str, checks: tuple[KvCheck, ...]
    ) -> Role | None:
        """Write the keys of a pool's holder under a new lease, if checks hold.

        Return None if that failed.
        """
        sent_at = self._read_boot_s()
        granted = await self._kv.grant_lease(self._lease_s)
        if isinstance(granted, Err):
            return None
        lease = granted.ok_value
        key = const.PREFIX_HOLDERS + pool
        value = msgspec.json.encode(self._record)
        puts = (
            KvPut(const.PREFIX_LAST_HOLDERS + pool, value),
            KvPut(key, value, lease),
        )
        transaction = KvTransaction(checks, puts)
        written = await self._kv.commit(transaction)
        if isinstance(written, Err):
            unknown = written.err_value.fault is KvFault.UNKNOWN
            fence = await self._read_fence(key, value) if unknown else 0
        else:
            fence = written.ok_value.revision if written.ok_value.won else 0
        if not fence:
            return None
        valid_until = sent_at + self._lease_s - const.LEASE_MARGIN_S
        log_event("role_taken", pool=pool, fence=fence)
        return Role(pool, key, fence, lease, valid_until)

    async def renew_until_lost(self, role: Role) -> bool:
        """Renew a role until it is lost, then return False."""
        delay_s = self._lease_s * const.RENEW_INTERVAL_SHARE
        while True:
            await trio.sleep(delay_s)
            sent_at = self._read_boot_s()
            role.renewal_sent_at = sent_at
            renewed = await self._kv.renew_lease(role.lease)
            if isinstance(renewed, Err) and not role.lost:
                delay_s = const.RENEW_RETRY_DELAY_S
                continue
            delay_s = self._lease_s * const.RENEW_INTERVAL_SHARE
            if role.lost or renewed.unwrap_or(0.0) <= 0:
                role.lost = True
                log_event("role_lapsed", pool=role.pool, fence=role.fence)
                return False
            role.valid_until = (
                sent_at + renewed.unwrap() - const.LEASE_MARGIN_S
            )

    async def release_role(self, role: Role) -> None:
        """Release a role, so that another gateway can acquire it at once."""
        role.lost = True
        with trio.move_on_after(const.RELEASE_TIMEOUT_S):
            await self._kv.revoke_lease(role.lease)
        log_event("role_given_back", pool=role.pool, fence=role.fence)

    async def _read_fence(self, key: str, value: bytes) -> int:
        """Return the fence of a write with unknown outcome, 0 if it failed."""
        item = await self._kv.get_item(key)
        if isinstance(item, Err) or item.ok_value is None:
            return 0
        return item.ok_value.revision if item.ok_value.value == value else 0
