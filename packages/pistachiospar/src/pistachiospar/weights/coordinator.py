"""Support announcing weights through the key-value service."""

import msgspec
from result import Err
from result import Ok
from result import Result

from ..helpers.problems import Problem
from ..helpers.problems import refuse_input
from ..helpers.problems import refuse_not_run
from ..live.const import PREFIX_WEIGHTS
from ..live.coordinator import LiveCoordinator
from ..live.models import AnnouncedWeights
from ..ports.kv import KeyValue
from ..ports.kv import KvItem
from .const import MAX_TRIES
from .const import RETRY_AFTER_S


class WeightsAnnouncer:
    """Announce weights: versions only rise."""

    def __init__(self, kv: KeyValue, live: LiveCoordinator) -> None:
        """Take the service."""
        self._kv = kv
        self._live = live

    async def announce(
        self, trainer: str, version: int, source: str
    ) -> Result[AnnouncedWeights, Problem]:
        """Announce a version; the same one again is taken as done."""
        key = PREFIX_WEIGHTS + trainer
        wanted = AnnouncedWeights(trainer, version, source)
        for _ in range(MAX_TRIES):
            found = await self._kv.get_item(key)
            if isinstance(found, Err):
                return Err(_refuse_unavailable(found.err_value.detail))
            item = found.ok_value
            known = _read(item)
            if known is not None and known.version >= version:
                return _judge_known(known, wanted)
            expected = item.revision if item is not None else 0
            value = msgspec.json.encode(wanted)
            written = await self._kv.compare_and_swap(key, value, expected)
            if isinstance(written, Ok) and written.ok_value.won:
                revision = written.ok_value.revision
                fenced = msgspec.structs.replace(wanted, fence=revision)
                self._live.apply_weights(fenced)
                return Ok(fenced)
        return Err(_refuse_unavailable("too many writers at once"))

    async def refresh(self, trainer: str) -> None:
        """Take over what is announced, if the service answers."""
        found = await self._kv.get_item(PREFIX_WEIGHTS + trainer)
        known = _read(found.unwrap_or(None))
        if known is not None:
            self._live.apply_weights(known)


def _read(item: KvItem | None) -> AnnouncedWeights | None:
    """Read the announcement that is there."""
    if item is None:
        return None
    found = msgspec.json.decode(item.value, type=AnnouncedWeights)
    return msgspec.structs.replace(found, fence=item.revision)


def _judge_known(
    known: AnnouncedWeights, wanted: AnnouncedWeights
) -> Result[AnnouncedWeights, Problem]:
    """Decide on a version that is not newer than the announced one."""
    if known.version == wanted.version and known.source == wanted.source:
        return Ok(known)
    detail = f"version {known.version} was announced before"
    return Err(refuse_input("old-version", detail, 409))


def _refuse_unavailable(detail: str) -> Problem:
    """Tell that the service does not answer; a retry is harmless."""
    return refuse_not_run("service-unavailable", detail, RETRY_AFTER_S)
