"""Support what must outlast a step's owner: definition and ownership.

Kept in the key-value service where it answers; without it a step still runs
at the entry that took it, and a trainer is asked to put it again elsewhere.
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
    """Keep steps' definitions and owners in the key-value service."""

    def __init__(self, kv: KeyValue, me: StepOwner, metrics: Metrics) -> None:
        """Take the service."""
        self._kv = kv
        self._me = me
        self._metrics = metrics
        self.available = True

    async def find_definition(
        self, trainer: str, step: str
    ) -> StepBody | None:
        """Return a step's definition, if it was kept."""
        prefix = f"{const.PREFIX_STEPS}{trainer}/{step}/"
        answer = await self._kv.list_items(prefix)
        self.available = answer.is_ok()
        if isinstance(answer, Err) or not answer.ok_value[0]:
            return None
        parts = sorted(answer.ok_value[0], key=lambda item: item.key)
        try:
            data = zlib.decompress(b"".join(part.value for part in parts))
            return msgspec.json.decode(data, type=StepBody)
        except (zlib.error, msgspec.MsgspecError):
            self._metrics.count("definitions_unreadable")
            return None

    async def claim(
        self, trainer: str, step: str, body: StepBody
    ) -> StepOwner | None:
        """Become a step's owner, or return who is.

        None also when the service does not answer: the step then runs here,
        which costs work when another runs it too, and never a sample.
        """
        await self._keep_definition(trainer, step, body)
        key = _name_owner(trainer, step)
        value = msgspec.json.encode(self._me)
        written = await self._kv.compare_and_swap(key, value, 0)
        self.available = written.is_ok()
        if isinstance(written, Err) or written.ok_value.won:
            return None
        found = await self._read_owner(key)
        return None if found == self._me else found

    async def take_over(
        self, trainer: str, step: str, gone: StepOwner
    ) -> None:
        """Become the owner after one that can't be reached."""
        key = _name_owner(trainer, step)
        item = (await self._kv.get_item(key)).unwrap_or(None)
        if item is None:
            return
        if msgspec.json.decode(item.value, type=StepOwner) == gone:
            value = msgspec.json.encode(self._me)
            await self._kv.compare_and_swap(key, value, item.revision)

    async def _read_owner(self, key: str) -> StepOwner | None:
        """Return a step's owner."""
        item = (await self._kv.get_item(key)).unwrap_or(None)
        if item is None:
            return None
        return msgspec.json.decode(item.value, type=StepOwner)

    async def _keep_definition(
        self, trainer: str, step: str, body: StepBody
    ) -> None:
        """Write a definition, in parts that the service holds.

        The first part is written last, and only if it is absent: a
        definition that is there is never changed.
        """
        data = zlib.compress(encode_step(body), 6)
        size = const.DEFINITION_PART_BYTES
        starts = range(0, len(data), size)
        for number, start in reversed(list(enumerate(starts))):
            key = f"{const.PREFIX_STEPS}{trainer}/{step}/{number:04d}"
            await self._kv.compare_and_swap(key, data[start : start + size], 0)


def _name_owner(trainer: str, step: str) -> str:
    """Return the key of a step's owner."""
    return f"{const.PREFIX_OWNERS}{trainer}/{step}"
