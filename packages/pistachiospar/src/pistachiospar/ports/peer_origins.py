"""Port through which gateways share the origins of streams."""

from typing import Protocol

from ..stream_origins.messages import FindOriginCall
from ..stream_origins.messages import FindOriginReply
from ..stream_origins.messages import StreamOrigin


class PeerOrigins(Protocol):
    """Client of the stream origins that other gateways know."""

    async def copy_origins(
        self, address: str, origins: list[StreamOrigin]
    ) -> bool:
        """Store origins at a gateway; return whether it confirmed that."""

    async def find_origin(
        self, address: str, call: FindOriginCall
    ) -> FindOriginReply | None:
        """Ask a gateway for an origin; None when it fails to reply."""
