"""Support the lease by which an entry is known to be live.

The holder trusts only its own monotonic clock: the lease is taken as valid
until the time of the last renewal's sending plus its time to live, less a
margin.
"""

from random import Random

import msgspec
from result import Err
import trio

from . import const
from ..helpers.backoff import Backoff
from ..ports.kv import KeyValue
from ..telemetry.metrics import Metrics
from .models import EntryRecord


class EntryLease:
    """Keep the record of this entry in the key-value service."""

    def __init__(
        self,
        kv: KeyValue,
        record: EntryRecord,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Begin without a lease."""
        self._kv = kv
        self._record = record
        self._metrics = metrics
        self._rng = rng
        self._lease = 0
        self._failures = 0
        self._backoff = Backoff(const.RETRY_FIRST_S, const.LEASE_RENEW_S)
        self._valid_until = float("-inf")

    def is_valid(self, now: float) -> bool:
        """Return whether the lease is certainly still held."""
        return now < self._valid_until - const.LEASE_MARGIN_S

    async def run(self) -> None:
        """Hold the lease; one task."""
        while True:
            if self._lease:
                await self._renew()
            else:
                await self._take()
            await trio.sleep(self._choose_pause())

    async def give_back(self) -> None:
        """Give the lease back, so that peers need not wait."""
        if self._lease:
            await self._kv.revoke_lease(self._lease)
            self._lease = 0

    def _choose_pause(self) -> float:
        """Return the seconds until the next call; shorter without lease."""
        if self._lease:
            self._failures = 0
            spread = 1.0 + const.JITTER_SHARE * (self._rng.random() - 0.5)
            return const.LEASE_RENEW_S * spread
        self._failures += 1
        return self._backoff.draw_delay_s(self._failures, self._rng)

    async def _take(self) -> None:
        """Take a new lease and write the record under it."""
        sent_at = trio.current_time()
        granted = await self._kv.grant_lease(const.LEASE_TTL_S)
        if isinstance(granted, Err):
            self._metrics.count("lease_faults")
            return
        key = const.PREFIX_ENTRIES + self._record.name
        value = msgspec.json.encode(self._record)
        written = await self._kv.put_item(key, value, granted.ok_value)
        if isinstance(written, Err):
            self._metrics.count("lease_faults")
            return
        self._lease = granted.ok_value
        self._valid_until = sent_at + const.LEASE_TTL_S

    async def _renew(self) -> None:
        """Renew the lease; one that lapsed is taken anew."""
        sent_at = trio.current_time()
        kept = await self._kv.renew_lease(self._lease)
        if isinstance(kept, Err):
            self._metrics.count("lease_faults")
            return
        if kept.ok_value <= 0.0:
            self._metrics.count("lease_lapsed")
            self._lease = 0
            await self._take()
            return
        self._valid_until = sent_at + kept.ok_value
