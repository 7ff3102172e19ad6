"""Messages between gateways about the origins of streams."""

import msgspec

from ..routing.instances import SoftwareOrigin


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """The upstream and software version that began a stream.

    `stream` is the id of the request that brought its first event,
    `fingerprint` recognises a request of the same caller for the same stream.
    """

    stream: str
    fingerprint: str
    upstream: str
    software: str

    def get_origin(self) -> SoftwareOrigin:
        """Return what the stream has to go on at."""
        return SoftwareOrigin(self.upstream, self.software)


class FindOriginCall(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a stream's origin and the software versions of upstreams."""

    stream: str
    upstreams: list[str]


class FindOriginReply(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows of a stream; `origin` is None without a record.

    `software` has the versions that may have begun a stream, by upstream.
    `is_current`, whether they are up to date, is for earlier builds.
    `is_informed` is unset while the gateway has not read since its start what
    served before.
    """

    origin: StreamOrigin | None
    software: dict[str, list[str]]
    is_current: bool
    is_informed: bool = False
