"""Announcement of weights through the key-value service."""

import msgspec
from result import Err
from result import Ok
from result import Result

from ..helpers.problems import Problem
from ..helpers.problems import refuse_input
from ..helpers.problems import refuse_not_run
from ..live_state.const import PREFIX_WEIGHTS
from ..live_state.coordinator import LiveCoordinator
from ..live_state.models import AnnouncedWeights
from ..ports.kv import KeyValue
from ..ports.kv import KvItem
from .const import MAX_WRITE_ATTEMPTS
from .const import RETRY_AFTER_S


class WeightsAnnouncer:
    """Announce weights; a trainer's version can only increase."""

    def __init__(self, kv: KeyValue, live: LiveCoordinator) -> None:
        """Apply announcements to `live`, ahead of its watch."""
        self._kv = kv
        self._live = live

    async def announce_weights(
        self, trainer: str, version: int, source: str
    ) -> Result[AnnouncedWeights, Problem]:
        """Announce a version; idempotent for the same version and source.

        The returned fence is the key's revision. An older version, or another
        source for the same version, is refused as old-version.
        """
        key = PREFIX_WEIGHTS + trainer
        requested = AnnouncedWeights(trainer, version, source)
        for _ in range(MAX_WRITE_ATTEMPTS):
            found = await self._kv.get_item(key)
            if isinstance(found, Err):
                return Err(_refuse_unavailable(found.err_value.detail))
            item = found.ok_value
            announced = _decode_announcement(item)
            if announced is not None and announced.version >= version:
                return _check_known(announced, requested)
            expected = item.revision if item is not None else 0
            value = msgspec.json.encode(requested)
            written = await self._kv.compare_and_swap(key, value, expected)
            if isinstance(written, Ok) and written.ok_value.won:
                revision = written.ok_value.revision
                with_fence = msgspec.structs.replace(requested, fence=revision)
                self._live.apply_weights(with_fence)
                return Ok(with_fence)
        return Err(_refuse_unavailable("too many concurrent writers"))

    async def refresh_weights(self, trainer: str) -> None:
        """Apply the announced version, if the service answers."""
        found = await self._kv.get_item(PREFIX_WEIGHTS + trainer)
        announced = _decode_announcement(found.unwrap_or(None))
        if announced is not None:
            self._live.apply_weights(announced)


def _decode_announcement(item: KvItem | None) -> AnnouncedWeights | None:
    """Return the announcement of an item; its revision is the fence."""
    if item is None:
        return None
    found = msgspec.json.decode(item.value, type=AnnouncedWeights)
    return msgspec.structs.replace(found, fence=item.revision)


def _check_known(
    announced: AnnouncedWeights, requested: AnnouncedWeights
) -> Result[AnnouncedWeights, Problem]:
    """Accept the announced version again; refuse any other."""
    if (
        announced.version == requested.version
        and announced.source == requested.source
    ):
        return Ok(announced)
    detail = f"version {announced.version} is already announced"
    return Err(refuse_input("old-version", detail, 409))


def _refuse_unavailable(detail: str) -> Problem:
    """Return the problem of an unavailable service; a retry is safe."""
    return refuse_not_run("service-unavailable", detail, RETRY_AFTER_S)
