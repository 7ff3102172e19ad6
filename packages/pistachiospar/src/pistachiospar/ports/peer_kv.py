"""Port through which a peer makes a key-value call."""

from typing import Protocol

from ..storing.messages import KvCall
from ..storing.messages import KvReply


class PeerKeyValue(Protocol):
    """Reach the key-value service by way of another gateway."""

    async def call_kv(self, address: str, call: KvCall) -> KvReply | None:
        """Have a peer make a call; None when it can't be reached."""
