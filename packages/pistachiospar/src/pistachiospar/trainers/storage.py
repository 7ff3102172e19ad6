"""Definitions and owners of steps, stored to outlast a step's owner.

They are in the key-value service. While it is unavailable, a step still runs
at the entry that accepted it, and the trainer is asked to put it again at
another one.
"""

import zlib

import msgspec
from result import Err

from . import const
from ..ports.kv import KeyValue
from ..telemetry.metrics import Metrics
from .models import StepBody
from .models import StepOwner
from .steps import encode_step


class StepStorage:
    """Read and write steps in the key-value service.

    `available` says whether its last call succeeded.
    """

    def __init__(
        self, kv: KeyValue, own_record: StepOwner, metrics: Metrics
    ) -> None:
        """Claim steps for the owner `own_record`."""
        self._kv = kv
        self._own_record = own_record
        self._metrics = metrics
        self.available = True

    async def find_definition(
        self, trainer: str, step: str
    ) -> StepBody | None:
        """Return a step's definition; None if it is missing or unreadable."""
        prefix = f"{const.PREFIX_STEPS}{trainer}/{step}/"
        listing = await self._kv.list_items(prefix)
        self.available = listing.is_ok()
        if isinstance(listing, Err) or not listing.ok_value[0]:
            return None
        parts = sorted(listing.ok_value[0], key=lambda item: item.key)
        try:
            data = zlib.decompress(b"".join(part.value for part in parts))
            return msgspec.json.decode(data, type=StepBody)
        except (zlib.error, msgspec.MsgspecError):
            self._metrics.count("definitions_unreadable")
            return None

    async def claim_step(
        self, trainer: str, step: str, body: StepBody
    ) -> StepOwner | None:
        """Become a step's owner, or return its present owner.

        None also if the service doesn't answer: the step then runs here. If
        another entry runs it, too, work is wasted, but no sample is lost.
        """
        await self._store_definition(trainer, step, body)
        key = _make_owner_key(trainer, step)
        value = msgspec.json.encode(self._own_record)
        written = await self._kv.compare_and_swap(key, value, 0)
        self.available = written.is_ok()
        if isinstance(written, Err) or written.ok_value.won:
            return None
        found = await self._read_owner(key)
        return None if found == self._own_record else found

    async def take_over_step(
        self, trainer: str, step: str, previous: StepOwner
    ) -> None:
        """Replace an owner that can't be reached."""
        key = _make_owner_key(trainer, step)
        item = (await self._kv.get_item(key)).unwrap_or(None)
        if item is None:
            return
        if msgspec.json.decode(item.value, type=StepOwner) == previous:
            value = msgspec.json.encode(self._own_record)
            await self._kv.compare_and_swap(key, value, item.revision)

    async def _read_owner(self, key: str) -> StepOwner | None:
        """Return a step's owner; None if unknown."""
        item = (await self._kv.get_item(key)).unwrap_or(None)
        if item is None:
            return None
        return msgspec.json.decode(item.value, type=StepOwner)

    async def _store_definition(
        self, trainer: str, step: str, body: StepBody
    ) -> None:
        """Write a definition, in parts within the service's value limit.

        The first part is written last, and each only if it is absent: a
        stored definition is never changed.
        """
        data = zlib.compress(encode_step(body), 6)
        size = const.DEFINITION_PART_BYTES
        starts = range(0, len(data), size)
        for number, start in reversed(list(enumerate(starts))):
            key = f"{const.PREFIX_STEPS}{trainer}/{step}/{number:04d}"
            await self._kv.compare_and_swap(key, data[start : start + size], 0)


def _make_owner_key(trainer: str, step: str) -> str:
    """Return the key of a step's owner."""
    return f"{const.PREFIX_OWNERS}{trainer}/{step}"
