"""Support remembering the instances that left, for entries that start later.

An instance that left took the records of its keys with it. Entries that saw
it go know; what they know is written to the key-value service for as long as
such a record would live, so that a young entry reads it before it serves
keyed calls. Calls without a key never wait for it.
"""

import msgspec
from result import Err
from result import Ok
from result import Result

from . import const
from ..ports.kv import KeyValue
from ..ports.kv import KvError


class Departure(msgspec.Struct, frozen=True):
    """Tell that an instance left; the wall-clock time is in seconds."""

    instance: str
    upstream: str
    at_s: float


class DepartureRegistry:
    """Write and read the instances that left."""

    def __init__(self, kv: KeyValue) -> None:
        """Take the service."""
        self._kv = kv

    async def write(self, departure: Departure) -> bool:
        """Write a departure down, once for all entries; tell if it stands."""
        key = const.PREFIX_DEPARTURES + departure.instance
        lease = await self._kv.grant_lease(const.GONE_MEMORY_S)
        if isinstance(lease, Err):
            return False
        written = await self._kv.compare_and_swap(
            key, msgspec.json.encode(departure), 0, lease.ok_value
        )
        if isinstance(written, Err):
            return False
        if not written.ok_value.won:
            await self._kv.revoke_lease(lease.ok_value)
        return True

    async def read(self) -> Result[list[Departure], KvError]:
        """Return the instances that left lately."""
        listed = await self._kv.list_items(const.PREFIX_DEPARTURES)
        if isinstance(listed, Err):
            return listed
        return Ok(
            [
                msgspec.json.decode(item.value, type=Departure)
                for item in listed.ok_value[0]
            ]
        )
