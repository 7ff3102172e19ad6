"""Port of the platform's list of running and leaving instances."""

from typing import Protocol

import msgspec
from result import Result


class Instance(msgspec.Struct, frozen=True):
    """An upstream instance and the `host:port` addresses of its sidecar.

    `since_s` is the wall-clock time, in seconds, at which the platform added
    the instance.
    """

    name: str
    upstream: str
    zone: str
    data: str
    control: str
    leaving: bool = False
    since_s: float = 0.0


class InstanceListSnapshot(msgspec.Struct, frozen=True):
    """The complete instance list and the entity tag of this state."""

    tag: str
    instances: list[Instance]


class InstanceList(Protocol):
    """Client of the platform's instance list."""

    async def fetch_list(
        self, known_tag: str
    ) -> Result[InstanceListSnapshot | None, str]:
        """Fetch the list; None when its tag is still `known_tag`."""
