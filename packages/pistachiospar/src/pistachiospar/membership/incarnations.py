"""Distinction of a sidecar's first incarnation from a restarted one.

A sidecar that restarted has lost its records. For an old instance the uptime
shows it: the sidecar is younger than the instance. For a new instance the
first entry that sees an incarnation records it in the key-value service, so
that entries that saw no earlier incarnation detect a restart. The key expires
with its lease, by when the uptime is enough to detect one.
"""

from result import Err
import trio

from . import const
from ..ports.instances import Instance
from ..ports.kv import KeyValue


class IncarnationRegistry:
    """First incarnations of new instances, in the key-value service."""

    def __init__(self, kv: KeyValue) -> None:
        """Use a key-value service."""
        self._kv = kv

    async def is_first_incarnation(
        self, instance: Instance, incarnation: str
    ) -> bool | None:
        """Return whether an incarnation is the first; None when unknown."""
        with trio.move_on_after(const.INCARNATION_TIMEOUT_S):
            return await self._compare_or_record(instance, incarnation)
        return None

    async def _compare_or_record(
        self, instance: Instance, incarnation: str
    ) -> bool | None:
        """Compare with the recorded incarnation, or record this one."""
        key = f"{const.PREFIX_INCARNATIONS}{instance.name}/{instance.since_s}"
        item = await self._kv.get_item(key)
        if isinstance(item, Err):
            return None
        if item.ok_value is not None:
            return item.ok_value.value == incarnation.encode()
        lease = await self._kv.grant_lease(const.INCARNATION_TTL_S)
        if isinstance(lease, Err):
            return None
        written = await self._kv.compare_and_swap(
            key, incarnation.encode(), 0, lease.ok_value
        )
        if isinstance(written, Err) or not written.ok_value.won:
            return None
        return True
