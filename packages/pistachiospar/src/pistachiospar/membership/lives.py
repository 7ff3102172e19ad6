"""Support telling a sidecar's first life from a restart.

A sidecar that restarted has lost its records. An old instance shows it: its
sidecar is younger than itself. For a young one the first entry that sees an
incarnation writes it down, once, so that an entry that has seen nothing of
the earlier life learns of it. The key goes with its lease, when the age tells.
"""

from result import Err
import trio

from . import const
from ..ports.instances import Instance
from ..ports.kv import KeyValue


class LifeRegistry:
    """Write the first incarnation of young instances down."""

    def __init__(self, kv: KeyValue) -> None:
        """Take the service."""
        self._kv = kv

    async def is_first(
        self, instance: Instance, incarnation: str
    ) -> bool | None:
        """Return whether an incarnation is the first; None if unknown."""
        with trio.move_on_after(const.LIFE_TIMEOUT_S):
            return await self._ask(instance, incarnation)
        return None

    async def _ask(self, instance: Instance, incarnation: str) -> bool | None:
        """Write if absent, and read what is there."""
        key = f"{const.PREFIX_LIVES}{instance.name}/{instance.since_s}"
        item = await self._kv.get_item(key)
        if isinstance(item, Err):
            return None
        if item.ok_value is not None:
            return item.ok_value.value == incarnation.encode()
        lease = await self._kv.grant_lease(const.LIFE_TTL_S)
        if isinstance(lease, Err):
            return None
        written = await self._kv.compare_and_swap(
            key, incarnation.encode(), 0, lease.ok_value
        )
        if isinstance(written, Err) or not written.ok_value.won:
            return None
        return True
