"""Port of the platform's list of live and leaving instances."""

from typing import Protocol

import msgspec
from result import Result


class Instance(msgspec.Struct, frozen=True):
    """Describe one upstream instance and the sidecar beside it.

    `data` and `control` are `host:port`; `since_s` is the wall-clock time,
    in seconds, at which the instance was added.
    """

    name: str
    upstream: str
    zone: str
    data: str
    control: str
    leaving: bool = False
    since_s: float = 0.0


class InstancePage(msgspec.Struct, frozen=True):
    """Hold the whole list and the tag of its state."""

    tag: str
    instances: list[Instance]


class InstanceList(Protocol):
    """Reach the instance list."""

    async def fetch_page(
        self, known_tag: str
    ) -> Result[InstancePage | None, str]:
        """Return the list, or None when the known tag is still right."""
