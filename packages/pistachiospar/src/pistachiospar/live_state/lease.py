"""The lease that marks an entry as live.

The holder relies only on its own monotonic clock: it considers the lease valid
until its time to live, counted from when the last renewal was sent, is over,
less a margin.
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
    """Keep this entry's record in the key-value service under a lease."""

    def __init__(
        self,
        kv: KeyValue,
        record: EntryRecord,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Start without a lease."""
        self._kv = kv
        self._record = record
        self._metrics = metrics
        self._rng = rng
        self._lease = 0
        self._failures = 0
        self._backoff = Backoff(
            const.RETRY_INITIAL_S, const.LEASE_RENEW_INTERVAL_S
        )
        self._valid_until = float("-inf")

    def is_valid(self, now: float) -> bool:
        """Return whether the lease is certainly still held."""
        return now < self._valid_until - const.LEASE_MARGIN_S

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            if self._lease:
                await self._renew_lease()
            else:
                await self._acquire_lease()
            await trio.sleep(self._choose_delay_s())

    async def release_lease(self) -> None:
        """Revoke the lease, so that peers need not wait for its expiry."""
        if self._lease:
            await self._kv.revoke_lease(self._lease)
            self._lease = 0

    def _choose_delay_s(self) -> float:
        """Return the seconds until the next call; backs off without lease."""
        if self._lease:
            self._failures = 0
            jitter = 1.0 + const.JITTER_SHARE * (self._rng.random() - 0.5)
            return const.LEASE_RENEW_INTERVAL_S * jitter
        self._failures += 1
        return self._backoff.draw_delay_s(self._failures, self._rng)

    async def _acquire_lease(self) -> None:
        """Acquire a new lease and write the record under it."""
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

    async def _renew_lease(self) -> None:
        """Renew the lease, or acquire a new one when it has expired."""
        sent_at = trio.current_time()
        renewed = await self._kv.renew_lease(self._lease)
        if isinstance(renewed, Err):
            self._metrics.count("lease_faults")
            return
        if renewed.ok_value <= 0.0:
            self._metrics.count("lease_lapsed")
            self._lease = 0
            await self._acquire_lease()
            return
        self._valid_until = sent_at + renewed.ok_value
