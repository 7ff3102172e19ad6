"""Software versions of upstreams, listed now or until recently."""

from collections import Counter
from typing import Final

from ..routing.instances import ListedInstance
from ..routing.instances import SoftwareOrigin

# Longer than any caller waits for a stream.
SOFTWARE_MEMORY_S: Final = 120.0


class SoftwareVersions:
    """The software versions of listed instances and of those that left."""

    def __init__(self) -> None:
        self._listed: dict[str, Counter[str]] = {}
        self._gone_at: dict[SoftwareOrigin, float] = {}

    def add(self, instance: ListedInstance) -> None:
        """Add an instance that is listed, leaving or not."""
        versions = self._listed.setdefault(instance.upstream, Counter())
        versions[instance.software] += 1

    def remove(self, instance: ListedInstance, now: float) -> None:
        """Remove an instance; its version is remembered for a while."""
        versions = self._listed[instance.upstream]
        versions[instance.software] -= 1
        if versions[instance.software]:
            return
        del versions[instance.software]
        self._gone_at[instance.origin] = now
        self._gone_at = {
            origin: at
            for origin, at in self._gone_at.items()
            if now - at <= SOFTWARE_MEMORY_S
        }

    def list_listed(self, upstream: str) -> frozenset[str]:
        """Return the versions of an upstream's listed instances."""
        return frozenset(self._listed.get(upstream, ()))

    def list_versions(self, upstream: str, now: float) -> frozenset[str]:
        """Return the versions that may have begun an upstream's streams."""
        return frozenset(self._listed.get(upstream, ())) | {
            origin.software
            for origin, at in self._gone_at.items()
            if origin.upstream == upstream and now - at <= SOFTWARE_MEMORY_S
        }
