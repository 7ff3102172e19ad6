"""Departed instances, recorded for entries that start later.

The idempotency records of an instance that left are lost. Entries that saw it
leave write its departure to the key-value service for as long as such a record
would be kept; a new entry reads the departures before it serves calls with an
idempotency key. Calls without a key never wait for them.
"""

import msgspec
from result import Err
from result import Ok
from result import Result

from . import const
from ..ports.kv import KeyValue
from ..ports.kv import KvError


class Departure(msgspec.Struct, frozen=True):
    """An instance that left; `at_s` is wall-clock seconds."""

    instance: str
    upstream: str
    at_s: float


class DepartureRegistry:
    """Departures in the key-value service, which expire with their leases."""

    def __init__(self, kv: KeyValue) -> None:
        """Use a key-value service."""
        self._kv = kv

    async def write_departure(self, departure: Departure) -> bool:
        """Write a departure unless another entry did; False on a fault."""
        key = const.PREFIX_DEPARTURES + departure.instance
        lease = await self._kv.grant_lease(const.DEPARTURE_TTL_S)
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

    async def list_departures(self) -> Result[list[Departure], KvError]:
        """Return the departures that have not expired."""
        listed = await self._kv.list_items(const.PREFIX_DEPARTURES)
        if isinstance(listed, Err):
            return listed
        return Ok(
            [
                msgspec.json.decode(item.value, type=Departure)
                for item in listed.ok_value[0]
            ]
        )
