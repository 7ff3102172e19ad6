"""Port through which a gateway makes key-value calls by way of a peer."""

from typing import Protocol

from ..kv_access.messages import KvCall
from ..kv_access.messages import KvReply


class PeerKeyValue(Protocol):
    """Client of the key-value service by way of another gateway."""

    async def call_kv(self, address: str, call: KvCall) -> KvReply | None:
        """Make a call through a peer; None when the peer is unreachable."""
