"""Confirmations that instances may be retired."""

from result import Ok

from ..directory.coordinator import Directory
from ..directory.models import DirectoryKeys
from ..ports.kv import KeyValue
from ..telemetry.logs import log_event


class RetirementConfirmer:
    """Confirm requests to retire instances, which hold no state."""

    def __init__(
        self, kv: KeyValue, keys: DirectoryKeys, directory: Directory
    ) -> None:
        """Start without confirmations."""
        self._kv = kv
        self._keys = keys
        self._directory = directory
        self._confirmed: dict[str, int] = {}

    async def confirm(self) -> None:
        """Confirm the requests that are not confirmed yet."""
        for name, revision in list(self._directory.retiring.items()):
            if self._confirmed.get(name) == revision:
                continue
            key = self._keys.prefix_retire_status + name
            written = await self._kv.put_item(key, self._keys.encode_retired())
            log_event("instance_released", instance=name, written=str(written))
            if isinstance(written, Ok):
                self._confirmed[name] = revision
