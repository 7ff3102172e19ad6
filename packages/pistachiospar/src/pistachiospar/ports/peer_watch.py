"""Port through which a gateway follows the watches of another gateway."""

from typing import Protocol

from ..watch_relay.messages import FollowCall
from ..watch_relay.messages import FollowReply


class PeerWatch(Protocol):
    """Client of the watches of other gateways."""

    async def follow(
        self, address: str, call: FollowCall
    ) -> FollowReply | None:
        """Wait for changes at a gateway; None when it is no source."""
